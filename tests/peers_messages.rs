//! Messages between entry VMs: malformed, repeated, out of order.
//!
//! Guards against a delayed or invalid push that replaces newer state, and against a
//! leave message of an earlier process that removes its successor.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::fleet::wire::FleetWire;
use chicorygauge::fleet::wire::RosterWire;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use chicorygauge::peer::diff::merge_diff;
use chicorygauge::peer::message::StatePush;
use chicorygauge::peer::wire;
use chicorygauge::peer::wire::AnswerWire;
use chicorygauge::peer::wire::ConfigWire;
use chicorygauge::peer::wire::CopyWire;
use chicorygauge::peer::wire::PushWire;
use hyper::Method;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;
use standin::platform::RunningPlatform;

use support::cluster;

const VMS: [&str; 2] = ["vm-1", "vm-2"];

async fn post(peer: SocketAddr, path: &str, body: Vec<u8>) -> (u16, Bytes) {
    let request = CallRequest {
        method: Method::POST,
        path,
        content_type: wire::MSGPACK,
        body: Bytes::from(body),
        limit: Duration::from_secs(20),
        ..CallRequest::default()
    };
    let answer = call(peer, request).await.expect("an answer");
    (answer.status.as_u16(), answer.body)
}

fn stored<T: serde::de::DeserializeOwned>(platform: &RunningPlatform, key: &str) -> T {
    let value = platform.state.peek(key).expect("stored");
    serde_json::from_slice(&value).expect("readable")
}

fn empty_push(controller: SocketAddr) -> PushWire {
    PushWire {
        dc: "dc".to_owned(),
        controller,
        config: None,
        fleet: None,
        roster: None,
    }
}

