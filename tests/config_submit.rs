//! Submissions to a platform that refuses calls and loses responses.

use std::collections::BTreeMap;
use std::time::Duration;

use chicorygauge::config::VersionedConfig;
use chicorygauge::config::head::HeadWire;
use chicorygauge::config::head::SnapshotWire;
use chicorygauge::config::head::log_key;
use chicorygauge::config::head::snapshot_key;
use chicorygauge::config::patch::PatchRequest;
use chicorygauge::config::store;
use chicorygauge::config::store::StoreError;
use chicorygauge::config::submit::SubmitError;
use chicorygauge::config::submit::SubmitSettings;
use chicorygauge::config::submit::submit;
use chicorygauge::platform::PlatformClient;
use chicorygauge::platform::PlatformSettings;
use chicorygauge::platform::retry::RetryClient;
use chicorygauge::report::ReportEvidence;
use chicorygauge::report::chain::check_chains;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use standin::platform;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;
use tokio::time::Instant;
use tokio::time::sleep;

const LIMIT: SubmitSettings = SubmitSettings {
    timeout: Duration::from_secs(60),
};

async fn start_platform() -> (RunningPlatform, PlatformClient) {
    let platform = platform::start(([127, 0, 0, 1], 0).into()).await;
    let platform = platform.expect("platform");
    let client = PlatformClient::new(PlatformSettings {
        address: platform.server.address,
        ..PlatformSettings::default()
    });
    (platform, client)
}

fn retry_client(client: &PlatformClient) -> RetryClient<'_> {
    RetryClient {
        client,
        deadline: Instant::now() + LIMIT.timeout,
    }
}

fn request(base: u64, id: &str, pool: &str) -> PatchRequest {
    PatchRequest {
        base,
        patch: json!({"pools": {pool: {}}}),
        author: "ann".to_owned(),
        reason: "test".to_owned(),
        patch_id: id.to_owned(),
    }
}

async fn try_submit(
    client: &PlatformClient,
    request: &PatchRequest,
    settings: SubmitSettings,
) -> Result<u64, SubmitError> {
    submit(client, &VersionedConfig::default(), request, settings, 1).await
}

/// Submits a patch until it is accepted, with the current version as its base after a
/// conflict.
async fn submit_until_accepted(client: &PlatformClient, id: &str, known: &mut u64) -> u64 {
    loop {
        let attempt = request(*known, id, id);
        match try_submit(client, &attempt, LIMIT).await {
            Ok(version) => return version,
            Err(SubmitError::Conflict { current, .. }) => *known = current,
            // The patch may have been accepted, so it is submitted again with the same
            // base.
            Err(SubmitError::Unknown { .. } | SubmitError::Store { .. }) => {}
            Err(error) => panic!("{error}"),
        }
    }
}

