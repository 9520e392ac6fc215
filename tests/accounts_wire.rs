//! Messages and records between the version before client accounts and this one.
//!
//! Guards against entry VMs that refuse each other's messages or the stored jobs during a
//! rolling update, in both orders, and against keys that an entry VM of the previous version
//! puts out of force. The structs are copies of that version's, with the same encoding.

use std::fmt::Debug;

use chicorygauge::jobs::account::AccountConfig;
use chicorygauge::jobs::account::KeyDigest;
use chicorygauge::jobs::config::AccountExtension;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::config::PoolConfig;
use chicorygauge::jobs::config::QueueConfig;
use chicorygauge::jobs::record::BodyRecord;
use chicorygauge::jobs::record::decode_body;
use chicorygauge::jobs::record::encode_body;
use chicorygauge::jobs::types::JobSpec;
use chicorygauge::jobs::types::ResourceVector;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::service::jobs::messages::ExchangeExtension;
use chicorygauge::service::jobs::messages::ExchangeMessage;
use chicorygauge::service::jobs::messages::OperatorState;
use chicorygauge::service::jobs::messages::RelayOperation;
use chicorygauge::service::jobs::messages::RelayRequest;
use chicorygauge::service::jobs::operator::ConfigOffer;
use chicorygauge::service::jobs::operator::apply_offer;
use chicorygauge::service::jobs::status::ConfigStatus;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct FormerStep {
    tasks: u32,
    need: (u64, u64, u64),
    estimate_ms: u64,
    after: Vec<u32>,
    checkpoints: bool,
    gang: bool,
    one_rack: bool,
    label: String,
    data_rack: String,
    per_worker: u32,
    speculative: bool,
    lasting: bool,
    image: String,
    target_ms: u64,
    fills: bool,
    may_miss: Option<u32>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct FormerSpec {
    spec: String,
    steps: Vec<FormerStep>,
    schedule: Option<(u32, u64, u64)>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
enum FormerOperation {
    Submit(FormerSpec),
    Query,
    Cancel,
    Pending,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct FormerRelay {
    job: String,
    queue: String,
    pool: String,
    ask: FormerOperation,
    version: u64,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct FormerBody {
    queue: String,
    pool: String,
    submitted_ms: u64,
    spec: FormerSpec,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct FormerQueue {
    name: String,
    host: String,
    prefix: String,
    pool: String,
    priority: u32,
    attempts: u32,
    slack: f64,
    target_ms: u64,
    advice: Option<(u64, u64, u64)>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct FormerConfig {
    version: u64,
    queues: Vec<FormerQueue>,
    pools: Vec<(String, bool, bool)>,
    body_bytes: usize,
    head_ms: u64,
    idle_ms: u64,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct FormerExchange {
    name: String,
    owner: Option<(String, String, u64, u64, u64)>,
    owning: bool,
    version: u64,
    config: Option<FormerConfig>,
    waves: Vec<(u64, Vec<String>, u64, usize)>,
}

/// Decodes as the previous version does.
fn former<T: DeserializeOwned>(bytes: &[u8]) -> T {
    rmp_serde::from_slice(bytes).expect("the previous version reads it")
}

/// Encodes as the previous version does.
fn encode_former<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("encode")
}

fn spec() -> JobSpec {
    JobSpec {
        spec: "text".to_owned(),
        steps: vec![StepSpec {
            tasks: 3,
            need: ResourceVector {
                cpu: 2000,
                memory_mb: 64,
                gpu: 1,
            },
            estimate_ms: 500,
            label: "ssd".to_owned(),
            may_miss: Some(1),
            ..StepSpec::default()
        }],
        schedule: None,
    }
}

fn relay(account: Option<&str>) -> RelayRequest {
    RelayRequest {
        job: "5c0e7a21d94b36f8".to_owned(),
        queue: "orders".to_owned(),
        pool: "fast".to_owned(),
        ask: RelayOperation::Submit(spec()),
        version: 7,
        account: account.map(str::to_owned),
        terms: None,
    }
}

fn body(account: Option<&str>) -> BodyRecord {
    BodyRecord {
        queue: "orders".to_owned(),
        pool: "fast".to_owned(),
        submitted_ms: 1_700_000_000_000,
        spec: spec(),
        account: account.map(Into::into),
        terms: None,
    }
}

fn config(version: u64, key: &str) -> JobConfig {
    JobConfig {
        version,
        queues: vec![
            QueueConfig {
                name: "orders".to_owned(),
                pool: "fast".to_owned(),
                ..QueueConfig::default()
            },
            QueueConfig {
                name: "public".to_owned(),
                anonymous: true,
                ..QueueConfig::default()
            },
        ],
        pools: vec![PoolConfig {
            name: "fast".to_owned(),
            ..PoolConfig::default()
        }],
        accounts: Some(vec![AccountConfig {
            name: "a".to_owned(),
            keys: vec![KeyDigest::of(key.as_bytes())],
            weight: 2.5,
            limit: ResourceVector {
                cpu: u64::MAX,
                ..ResourceVector::default()
            },
        }]),
        ..JobConfig::default()
    }
}

fn exchange(config: &JobConfig) -> ExchangeMessage {
    ExchangeMessage {
        name: "entry-1".to_owned(),
        version: config.version,
        config: Some(config.clone()),
        extension: Some(ExchangeExtension {
            accounts: Some(AccountExtension::from(config)),
            age_ms: Some(300),
        }),
        ..ExchangeMessage::default()
    }
}

/// Debug outputs stand for equality, which messages do not have.
fn assert_same(left: &impl Debug, right: &impl Debug) {
    assert_eq!(format!("{left:?}"), format!("{right:?}"));
}

#[test]
fn relay_request_read_in_both_versions() {
    // Guards against calls that fail while the owner or the front runs the other version.
    for account in [None, Some("a")] {
        let request = relay(account);
        let bytes = request.encode().expect("encode");
        assert_same(&RelayRequest::decode(&bytes).expect("decode"), &request);
        let read: FormerRelay = former(&bytes);
        assert_eq!(read.queue, "orders");
        assert!(matches!(&read.ask, FormerOperation::Submit(spec) if spec.steps[0].tasks == 3));
        let bytes = encode_former(&read);
        let request = RelayRequest::decode(&bytes).expect("decode");
        assert_same(&request, &relay(None));
    }
}

#[test]
fn body_read_in_both_versions() {
    // Guards against accepted jobs that are lost at a takeover by the other version.
    for account in [None, Some("a")] {
        let record = body(account);
        let bytes = encode_body(&record).expect("encode");
        assert_eq!(decode_body("key", &bytes).expect("decode"), record);
        let read: FormerBody = former(&bytes);
        assert_eq!(read.spec.steps[0].need, (2000, 64, 1));
        let bytes = encode_former(&read);
        assert_eq!(decode_body("key", &bytes).expect("decode"), body(None));
    }
}

#[test]
fn body_without_account_unchanged() {
    // Guards against stored bytes that change in deployments without accounts.
    let bytes = encode_body(&body(None)).expect("encode");
    assert_eq!(bytes, encode_former(&former::<FormerBody>(&bytes)));
}

#[test]
fn exchange_message_read_in_both_versions() {
    // Guards against entry VMs that lose contact with those of the other version.
    let config = config(7, "k-1");
    let message = exchange(&config);
    let bytes = message.encode().expect("encode");
    let read = ExchangeMessage::decode(&bytes).expect("decode");
    assert_eq!(read.extension, message.extension);
    let accounts = read.extension.and_then(|extension| extension.accounts);
    let received = read.config.expect("a configuration");
    assert_eq!(received.with_accounts(accounts.expect("accounts")), config);

    let read: FormerExchange = former(&bytes);
    let former_config = read.config.clone().expect("a configuration");
    assert_eq!((read.version, former_config.queues.len()), (7, 2));
    let read = ExchangeMessage::decode(&encode_former(&read)).expect("decode");
    assert_eq!(read.extension, None);
    assert_eq!(read.config.expect("a configuration").accounts, None);
}

#[test]
fn exchange_message_without_extension_read() {
    // Guards against a message without the extension that is refused.
    let message = ExchangeMessage {
        extension: None,
        ..exchange(&config(7, "k-1"))
    };
    let bytes = message.encode().expect("encode");
    let read = ExchangeMessage::decode(&bytes).expect("decode");
    assert_eq!(read.extension, None);
}

#[test]
fn exchange_message_with_later_value_read() {
    // Guards against a message that gains a further value in the next version.
    let message = exchange(&config(7, "k-1"));
    let mut bytes = message.encode().expect("encode");
    bytes.extend(encode_former(&("later", 1)));
    let read = ExchangeMessage::decode(&bytes).expect("decode");
    assert_eq!(read.extension, message.extension);
}

/// Entry VM that receives answers of peers.
struct Receiver {
    sender: watch::Sender<OperatorState>,
    status: ConfigStatus,
}

impl Receiver {
    fn new(needs_accounts: bool) -> Self {
        Self {
            sender: watch::Sender::new(OperatorState::default()),
            status: ConfigStatus::new(needs_accounts),
        }
    }

    /// Applies a message as the answer to a request that was sent now, and returns the
    /// version in force.
    fn receive(&self, message: ExchangeMessage) -> Option<u64> {
        let offer = ConfigOffer {
            source: &message.name,
            version: message.version,
            sent_ms: Some(chicorygauge::clock::boot_ms()),
        };
        let extension = message.extension.unwrap_or_default();
        apply_offer(&self.sender, &self.status, offer, message.config, extension);
        self.version()
    }

    fn version(&self) -> Option<u64> {
        let state = self.sender.borrow();
        state.config.as_ref().map(|config| config.version)
    }

    fn accepts(&self, key: &str) -> bool {
        let state = self.sender.borrow();
        let accounts = state.accounts.as_ref().expect("accounts");
        accounts.authenticate([key.as_bytes()].into_iter()).is_ok()
    }
}

/// Returns a configuration as an entry VM of the previous version sends it.
fn from_former(version: u64) -> ExchangeMessage {
    let message = exchange(&config(version, "k-1"));
    let read: FormerExchange = former(&message.encode().expect("encode"));
    ExchangeMessage::decode(&encode_former(&read)).expect("decode")
}

#[test]
fn config_without_accounts_not_put_in_force_where_they_are_needed() {
    // Guards against an entry VM of the previous version that puts all keys out of force.
    let receiver = Receiver::new(true);
    assert_eq!(receiver.receive(from_former(7)), None);
    assert_eq!(receiver.receive(exchange(&config(7, "k-1"))), Some(7));
    assert_eq!(receiver.receive(from_former(8)), Some(7));
    assert!(receiver.accepts("k-1"));
    assert_eq!(receiver.receive(exchange(&config(8, "k-2"))), Some(8));
    assert!(!receiver.accepts("k-1") && receiver.accepts("k-2"));
}

#[test]
fn config_without_accounts_put_in_force_where_there_are_none() {
    // Guards against entry VMs without a configuration in deployments without accounts.
    let receiver = Receiver::new(false);
    assert_eq!(receiver.receive(from_former(7)), Some(7));
    assert_eq!(receiver.receive(from_former(8)), Some(8));
}

#[test]
fn config_without_accounts_does_not_replace_accounts() {
    // Guards against the loss of all keys where the settings do not name the accounts yet.
    let receiver = Receiver::new(false);
    assert_eq!(receiver.receive(exchange(&config(7, "k-1"))), Some(7));
    assert_eq!(receiver.receive(from_former(8)), Some(7));
    assert!(receiver.accepts("k-1"));
}

#[test]
fn first_config_needs_recent_confirmation() {
    // Guards against a withdrawn key that a peer, cut off for longer, gives to an entry VM
    // that has just started.
    let with_age = |age_ms| {
        let mut message = exchange(&config(7, "k-1"));
        message.extension.as_mut().expect("an extension").age_ms = age_ms;
        message
    };
    let receiver = Receiver::new(true);
    for age_ms in [None, Some(3001), Some(u64::MAX)] {
        assert_eq!(receiver.receive(with_age(age_ms)), None, "{age_ms:?}");
    }
    assert_eq!(receiver.receive(with_age(Some(2000))), Some(7));
    let newer = ExchangeMessage {
        extension: Some(ExchangeExtension {
            accounts: Some(AccountExtension::from(&config(8, "k-2"))),
            age_ms: None,
        }),
        ..exchange(&config(8, "k-2"))
    };
    assert_eq!(receiver.receive(newer), Some(8), "newer is always better");
}

#[test]
fn peer_with_another_version_confirms_nothing() {
    // Guards against a confirmation by a peer that has not seen the version in force.
    let receiver = Receiver::new(true);
    receiver.receive(exchange(&config(7, "k-1")));
    let age_ms = receiver.status.age_ms().expect("a confirmation");
    assert!((300..1000).contains(&age_ms), "{age_ms}");
    let confirm = |version, age_ms| {
        let message = ExchangeMessage {
            version,
            config: None,
            extension: Some(ExchangeExtension {
                accounts: None,
                age_ms: Some(age_ms),
            }),
            ..ExchangeMessage::default()
        };
        receiver.receive(message);
        receiver.status.age_ms().expect("a confirmation")
    };
    assert!(confirm(6, 0) >= 300);
    assert!(confirm(8, 0) >= 300);
    assert!(confirm(7, 100) < 300);
}