fn config_wire(version: u64, base: Option<u64>, document: &Value, digest: &str) -> ConfigWire {
    ConfigWire {
        version,
        base,
        json: document.to_string(),
        digest: digest.to_owned(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn push_out_of_order() {
    let platform = support::start_platform().await;
    let _backends = support::start_backends(&platform, "dc", &VMS).await;
    let plans = cluster::plans("dc", 2);
    let daemons = cluster::start(&plans, 2, &platform);
    cluster::patch(&daemons[0], 0, cluster::one_pool(&VMS)).await;
    cluster::wait_until_sharing(&daemons, 2, 2).await;
    let old_fleet: FleetWire = stored(&platform, "fleet/dc");
    let old_roster: RosterWire = stored(&platform, "entries/dc");
    let state = call(
        daemons[0].control,
        CallRequest {
            path: "/peer/v1/state",
            ..CallRequest::default()
        },
    );
    let state = state.await.expect("state");
    let copy: CopyWire = rmp_serde::from_slice(&state.body).expect("copy");
    cluster::patch(&daemons[0], 1, json!({"drains": {"vm-1": "inspection"}})).await;
    for daemon in &daemons {
        cluster::wait_for_status("version", daemon, |status| status["config_version"] == 2).await;
        // An outdated push is ignored, also when it is repeated.
        for _ in 0..2 {
            let push = PushWire {
                config: copy.config.clone(),
                fleet: Some(old_fleet.clone()),
                roster: Some(RosterWire {
                    generation: 1,
                    places: 1,
                    ..old_roster.clone()
                }),
                ..empty_push(daemons[0].control)
            };
            let (status, body) = post(daemon.control, "/peer/v1/push", wire::encode(&push)).await;
            assert_eq!(status, 200);
            let answer: AnswerWire = rmp_serde::from_slice(&body).expect("answer");
            assert_eq!(answer.config_version, 2);
            assert!(answer.fleet_sequence >= old_fleet.sequence);
            assert_eq!(answer.generation, old_roster.generation);
        }
        // Patches with another base version, or with a wrong digest of the result.
        for (base, digest) in [(7, ""), (2, "0")] {
            let push = PushWire {
                config: Some(config_wire(9, Some(base), &json!({}), digest)),
                ..empty_push(daemons[0].control)
            };
            let (status, _) = post(daemon.control, "/peer/v1/push", wire::encode(&push)).await;
            assert_eq!(status, 200);
        }
        let status = daemon.get("/v1/status").await.expect("status");
        assert_eq!(status["config_version"], 2, "{status}");
        assert_eq!(status["sharing"], 2, "{status}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn push_malformed() {
    let platform = support::start_platform().await;
    let plans = cluster::plans("dc", 1);
    let daemons = cluster::start(&plans, 1, &platform);
    let peer = daemons[0].control;
    cluster::patch(&daemons[0], 0, json!({"pools": {}})).await;
    cluster::wait_for_status("version", &daemons[0], |status| {
        status["config_version"] == 1
    })
    .await;
    let valid = wire::encode(&PushWire {
        config: Some(config_wire(5, None, &json!({}), "")),
        ..empty_push(peer)
    });
    let invalid = wire::encode(&PushWire {
        config: Some(config_wire(5, None, &json!({"pools": 3}), "")),
        ..empty_push(peer)
    });
    let other_dc = wire::encode(&PushWire {
        dc: "other".to_owned(),
        ..empty_push(peer)
    });
    let invalid_name = wire::encode(&PushWire {
        dc: "not a name".to_owned(),
        ..empty_push(peer)
    });
    let oversized = vec![0xc1; wire::MAX_MESSAGE_BYTES + 1];
    let truncated = valid[..valid.len() / 2].to_vec();
    let bodies = [
        (Vec::new(), 400),
        (vec![0xc1], 400),
        (truncated, 400),
        (oversized, 400),
        (invalid, 400),
        (invalid_name, 400),
        (other_dc, 409),
    ];
    for (body, expected) in bodies {
        let (status, _) = post(peer, "/peer/v1/push", body).await;
        assert_eq!(status, expected);
    }
    for path in ["/peer/v1/join", "/peer/v1/leave"] {
        let (status, _) = post(peer, path, vec![0xff; 100]).await;
        assert_eq!(status, 400, "{path}");
    }
    let status = daemons[0].get("/v1/status").await.expect("status");
    assert_eq!(status["config_version"], 1, "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn leave_of_another_process() {
    let platform = support::start_platform().await;
    let plans = cluster::plans("dc", 2);
    let daemons = cluster::start(&plans, 2, &platform);
    cluster::patch(&daemons[0], 0, json!({"pools": {}})).await;
    cluster::wait_until_sharing(&daemons, 2, 0).await;
    let body = wire::encode(&wire::LeaveWire {
        name: daemons[0].name.clone(),
        incarnation: 1,
    });
    for daemon in &daemons {
        post(daemon.control, "/peer/v1/leave", body.clone()).await;
    }
    let roster: RosterWire = stored(&platform, "entries/dc");
    assert_eq!(roster.places, 2);
    assert_eq!(roster.next_places, 0);
}

fn documents() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        any::<u8>().prop_map(Value::from),
        "[a-c]{0,2}".prop_map(Value::from),
        prop::collection::vec(any::<u8>(), 0..3).prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop::collection::btree_map("[a-d]", inner, 0..4)
            .prop_map(|map| Value::Object(map.into_iter().collect()))
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_diff_applied(from in documents(), to in documents()) {
        let mut patched = from.clone();
        json_patch::merge(&mut patched, &merge_diff(&from, &to));
        prop_assert_eq!(patched, to);
    }

    #[test]
    fn decode_any_bytes(mut body in prop::collection::vec(any::<u8>(), 0..200), at in 0..200_usize) {
        let _ = wire::decode::<PushWire, StatePush>(&body);
        // A well-formed message with one byte changed.
        let byte = body.pop().unwrap_or(0);
        let mut message = wire::encode(&empty_push(SocketAddr::from(([10, 0, 0, 1], 1))));
        let length = message.len();
        message[at % length] = byte;
        let _ = wire::decode::<PushWire, StatePush>(&message);
    }
}
