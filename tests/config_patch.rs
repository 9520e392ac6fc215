//! Patches and documents: merging, conflicts, limits and faults; and the backoff
//! between repeated calls to the platform.

use chicorygauge::config::VersionedConfig;
use chicorygauge::config::patch::MAX_PATCH_DEPTH;
use chicorygauge::config::patch::PatchRequest;
use chicorygauge::config::patch::common_fields;
use chicorygauge::platform::backoff::BackoffSettings;
use chicorygauge::platform::backoff::BackoffState;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::Value;
use serde_json::json;

fn config_with_seed(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Any JSON value, with keys from a small set, so that two patches often share fields.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z]{0,3}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 4, |inner| {
        let list = prop::collection::vec(inner.clone(), 0..3).prop_map(Value::from);
        let keys = prop_oneof!["[abc]", "pools|weights|wave|drains|budget|vms|buffer"];
        let map = prop::collection::btree_map(keys, inner, 0..4);
        let map = map.prop_map(|map| Value::Object(map.into_iter().collect()));
        prop_oneof![list, map.clone(), map]
    })
}

fn any_object() -> impl Strategy<Value = Value> {
    any_json().prop_map(|value| match value {
        Value::Object(map) => Value::Object(map),
        value => json!({ "a": value }),
    })
}

fn merged(document: &Value, patches: [&Value; 2]) -> Value {
    let mut document = document.clone();
    for patch in patches {
        json_patch::merge(&mut document, patch);
    }
    document
}

proptest! {
    #![proptest_config(config_with_seed(11))]

    #[test]
    fn common_fields_none_commutes(document in any_object(), one in any_object(), two in any_object()) {
        prop_assume!(common_fields(&one, &two).is_empty());
        prop_assert_eq!(merged(&document, [&one, &two]), merged(&document, [&two, &one]));
    }

    #[test]
    fn common_fields_symmetric(one in any_object(), two in any_object()) {
        let mut forward = common_fields(&one, &two);
        let mut backward = common_fields(&two, &one);
        forward.sort();
        backward.sort();
        prop_assert_eq!(forward, backward);
    }

    #[test]
    fn document_reread(buffer in 0.0..1e18f64, moves in any::<u32>()) {
        let config = VersionedConfig::new(1, json!({"weights": {"buffer": buffer, "moves": moves}}));
        let config = config.expect("valid");
        let text = config.document.to_string();
        let reread = VersionedConfig::new(1, serde_json::from_str(&text).expect("JSON"));
        prop_assert_eq!(reread.expect("valid").digest(), config.digest());
    }

    #[test]
    fn patched_arbitrary(patches in prop::collection::vec(any_json(), 1..6)) {
        let mut current = VersionedConfig::default();
        for patch in &patches {
            if let Ok(next) = current.patched(patch) {
                prop_assert!(next.document.is_object());
                prop_assert_eq!(next.version, current.version + 1);
                current = next;
            }
        }
    }

    #[test]
    fn backoff_delay_bounded(failures in 1usize..80, draw in 0.0..1.0f64) {
        let settings = BackoffSettings::default();
        let mut state = BackoffState::new(settings);
        for _ in 0..failures {
            let delay = state.next_pause(draw);
            prop_assert!(delay >= settings.first / 2 && delay <= settings.max);
        }
        state.reset();
        prop_assert!(state.next_pause(draw) <= settings.first);
    }
}

#[test]
fn common_fields_named() {
    let wave = json!({"wave": {"running": true}, "drains": {"vm-1": "x"}});
    let stop = json!({"wave": {"running": false}, "drains": {"vm-2": null}});
    assert_eq!(common_fields(&wave, &stop), ["wave.running"]);
    let removal = json!({"wave": null});
    assert_eq!(common_fields(&removal, &stop), ["wave"]);
    assert!(common_fields(&json!({}), &stop).is_empty());
}

fn request(patch: Value) -> PatchRequest {
    PatchRequest {
        base: 0,
        patch,
        author: "ann".to_owned(),
        reason: "why".to_owned(),
        patch_id: "p-1".to_owned(),
    }
}