async fn run_writers(faults: PlatformFaults, writers: usize, patches: usize) {
    let (platform, client) = start_platform().await;
    platform.state.set_faults(faults);
    let tasks = (0..writers).map(|writer| {
        let client = client.clone();
        tokio::spawn(async move {
            let mut known = 0;
            let mut answers = Vec::new();
            for patch in 0..patches {
                let id = format!("p-{writer}-{patch}");
                let version = submit_until_accepted(&client, &id, &mut known).await;
                answers.push((version, id));
            }
            answers
        })
    });
    let tasks: Vec<_> = tasks.collect();
    let mut answered = BTreeMap::new();
    for task in tasks {
        for (version, id) in task.await.expect("writer") {
            assert_eq!(answered.insert(version, id), None, "version given twice");
        }
    }
    platform.state.set_faults(PlatformFaults::default());
    let count = (writers * patches) as u64;
    let history = store::read_history(retry_client(&client), 0).await;
    let history = history.expect("history");
    let accepted = history.versions.iter();
    let accepted = accepted.map(|version| (version.version, version.patch_id.clone()));
    let accepted: BTreeMap<_, _> = accepted.collect();
    assert_eq!(
        accepted.keys().copied().collect::<Vec<_>>(),
        (1..=count).collect::<Vec<_>>()
    );
    assert_eq!(
        accepted, answered,
        "each patch must be accepted once, as the version that its writer was told"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn submit_racing(
        writers in 2usize..5,
        lose_share in 0.0..0.6f64,
        refuse_share in 0.0..0.3f64,
        delay_ms in 0u64..5,
    ) {
        let faults = PlatformFaults { lose_share, refuse_share, delay_ms, ..PlatformFaults::default() };
        let runtime = tokio::runtime::Runtime::new().expect("runtime");
        runtime.block_on(run_writers(faults, writers, 4));
    }
}

#[tokio::test]
async fn submit_lost_answer() {
    let (platform, client) = start_platform().await;
    platform.state.set_faults(PlatformFaults {
        lose_share: 1.0,
        ..PlatformFaults::default()
    });
    let version = try_submit(&client, &request(0, "p-1", "a"), LIMIT).await;
    assert_eq!(version.expect("accepted"), 1);
}

#[tokio::test]
async fn submit_repeated() {
    let (_platform, client) = start_platform().await;
    let first = request(0, "p-1", "a");
    assert_eq!(try_submit(&client, &first, LIMIT).await.expect("new"), 1);
    assert_eq!(try_submit(&client, &first, LIMIT).await.expect("head"), 1);
    let second = try_submit(&client, &request(1, "p-2", "b"), LIMIT).await;
    assert_eq!(second.expect("new"), 2);
    assert_eq!(try_submit(&client, &first, LIMIT).await.expect("log"), 1);
    let other = try_submit(&client, &request(0, "p-1", "c"), LIMIT).await;
    assert!(
        matches!(other, Err(SubmitError::ReusedPatchId { version: 1, .. })),
        "{other:?}"
    );
}

#[tokio::test]
async fn submit_conflict() {
    let (_platform, client) = start_platform().await;
    for (base, pool) in [(0, "a"), (1, "b")] {
        let id = format!("p-{base}");
        let accepted = try_submit(&client, &request(base, &id, pool), LIMIT).await;
        assert_eq!(accepted.expect("new"), base + 1);
    }
    for (pool, expected) in [("a", vec!["pools.a".to_owned()]), ("c", vec![])] {
        match try_submit(&client, &request(0, "p-x", pool), LIMIT).await {
            Err(SubmitError::Conflict {
                base: 0,
                current: 2,
                fields,
            }) => {
                assert_eq!(fields, Some(expected));
            }
            other => panic!("{other:?}"),
        }
    }
    let ahead = try_submit(&client, &request(9, "p-y", "a"), LIMIT).await;
    assert!(
        matches!(ahead, Err(SubmitError::Conflict { current: 2, .. })),
        "{ahead:?}"
    );
}

#[tokio::test]
async fn submit_not_known() {
    let (platform, client) = start_platform().await;
    platform.state.set_faults(PlatformFaults {
        lose_share: 1.0,
        ..PlatformFaults::default()
    });
    let state = platform.state.clone();
    // The platform goes down as soon as the write has taken effect.
    let outage = tokio::spawn(async move {
        while state.peek("config/head").is_none() {
            sleep(Duration::from_millis(1)).await;
        }
        state.set_faults(PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        });
    });
    let short_timeout = SubmitSettings {
        timeout: Duration::from_secs(1),
    };
    // Delays all calls, so that the outage begins before the head is read back.
    platform.state.set_faults(PlatformFaults {
        lose_share: 1.0,
        delay_ms: 50,
        ..PlatformFaults::default()
    });
    let first = request(0, "p-1", "a");
    let result = try_submit(&client, &first, short_timeout).await;
    outage.await.expect("outage");
    assert!(
        matches!(result, Err(SubmitError::Unknown { .. })),
        "{result:?}"
    );
    platform.state.set_faults(PlatformFaults::default());
    assert_eq!(try_submit(&client, &first, LIMIT).await.expect("same"), 1);
}

