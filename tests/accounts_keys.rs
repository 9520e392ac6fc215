//! API keys and accounts of a configuration.
//!
//! Guards against calls that are served under a wrong or no account, configurations whose
//! accounts are ambiguous, and keys or digests in logs.

use std::iter;

use chicorygauge::jobs::account::AccountConfig;
use chicorygauge::jobs::account::AccountDirectory;
use chicorygauge::jobs::account::AccountFault;
use chicorygauge::jobs::account::KeyDigest;
use chicorygauge::jobs::account::KeyFault;
use chicorygauge::jobs::account::MAX_KEY_BYTES;
use chicorygauge::jobs::account::check_accounts;
use chicorygauge::jobs::config::AccountExtension;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::types::ResourceVector;
use chicorygauge::metrics;
use chicorygauge::service::jobs::messages::ExchangeExtension;
use chicorygauge::service::jobs::messages::ExchangeMessage;
use chicorygauge::service::jobs::messages::OperatorState;
use chicorygauge::service::jobs::operator::update_config;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::watch;

const KEY: &str = "k-3f9a1c7e5b";

fn account(name: &str, keys: &[&str]) -> AccountConfig {
    AccountConfig {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        weight: 1.0,
        limit: ResourceVector::default(),
    }
}

fn authenticate(directory: &AccountDirectory, keys: &[&[u8]]) -> Result<String, KeyFault> {
    let account = directory.authenticate(keys.iter().copied());
    account.map(|name| name.to_string())
}

#[test]
fn authenticate_call_without_valid_key_fails_with_reason() {
    // Guards against a call without a valid key that is served.
    let long = "k".repeat(MAX_KEY_BYTES + 1);
    let directory = AccountDirectory::new(&[account("a", &[KEY]), account("none", &[])]);
    let cases: [(&[&[u8]], KeyFault); 11] = [
        (&[], KeyFault::Missing),
        (&[b""], KeyFault::Empty),
        (&[KEY.as_bytes(), KEY.as_bytes()], KeyFault::Repeated),
        (&[b"", b""], KeyFault::Repeated),
        (&[long.as_bytes()], KeyFault::TooLong),
        (&["k\u{e9}".as_bytes()], KeyFault::NotAscii),
        (&[b"k 1"], KeyFault::NotAscii),
        (&[b"k\t"], KeyFault::NotAscii),
        (&[b"k\x7f"], KeyFault::NotAscii),
        (&[b"K-3F9A1C7E5B"], KeyFault::Unknown),
        (&[b"k-3f9a1c7e5"], KeyFault::Unknown),
    ];
    for (keys, fault) in cases {
        assert_eq!(authenticate(&directory, keys), Err(fault), "{fault:?}");
    }
    assert_eq!(
        authenticate(&directory, &[KEY.as_bytes()]),
        Ok("a".to_owned())
    );
}

#[test]
fn authenticate_longest_key_accepted() {
    // Guards against a limit that excludes keys of the allowed length.
    let key = "k".repeat(MAX_KEY_BYTES);
    let directory = AccountDirectory::new(&[account("a", &[&key])]);
    assert_eq!(
        authenticate(&directory, &[key.as_bytes()]),
        Ok("a".to_owned())
    );
}

#[test]
fn authenticate_many_accounts_each_key_finds_its_own() {
    // Guards against keys that are lost or mixed up where several share an index entry:
    // 100,000 keys take nearly all of the 65,536 entries, most of them more than once.
    let accounts: Vec<AccountConfig> = (0..1000)
        .map(|number| {
            let keys: Vec<String> = (0..100).map(|key| format!("{number}-{key}")).collect();
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            account(&format!("account-{number}"), &keys)
        })
        .collect();
    assert_eq!(check_accounts(&accounts), Ok(()));
    let directory = AccountDirectory::new(&accounts);
    for number in 0..1000 {
        for key in 0..100 {
            let text = format!("{number}-{key}");
            let found = authenticate(&directory, &[text.as_bytes()]);
            assert_eq!(found, Ok(format!("account-{number}")), "{text}");
        }
        let absent = format!("{number}-100");
        let found = authenticate(&directory, &[absent.as_bytes()]);
        assert_eq!(found, Err(KeyFault::Unknown), "{absent}");
    }
}

#[test]
fn check_accounts_names_fault_and_account() {
    // Guards against an ambiguous or unusable account that is put in force.
    let weight = |weight: f64| AccountConfig {
        weight,
        ..account("a", &[KEY])
    };
    let invalid = || AccountFault::InvalidWeight {
        account: "a".to_owned(),
    };
    let cases = [
        (
            vec![account("a", &[KEY]), account("b", &["other", KEY])],
            AccountFault::SharedKey {
                account: "b".to_owned(),
                other: "a".to_owned(),
            },
        ),
        (
            vec![account("a", &["1"]), account("a", &["2"])],
            AccountFault::DuplicateName {
                account: "a".to_owned(),
            },
        ),
        (
            vec![account("a", &[]), account("", &[KEY])],
            AccountFault::EmptyName { index: 1 },
        ),
        (
            vec![account("a", &["1", ""])],
            AccountFault::EmptyKey {
                account: "a".to_owned(),
            },
        ),
        (vec![weight(0.0)], invalid()),
        (vec![weight(-0.0)], invalid()),
        (vec![weight(-1.0)], invalid()),
        (vec![weight(f64::NAN)], invalid()),
        (vec![weight(f64::INFINITY)], invalid()),
    ];
    for (accounts, fault) in cases {
        assert_eq!(check_accounts(&accounts), Err(fault.clone()), "{fault}");
        assert!(!fault.to_string().contains(KEY), "{fault}");
    }
}