#[test]
fn request_bounds() {
    let nested = |levels: usize| (1..levels).fold(json!({}), |inner, _| json!({ "a": inner }));
    assert!(request(nested(MAX_PATCH_DEPTH)).check().is_ok());
    let bad = [
        (request(nested(MAX_PATCH_DEPTH + 1)), "levels of nesting"),
        (request(json!([])), "patch: accepted is a JSON object"),
        (
            request(json!({"a": "x".repeat(900_000)})),
            "bytes, accepted are 900000",
        ),
        (
            PatchRequest {
                author: String::new(),
                ..request(json!({}))
            },
            "author: accepted are 1 to 128",
        ),
        (
            PatchRequest {
                reason: "a\nb".to_owned(),
                ..request(json!({}))
            },
            "reason: accepted are",
        ),
        (
            PatchRequest {
                patch_id: "x".repeat(65),
                ..request(json!({}))
            },
            "patch_id: accepted are 1 to 64",
        ),
    ];
    for (request, expected) in bad {
        let error = request.check().expect_err(expected).to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn patched_faults() {
    let document = json!({
        "pools": {
            "a": {"budget": 1, "vms": ["vm-1", "vm-2"]},
            "b": {"budget": 0, "vms": ["vm-3"]},
        },
        "drains": {"vm-1": "disk"},
    });
    let current = VersionedConfig::new(7, document).expect("valid");
    let window = |days: Value, start: u32, minutes: u32| json!({"pools": {"a": {"windows": [{"days": days, "start_minute": start, "minutes": minutes}]}}});
    let bad = [
        (
            json!({"pools": {"a": {"budget": 3}}}),
            "budget 3 is larger than the pool of 2 VMs",
        ),
        (
            json!({"pools": {"b": {"vms": ["vm-2"]}}}),
            "VM vm-2 is in pool a as well",
        ),
        (
            json!({"pools": {"a": {"vms": ["vm-2", "vm-2"]}}}),
            "VM vm-2 stands twice",
        ),
        (window(json!([]), 0, 10), "can never open"),
        (window(json!([7]), 0, 10), "accepted are 0 (Monday) to 6"),
        (window(json!([1]), 0, 0), "can never open"),
        (window(json!([1]), 1440, 10), "accepted is 0 to 1439"),
        (
            json!({"pools": {"a": {"vms": ["vm-2"]}}}),
            "drains.vm-1: no pool has this VM",
        ),
        (
            json!({"pools": {"a": {"budget": 0}}}),
            "1 of its VMs are drained, the budget is 0",
        ),
        (
            json!({"drains": {"vm-2": "x"}}),
            "2 of its VMs are drained, the budget is 1",
        ),
        (
            json!({"wave": {"id": "w", "pools": ["b"], "running": true}}),
            "the budget of pool b is 0",
        ),
        (
            json!({"wave": {"id": "w", "pools": ["c"], "running": true}}),
            "there is no pool c",
        ),
        (
            json!({"wave": {"id": "no name", "running": true}}),
            "wave.id: accepted is a name",
        ),
        (json!({"spare_pool": "c"}), "there is no pool c"),
        (json!({"pools": {"no name": {}}}), "is not a name"),
        (
            json!({"weights": {"buffer": -1.0}}),
            "weights.buffer: accepted is 0 or more",
        ),
        (
            json!({"maintenance": {"period_s": 0}}),
            "maintenance.period_s",
        ),
        (json!({"unknown": 1}), "unknown field"),
        (json!([]), "accepted is a JSON object"),
    ];
    for (patch, expected) in bad {
        let error = current.patched(&patch).expect_err(expected).to_string();
        assert!(error.contains(expected), "{expected}: {error}");
    }
}

#[test]
fn digest_order() {
    let one = serde_json::from_str(r#"{"weights": {"moves": 1}, "pools": {}}"#).expect("JSON");
    let two = serde_json::from_str(r#"{"pools": {}, "weights": {"moves": 1}}"#).expect("JSON");
    let digest = |document| VersionedConfig::new(1, document).expect("valid").digest();
    assert_eq!(digest(one), digest(two));
}
