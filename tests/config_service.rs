//! Service `config`: which versions it puts in force, and how it watches the platform.
//!
//! Guards against an older version, or one from another history, being put in force, and
//! against a burst of calls after an outage of the platform.

use std::sync::Arc;
use std::time::Duration;

use chicorygauge::config::VersionedConfig;
use chicorygauge::config::head::HEAD_KEY;
use chicorygauge::config::patch::PatchRequest;
use chicorygauge::config::submit::SubmitSettings;
use chicorygauge::config::submit::submit;
use chicorygauge::kernel::ServiceKernel;
use chicorygauge::kernel::ShutdownPhase;
use chicorygauge::platform::PlatformClient;
use chicorygauge::platform::PlatformSettings;
use chicorygauge::service::config;
use chicorygauge::service::config::ConfigInbox;
use chicorygauge::service::config::ConfigMessage;
use chicorygauge::service::config::ConfigStatusView;
use chicorygauge::service::config::ConfigView;
use serde_json::json;
use standin::platform;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;
use tokio::time::sleep;
use tokio::time::timeout;

/// Max time to wait for a condition; far more than any of them needs.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

struct ServiceUnderTest {
    kernel: ServiceKernel,
    config: ConfigView,
    status: ConfigStatusView,
    inbox: ConfigInbox,
}

impl Drop for ServiceUnderTest {
    fn drop(&mut self) {
        self.kernel.advance(ShutdownPhase::Stopped);
    }
}

impl ServiceUnderTest {
    fn start(client: &PlatformClient) -> Self {
        let kernel = ServiceKernel::default();
        config::start(&kernel, client.clone());
        Self {
            config: kernel.find(config::NAME).expect("view"),
            status: kernel.find(config::NAME).expect("view"),
            inbox: kernel.find(config::NAME).expect("inbox"),
            kernel,
        }
    }

    async fn wait_for_version(&self, version: u64) {
        let mut view = self.config.clone();
        let reached = view.wait_for(|config| config.version >= version);
        let reached = timeout(WAIT_LIMIT, reached).await.expect("in time");
        assert_eq!(reached.expect("service").version, version);
    }

    async fn wait_for_error(&self, text: &str) {
        let mut view = self.status.clone();
        let failed = view.wait_for(|status| status.error.contains(text));
        timeout(WAIT_LIMIT, failed)
            .await
            .expect("in time")
            .expect("service");
    }

    async fn send(&self, message: ConfigMessage) {
        self.inbox.send(message).await.expect("service");
    }

    fn version(&self) -> u64 {
        self.config.borrow().version
    }
}

async fn start_platform() -> (RunningPlatform, PlatformClient) {
    let platform = platform::start(([127, 0, 0, 1], 0).into()).await;
    let platform = platform.expect("platform");
    let client = PlatformClient::new(PlatformSettings {
        address: platform.server.address,
        call_limit: Duration::from_secs(1),
        watch_wait: Duration::from_secs(2),
    });
    (platform, client)
}

async fn accept(client: &PlatformClient, base: u64) {
    let request = PatchRequest {
        base,
        patch: json!({"pools": {format!("p-{base}"): {}}}),
        author: "ann".to_owned(),
        reason: "test".to_owned(),
        patch_id: format!("patch-{base}"),
    };
    let known = VersionedConfig::default();
    let limit = SubmitSettings {
        timeout: WAIT_LIMIT,
    };
    let version = submit(client, &known, &request, limit, 1).await;
    assert_eq!(version.expect("accepted"), base + 1);
}

fn offer(version: u64) -> ConfigMessage {
    let config = VersionedConfig::new(version, json!({})).expect("valid");
    ConfigMessage::Offer(Arc::new(config))
}

#[tokio::test]
async fn follow_head() {
    let (_platform, client) = start_platform().await;
    let service = ServiceUnderTest::start(&client);
    for base in 0..3 {
        accept(&client, base).await;
        service.wait_for_version(base + 1).await;
    }
    // A service that starts late reads the history.
    let late = ServiceUnderTest::start(&client);
    late.wait_for_version(3).await;
    assert_eq!(
        late.config.borrow().document,
        service.config.borrow().document
    );
}

#[tokio::test]
async fn follow_slow_platform() {
    let (platform, client) = start_platform().await;
    let service = ServiceUnderTest::start(&client);
    accept(&client, 0).await;
    platform.state.set_faults(PlatformFaults {
        delay_ms: 300,
        refuse_share: 0.3,
        ..PlatformFaults::default()
    });
    accept(&client, 1).await;
    service.wait_for_version(2).await;
}