#[test]
fn check_accounts_unusual_accounts_accepted() {
    // Guards against the rejection of a configuration that is valid: an operator could then
    // withdraw no key.
    let accounts = [
        account("twice", &[KEY, KEY]),
        account("withdrawn", &[]),
        AccountConfig {
            weight: f64::MIN_POSITIVE,
            limit: ResourceVector {
                cpu: u64::MAX,
                memory_mb: u64::MAX,
                gpu: u64::MAX,
            },
            ..account("huge", &["other"])
        },
    ];
    assert_eq!(check_accounts(&accounts), Ok(()));
    assert_eq!(check_accounts(&[]), Ok(()));
    let directory = AccountDirectory::new(&accounts);
    assert_eq!(
        authenticate(&directory, &[KEY.as_bytes()]),
        Ok("twice".to_owned())
    );
}

fn config(version: u64, accounts: Vec<AccountConfig>) -> JobConfig {
    JobConfig {
        version,
        accounts: Some(accounts),
        ..JobConfig::default()
    }
}

#[test]
fn update_config_faulty_version_rejected_as_a_whole() {
    // Guards against a faulty version that replaces a valid one or blocks the next.
    let (sender, view) = watch::channel(OperatorState::default());
    update_config(&sender, config(1, vec![account("a", &[KEY])]), "test");
    let faulty = config(2, vec![account("a", &["1"]), account("b", &["1"])]);
    update_config(&sender, faulty, "test");
    let state = view.borrow().clone();
    assert_eq!(state.config.map(|config| config.version), Some(1));
    let directory = state.accounts.expect("accounts");
    assert_eq!(
        authenticate(&directory, &[KEY.as_bytes()]),
        Ok("a".to_owned())
    );
    let rejected = state
        .rejected
        .map(|rejected| (rejected.number, rejected.reason));
    assert_eq!(rejected, Some((2, "account_key_shared")));
    update_config(&sender, config(3, vec![account("a", &[])]), "test");
    let state = view.borrow().clone();
    assert_eq!(state.config.map(|config| config.version), Some(3));
    let directory = state.accounts.expect("accounts");
    let found = authenticate(&directory, &[KEY.as_bytes()]);
    assert_eq!(found, Err(KeyFault::Unknown));
}

#[test]
fn update_config_older_version_ignored() {
    // Guards against a withdrawn key that an older version brings back.
    let (sender, view) = watch::channel(OperatorState::default());
    update_config(&sender, config(2, vec![account("a", &[])]), "test");
    update_config(&sender, config(1, vec![account("a", &[KEY])]), "test");
    update_config(&sender, config(2, vec![account("a", &[KEY])]), "test");
    let directory = view.borrow().accounts.clone().expect("accounts");
    let found = authenticate(&directory, &[KEY.as_bytes()]);
    assert_eq!(found, Err(KeyFault::Unknown));
}

#[test]
fn update_config_rejected_version_counted_once() {
    // Guards against a log line for each exchange message and each restart of the watch.
    metrics::start();
    let (sender, _view) = watch::channel(OperatorState::default());
    let nameless = || vec![account("", &[KEY])];
    for _ in 0..3 {
        update_config(&sender, config(1, nameless()), "test");
    }
    update_config(&sender, config(2, nameless()), "test");
    let line = "chicory_config_rejected_total{reason=\"account_name_empty\"} 2";
    let text = metrics::render();
    assert!(text.contains(line), "{text}");
}

#[test]
fn debug_output_holds_no_key_and_no_digest() {
    // Guards against keys or digests in log lines and panic messages, which use this output.
    let accounts = vec![account("a", &[KEY])];
    let (sender, view) = watch::channel(OperatorState::default());
    update_config(&sender, config(1, accounts.clone()), "test");
    let message = ExchangeMessage {
        config: view.borrow().config.as_deref().cloned(),
        extension: Some(ExchangeExtension {
            accounts: Some(AccountExtension::from(&config(1, accounts.clone()))),
            age_ms: None,
        }),
        ..ExchangeMessage::default()
    };
    let outputs = [
        format!("{:?}", KeyDigest::of(KEY.as_bytes())),
        format!("{accounts:?}"),
        format!("{:?}", AccountDirectory::new(&accounts)),
        format!("{:?}", view.borrow().clone()),
        format!("{message:?}"),
        format!(
            "{:?}",
            check_accounts(&[account("a", &["1"]), account("b", &["1"])])
        ),
    ];
    let digest = Sha256::digest(KEY);
    let list: Vec<String> = digest.iter().map(u8::to_string).collect();
    let hex: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let forms = [KEY.to_owned(), hex, list[..4].join(", ")];
    for (output, form) in outputs
        .iter()
        .flat_map(|output| iter::repeat(output).zip(&forms))
    {
        assert!(!output.contains(form.as_str()), "{form} in {output}");
    }
    assert!(outputs[3].contains("KeyDigest(..)"), "{}", outputs[3]);
}
