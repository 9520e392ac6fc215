//! Limits on the requests of clients: where they come from.

use std::time::Duration;

use chicorygauge::decide::connections::StageLimits;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::service::ingress::limits::RequestLimits;
use chicorygauge::service::ingress::limits::VmLimits;
use chicorygauge::service::jobs::messages::ExchangeMessage;

fn config() -> JobConfig {
    JobConfig {
        version: 3,
        head_bytes: 65_536,
        head_ms: 2500,
        idle_ms: 9000,
        ..JobConfig::default()
    }
}

/// Limits that do not follow from the VM exceed its descriptors or its memory.
#[test]
fn callers_by_vm() {
    let small = VmLimits::default().callers().connections;
    assert_eq!((small.connections, small.buffer_bytes), (1950, 15 << 20));
    let large = VmLimits {
        memory_bytes: 512 << 20,
        descriptors: 8192,
    };
    let large = large.callers().connections;
    assert_eq!((large.connections, large.buffer_bytes), (2000, 48 << 20));
    let little_memory = VmLimits {
        memory_bytes: 32 << 20,
        ..VmLimits::default()
    };
    assert_eq!(little_memory.callers().connections.connections, 512);
    let none = VmLimits {
        memory_bytes: 0,
        descriptors: 0,
    };
    assert_eq!(none.callers().connections.connections, 1);
}

/// Two messages of the largest size are accepted from peers on any VM.
#[test]
fn peers_small_vm_largest_messages() {
    let vm = VmLimits {
        memory_bytes: 16 << 20,
        ..VmLimits::default()
    };
    assert_eq!(vm.peers(4 << 20).connections.buffer_bytes, 8 << 20);
}

#[test]
fn request_limits_of_configuration() {
    let limits = RequestLimits::from(&config());
    let stages = StageLimits {
        head: Duration::from_millis(2500),
        idle: Duration::from_secs(9),
    };
    assert_eq!((limits.head_bytes, limits.stages), (65_536, stages));
}

#[test]
fn request_limits_unstated_defaults() {
    let limits = RequestLimits::from(&JobConfig::default());
    assert_eq!(limits, RequestLimits::default());
}

/// An entry VM that has the configuration from another one refused heads that it allows.
#[test]
fn exchange_config_with_head_limit() {
    let message = ExchangeMessage {
        name: "e-1".to_owned(),
        version: 3,
        config: Some(config()),
        ..ExchangeMessage::default()
    };
    let bytes = message.encode().expect("encode");
    let decoded = ExchangeMessage::decode(&bytes).expect("decode");
    assert_eq!(decoded.config, Some(config()));
}

/// A message of an entry VM of the version before states no limit.
#[test]
fn exchange_config_without_head_limit() {
    let message = ExchangeMessage {
        config: Some(config()),
        ..ExchangeMessage::default()
    };
    let former = rmp_serde::to_vec(&message).expect("encode");
    let decoded = ExchangeMessage::decode(&former).expect("decode");
    assert_eq!(decoded.config.map(|config| config.head_bytes), Some(0));
}
