//! Checks that the sample settings and patches under `examples/` are valid.

use std::fs;
use std::path::Path;

use chicorygauge::config::VersionedConfig;
use chicorygauge::settings::DaemonSettings;

fn sample(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

#[test]
fn load_samples() {
    for name in ["evasapu.ini", "nilebench.ini"] {
        let settings = DaemonSettings::load(&sample(name));
        let settings = settings.unwrap_or_else(|faults| panic!("{name}: {faults:?}"));
        assert!(!settings.peers.is_empty(), "{name}");
    }
}

#[test]
fn patched_samples() {
    for name in ["evasapu-pools.json", "nilebench-pools.json"] {
        let text = fs::read_to_string(sample(name)).expect(name);
        let patch = serde_json::from_str(&text).expect(name);
        let config = VersionedConfig::default().patched(&patch);
        let config = config.unwrap_or_else(|error| panic!("{name}: {error}"));
        let vms = config.config.pools.values().map(|pool| pool.vms.len());
        assert_eq!(vms.sum::<usize>(), 49, "{name}");
    }
}
