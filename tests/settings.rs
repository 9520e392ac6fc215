//! Settings: each fault of a file is reported with its place and the accepted values.

use std::process::Command;

use chicorygauge::settings::DaemonSettings;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GOOD: &str = "[entry]\nname=e-1\ndc=dc-1\n[platform]\naddress=127.0.0.1:8500\n";

fn faults(text: &str) -> Vec<String> {
    let faults = DaemonSettings::parse(text).expect_err("faults");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn parse_minimal() {
    let settings = DaemonSettings::parse(GOOD).expect("settings");
    assert_eq!(settings.name.as_str(), "e-1");
    assert_eq!(settings.entry_listen.port(), 8080);
}

#[test]
fn parse_faults() {
    let address = "an IP number and a port, as 10.0.0.1:8080";
    let name = "1 to 63 of A-Z a-z 0-9 - _ .";
    let millis = "a whole number, 1 to 86400000";
    let cases = [
        ("entry", "listen", "localhost:80", address),
        ("entry", "control_listen", "10.0.0.1", address),
        ("peers", "control", "10.0.0.1:80", "a list of DC=IP:PORT"),
        ("platform", "call_limit_ms", "0", millis),
        ("platform", "watch_wait_ms", "soon", millis),
        (
            "limits",
            "request_bytes",
            "1023",
            "a whole number, 1024 to 67108864",
        ),
        (
            "limits",
            "answer_bytes",
            "-1",
            "a whole number, 1024 to 67108864",
        ),
        (
            "limits",
            "connections",
            "65537",
            "a whole number, 1 to 65536",
        ),
        ("limits", "connect_limit_ms", "1.5", millis),
        ("limits", "shutdown_limit_ms", "86400001", millis),
        ("control", "lease_ttl_ms", "", millis),
        ("control", "sync_ms", "x", millis),
        ("control", "list_ms", "x", millis),
        ("control", "list_lag_ms", "x", millis),
        ("control", "pause_limit_ms", "x", millis),
    ];
    for (section, key, value, accepted) in cases {
        let text = match section {
            "entry" => GOOD.replace("[entry]", &format!("[entry]\n{key}={value}")),
            "platform" => format!("{GOOD}{key}={value}\n"),
            _ => format!("{GOOD}[{section}]\n{key}={value}\n"),
        };
        let expected = format!("section={section} key={key} value={value:?} accepted={accepted:?}");
        assert_eq!(faults(&text), [expected]);
    }
    let text = "[entry]\nname=no name\n";
    let expected = [
        format!("section=entry key=name value=\"no name\" accepted={name:?}"),
        format!("section=entry key=dc value=\"\" accepted={name:?}"),
        format!("section=platform key=address value=\"\" accepted={address:?}"),
    ];
    assert_eq!(faults(text), expected, "all faults at once");
}

#[test]
fn parse_twice() {
    let again = format!("{GOOD}address=127.0.0.1:8501\n");
    let found = faults(&again);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("key=address value=\"127.0.0.1:8501\" accepted=\"each key once\""));
    let found = faults(&format!("{GOOD}[entry]\nlisten=127.0.0.1:80\n"));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("section=entry key= value=\"\" accepted=\"each section once\""));
}

#[test]
fn parse_unknown() {
    let found = faults(&format!("{GOOD}colour=red\n[disk]\nsize=1\n"));
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].contains("section=platform key=colour value=\"red\" accepted=\"keys address"));
    assert!(found[1].contains("section=disk") && found[1].contains("sections entry, peers"));
}

#[test]
fn check_file() {
    let file = std::env::temp_dir().join(format!("settings-{}.ini", std::process::id()));
    let check = |text: &str| {
        std::fs::write(&file, text).expect("file");
        let output = Command::new(env!("CARGO_BIN_EXE_chicoryd"))
            .arg("check")
            .arg(&file)
            .output();
        output.expect("chicoryd")
    };
    assert!(check(GOOD).status.success());
    let output = check("[entry]\nname=a b\n[limits]\nconnections=0\n");
    assert_eq!(output.status.code(), Some(1));
    let lines = String::from_utf8_lossy(&output.stderr).lines().count();
    assert_eq!(lines, 4, "{output:?}");
    std::fs::remove_file(&file).expect("file");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn parse_arbitrary(text in "(\\PC|\n|\\[entry\\]\n|name=|\\[peers\\]\ncontrol=){0,40}") {
        if let Err(faults) = DaemonSettings::parse(&text) {
            prop_assert!(!faults.is_empty());
        }
    }
}