#[tokio::test]
async fn follow_older_head() {
    let (_platform, client) = start_platform().await;
    accept(&client, 0).await;
    let first = client.get(HEAD_KEY).await.expect("read").expect("head");
    accept(&client, 1).await;
    let service = ServiceUnderTest::start(&client);
    service.wait_for_version(2).await;
    // Restores the head from an old copy, as a platform restored from a backup has it.
    let second = client.get(HEAD_KEY).await.expect("read").expect("head");
    let written = client.compare_and_swap(HEAD_KEY, second.revision, first.value);
    assert!(written.await.expect("write"));
    service.wait_for_error("platform is behind").await;
    assert_eq!(service.version(), 2);
}

#[tokio::test]
async fn follow_platform_made_anew() {
    let (platform, client) = start_platform().await;
    accept(&client, 0).await;
    accept(&client, 1).await;
    let service = ServiceUnderTest::start(&client);
    service.wait_for_version(2).await;
    let address = platform.server.address;
    drop(platform);
    service.wait_for_error("step=").await;
    let recreated = platform::start(address).await.expect("same address");
    service.wait_for_error("platform is behind").await;
    assert_eq!(service.version(), 2);
    drop(recreated);
}

#[tokio::test]
async fn offer_newer() {
    let (_platform, client) = start_platform().await;
    let service = ServiceUnderTest::start(&client);
    service.send(offer(7)).await;
    service.wait_for_version(7).await;
    service.send(offer(5)).await;
    service.send(offer(8)).await;
    service.wait_for_version(8).await;
}

#[tokio::test]
async fn offer_older() {
    let (_platform, client) = start_platform().await;
    accept(&client, 0).await;
    accept(&client, 1).await;
    let service = ServiceUnderTest::start(&client);
    service.wait_for_version(2).await;
    let before = service.config.borrow().clone();
    service.send(offer(1)).await;
    service.send(offer(2)).await;
    // Messages are handled in order, so both offers have been handled after this one.
    service.send(ConfigMessage::Watch(false)).await;
    let mut status = service.status.clone();
    let switched = status.wait_for(|status| !status.watching);
    timeout(WAIT_LIMIT, switched)
        .await
        .expect("in time")
        .expect("service");
    assert_eq!(*service.config.borrow(), before);
}

#[tokio::test]
async fn watch_switched_off() {
    let (platform, client) = start_platform().await;
    let service = ServiceUnderTest::start(&client);
    service.send(ConfigMessage::Watch(false)).await;
    let mut status = service.status.clone();
    let switched = status.wait_for(|status| !status.watching);
    timeout(WAIT_LIMIT, switched)
        .await
        .expect("in time")
        .expect("service");
    let calls = |platform: &RunningPlatform| platform.state.counts().get("kv_watch").copied();
    let before = calls(&platform);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(calls(&platform), before, "no call while the watch is off");
    accept(&client, 0).await;
    service.send(offer(1)).await;
    service.wait_for_version(1).await;
    accept(&client, 1).await;
    service.send(ConfigMessage::Watch(true)).await;
    service.wait_for_error("documents differ").await;
    assert_eq!(
        service.version(),
        1,
        "a version from another history is not put in force"
    );
}

/// Number of data centres at the planned size, each with one watch.
const WATCHES: usize = 24;
/// Max calls of one service in the ten seconds after an outage: one watch every two
/// seconds, two reads of a version, and one call whose backoff delay was running.
const MAX_CALLS_AFTER_OUTAGE: u64 = 8;

#[tokio::test(flavor = "multi_thread")]
async fn outage_return() {
    let (platform, client) = start_platform().await;
    let services: Vec<_> = (0..WATCHES)
        .map(|_| ServiceUnderTest::start(&client))
        .collect();
    accept(&client, 0).await;
    for service in &services {
        service.wait_for_version(1).await;
    }
    let total = |platform: &RunningPlatform| platform.state.counts().values().sum::<u64>();
    let before = total(&platform);
    platform.state.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    sleep(Duration::from_secs(8)).await;
    let during = total(&platform) - before;
    platform.state.set_faults(PlatformFaults::default());
    let returned = total(&platform);
    sleep(Duration::from_secs(10)).await;
    let after = total(&platform) - returned;
    println!("watches={WATCHES} calls_in_8_s_of_outage={during} calls_in_10_s_after={after}");
    assert!(
        during <= WATCHES as u64 * 16,
        "{during} calls in the outage"
    );
    assert!(
        after <= WATCHES as u64 * MAX_CALLS_AFTER_OUTAGE,
        "{after} calls after it"
    );
    accept(&client, 1).await;
    for service in &services {
        service.wait_for_version(2).await;
    }
}