#[tokio::test]
async fn submit_platform_down() {
    let (platform, client) = start_platform().await;
    platform.state.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let short_timeout = SubmitSettings {
        timeout: Duration::from_millis(500),
    };
    let result = try_submit(&client, &request(0, "p-1", "a"), short_timeout).await;
    assert!(
        matches!(result, Err(SubmitError::Store { .. })),
        "{result:?}"
    );
}

#[tokio::test]
async fn submit_platform_behind() {
    let (_platform, client) = start_platform().await;
    let in_force = VersionedConfig::new(5, json!({})).expect("valid");
    let result = submit(&client, &in_force, &request(0, "p-1", "a"), LIMIT, 1).await;
    let Err(SubmitError::Store { source }) = result else {
        panic!("{result:?}");
    };
    assert!(
        matches!(
            source,
            StoreError::Behind {
                version: 0,
                in_force: 5
            }
        ),
        "{source}"
    );
}

#[tokio::test]
async fn history_ring() {
    let (platform, client) = start_platform().await;
    let mut current = VersionedConfig::default();
    for base in 0..131 {
        let next = request(base, "p", &format!("p-{base}"));
        let version = submit(&client, &current, &next, LIMIT, 1).await;
        assert_eq!(version.expect("accepted"), base + 1);
        current = current.patched(&next.patch).expect("valid");
    }
    let snapshot = platform.state.peek(&snapshot_key(128)).expect("snapshot");
    let snapshot: SnapshotWire = serde_json::from_slice(&snapshot).expect("snapshot");
    assert_eq!(snapshot.version, 128);
    let reader = retry_client(&client);
    let head = store::read_head(reader)
        .await
        .expect("head")
        .expect("head")
        .head;
    let current = store::catch_up(reader, &VersionedConfig::default(), &head).await;
    assert_eq!(current.expect("current").config.pools.len(), 131);
    for version in [0, 1, 64, 65, 130, 131] {
        let config = store::read_version(reader, version).await.expect("version");
        assert_eq!(config.config.pools.len() as u64, version);
    }
    let missing = store::read_version(reader, 132).await;
    assert!(matches!(missing, Err(StoreError::Missing { version: 132 })));
    let history = store::read_history(reader, 0).await.expect("history");
    let evidence = ReportEvidence {
        versions: history.versions,
        ..ReportEvidence::default()
    };
    let chain = &check_chains(&evidence)[0];
    assert_eq!((chain.length, chain.broken_at), (131, None));
}

#[tokio::test]
async fn history_stale_writer() {
    let (platform, client) = start_platform().await;
    let reader = retry_client(&client);
    let newer = json!({"version": 4097}).to_string();
    let older = json!({"version": 1}).to_string();
    assert_eq!(log_key(4097), log_key(1));
    for value in [&newer, &older] {
        let version = if value == &newer { 4097 } else { 1 };
        let key = log_key(version);
        let written = reader.put_newer(&key, version, value.as_bytes());
        written.await.expect("written");
    }
    assert_eq!(platform.state.peek(&log_key(1)), Some(newer.into_bytes()));
}

#[tokio::test]
async fn history_altered() {
    let (_platform, client) = start_platform().await;
    for base in 0..2 {
        let id = format!("p-{base}");
        try_submit(&client, &request(base, &id, &id), LIMIT)
            .await
            .expect("accepted");
    }
    let reader = retry_client(&client);
    let stored = client.get(&log_key(1)).await.expect("read").expect("entry");
    let mut entry: HeadWire = serde_json::from_slice(&stored.value).expect("entry");
    entry.reason = "another".to_owned();
    let value = serde_json::to_vec(&entry).expect("entry");
    client
        .compare_and_swap(&log_key(1), stored.revision, value)
        .await
        .expect("write");
    let history = store::read_history(reader, 0).await.expect("history");
    let evidence = ReportEvidence {
        versions: history.versions,
        ..ReportEvidence::default()
    };
    assert_eq!(check_chains(&evidence)[0].broken_at, Some(1));
}
