//! Time of the decisions, and size and encoding time of the records, by number of VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use chicorygauge::audit::AuditRow;
use chicorygauge::config::FleetConfig;
use chicorygauge::config::MeasureWeights;
use chicorygauge::config::VersionedConfig;
use chicorygauge::decide::dispatch::DispatchState;
use chicorygauge::decide::dispatch::SlotRequest;
use chicorygauge::decide::dispatch::VmTarget;
use chicorygauge::decide::planner::WaveView;
use chicorygauge::decide::planner::next_stops;
use chicorygauge::fleet::FleetRecord;
use chicorygauge::fleet::LedgerRow;
use chicorygauge::fleet::OutageCause;
use chicorygauge::fleet::PoolLedger;
use chicorygauge::fleet::wire::FleetWire;
use chicorygauge::fleet::wire::LedgerWire;
use chicorygauge::peer::wire as peer;
use chicorygauge::peer::wire::AnswerWire;
use chicorygauge::peer::wire::PushWire;
use chicorygauge::peer::wire::SummaryWire;
use chicorygauge::request::RequestClass;
use serde_json::Value;
use serde_json::json;

use crate::fit::report;
use crate::shapes;
use crate::support;
use crate::support::FleetShape;
use crate::support::START_MS;
use crate::support::SyntheticFleet;

/// Runs of which the median time is taken.
const RUNS: usize = 31;
/// VMs at the planned size: of the fleet and of one data centre.
const FLEET_VMS: f64 = 7100.0;
const DC_VMS: f64 = 296.0;

/// JSON document with the pools of a configuration.
pub fn make_document(config: &FleetConfig) -> Value {
    let pools = config.pools.iter().map(|(name, pool)| {
        let vms: Vec<_> = pool.vms.iter().map(ToString::to_string).collect();
        let pool = json!({"budget": pool.budget, "vms": vms});
        (name.to_string(), pool)
    });
    json!({ "pools": pools.collect::<serde_json::Map<_, _>>() })
}

/// Fleets of increasing size, each with about 296 VMs per data centre.
pub fn fleet_shapes() -> Vec<FleetShape> {
    vec![
        shapes::random_shape(500, 10, 2),
        shapes::random_shape(2000, 38, 7),
        shapes::random_shape(7100, 133, 24),
    ]
}

fn median_us(mut run: impl FnMut()) -> f64 {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        })
        .collect();
    times.sort();
    times[RUNS / 2].as_secs_f64() * 1e6
}

/// Ledgers, by pool, of a wave that uses the whole budget of every pool.
fn full_ledgers(fleet: &SyntheticFleet) -> BTreeMap<String, LedgerWire> {
    let rows = |(name, pool): (_, &chicorygauge::config::PoolConfig)| {
        let row = LedgerRow {
            dc: "dc-01".parse().expect("name"),
            cause: OutageCause::Planned("maintain-1-100-0123456789abcdef".parse().expect("name")),
            since_ms: START_MS,
        };
        let vms = pool.vms.iter().take(pool.budget as usize);
        let ledger = PoolLedger {
            rows: vms.map(|vm| (vm.clone(), row.clone())).collect(),
        };
        let name: &chicorygauge::names::PoolName = name;
        (name.to_string(), LedgerWire::from(&ledger))
    };
    fleet.config.pools.iter().map(rows).collect()
}

/// Measures all sizes and prints one row per figure.
pub fn measure() {
    let mut fleet_points: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for shape in fleet_shapes() {
        let fleet = support::make_fleet(&shape, MeasureWeights::default());
        let vms: usize = fleet.dcs.iter().map(|dc| dc.vms.len()).sum();
        let mut add = |name, value| {
            fleet_points
                .entry(name)
                .or_default()
                .push((vms as f64, value))
        };
        measure_config(&fleet, &mut add);
        measure_wave(&fleet, &mut add);
        measure_dispatch(&fleet, &mut add);
    }
    let mut dc_points: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for vms in [75_usize, 150, 296, 600] {
        let mut add = |name, value| dc_points.entry(name).or_default().push((vms as f64, value));
        measure_record(vms, &mut add);
    }
    println!("\ndecisions and records, x = VMs of the fleet, last column at 7,100");
    for (name, unit) in [
        ("patch, validate, digest", "us"),
        ("configuration document", "bytes"),
        ("next_stops", "us"),
        ("ledgers of a whole wave", "bytes"),
        ("ledgers decoded", "us"),
        ("request admitted and finished", "us"),
    ] {
        report(name, unit, &fleet_points[name], FLEET_VMS);
    }
    println!("\nfleet record, x = VMs of the data centre, last column at 296");
    for (name, unit) in [
        ("fleet record", "bytes"),
        ("fleet record encoded", "us"),
        ("fleet record decoded", "us"),
        ("audit row appended", "us"),
        ("push of a fleet record", "bytes"),
        ("push of a fleet record encoded", "us"),
        ("answer to a push", "bytes"),
        ("summary of a data centre, 20 pools", "bytes"),
    ] {
        report(name, unit, &dc_points[name], DC_VMS);
    }
}

fn measure_config(fleet: &SyntheticFleet, add: &mut impl FnMut(&'static str, f64)) {
    let document = make_document(&fleet.config);
    add("configuration document", document.to_string().len() as f64);
    let config = VersionedConfig::new(1, document).expect("configuration");
    let patch = json!({"pools": {"pool-001": {"queue_limit": 512}}});
    let time = median_us(|| {
        let next = config.patched(&patch).expect("patch");
        black_box(next.digest());
    });
    add("patch, validate, digest", time);
}

fn measure_wave(fleet: &SyntheticFleet, add: &mut impl FnMut(&'static str, f64)) {
    let ledgers = BTreeMap::new();
    let stale_dc_vms = BTreeSet::new();
    let view = WaveView {
        config: &fleet.config,
        fleet: &fleet.dcs[0],
        ledgers: &ledgers,
        stale_dc_vms: &stale_dc_vms,
        now_ms: START_MS,
    };
    let time = median_us(|| {
        black_box(next_stops(&view));
    });
    add("next_stops", time);
    let ledgers = full_ledgers(fleet);
    let text = serde_json::to_vec(&ledgers).expect("JSON");
    add("ledgers of a whole wave", text.len() as f64);
    let time = median_us(|| {
        let wire: BTreeMap<String, LedgerWire> = serde_json::from_slice(&text).expect("JSON");
        for ledger in wire.into_values() {
            black_box(PoolLedger::try_from(ledger).expect("ledger"));
        }
    });
    add("ledgers decoded", time);
}

fn measure_dispatch(fleet: &SyntheticFleet, add: &mut impl FnMut(&'static str, f64)) {
    let mut state = DispatchState::default();
    state.set_pools(fleet.config.pools.keys().map(|pool| (pool, 1024)));
    let vms = fleet.dcs[0].vms.iter();
    let targets = vms.map(|(name, vm)| VmTarget {
        name: name.clone(),
        pool: vm.pool.clone(),
        address: vm.address,
        share: 4,
        schedulable: true,
    });
    state.set_vms(Duration::ZERO, targets);
    let pool = &fleet.dcs[0].vms.values().next().expect("VM").pool;
    let mut ticket = 0;
    let rounds = 1000;
    let time = median_us(|| {
        for _ in 0..rounds {
            ticket += 1;
            let request = SlotRequest {
                ticket,
                pool: pool.clone(),
                class: RequestClass::Ordinary,
                deadline: Duration::from_secs(10),
                avoid: None,
                forwarded: false,
            };
            let actions = state.submit(Duration::from_secs(1), request);
            for action in actions {
                if let chicorygauge::decide::dispatch::DispatchAction::Grant { vm, .. } = action {
                    black_box(state.finish(Duration::from_secs(1), &vm, None));
                }
            }
        }
    });
    add("request admitted and finished", time / f64::from(rounds));
}

fn measure_record(vms: usize, add: &mut impl FnMut(&'static str, f64)) {
    let shape = shapes::random_shape(vms * 3, 20, 3);
    let fleet = support::make_fleet(&shape, MeasureWeights::default());
    let mut record: FleetRecord = fleet.dcs[0].clone();
    while record.vms.len() > vms {
        record.vms.pop_last();
    }
    let text = serde_json::to_vec(&FleetWire::from(&record)).expect("JSON");
    add("fleet record", text.len() as f64);
    let time = median_us(|| {
        black_box(serde_json::to_vec(&FleetWire::from(&record)).expect("JSON"));
    });
    add("fleet record encoded", time);
    let time = median_us(|| {
        let wire: FleetWire = serde_json::from_slice(&text).expect("JSON");
        black_box(FleetRecord::try_from(wire).expect("record"));
    });
    add("fleet record decoded", time);
    measure_messages(&record, add);
    let row = AuditRow {
        author: "entry-01".to_owned(),
        subject: "vm/vm-01-0001".to_owned(),
        action: "draining".to_owned(),
        ..AuditRow::default()
    };
    let time = median_us(|| {
        record.outbox.append(row.clone());
    });
    add("audit row appended", time);
}

/// Measures messages between entry VMs, with requests in progress at every VM.
fn measure_messages(record: &FleetRecord, add: &mut impl FnMut(&'static str, f64)) {
    let address = ([127, 0, 0, 1], 1).into();
    let push = || {
        peer::encode(&PushWire {
            dc: "dc-01".to_owned(),
            controller: address,
            config: None,
            fleet: Some(FleetWire::from(record)),
            roster: None,
        })
    };
    add("push of a fleet record", push().len() as f64);
    let time = median_us(|| {
        black_box(push());
    });
    add("push of a fleet record encoded", time);
    let answer = peer::encode(&AnswerWire {
        dc: "dc-01".to_owned(),
        name: "entry-01".to_owned(),
        entry_address: address,
        control_address: address,
        incarnation: u64::MAX,
        config_version: 100_000,
        fleet_sequence: 100_000,
        generation: 1000,
        in_use: record.vms.keys().map(|vm| (vm.to_string(), 8)).collect(),
    });
    add("answer to a push", answer.len() as f64);
    let pools: BTreeSet<_> = record.vms.values().map(|vm| vm.pool.to_string()).collect();
    let summary = peer::encode(&SummaryWire {
        dc: "dc-01".to_owned(),
        config_version: 100_000,
        entries: BTreeMap::from([("entry-01".to_owned(), address)]),
        slots: pools.into_iter().map(|pool| (pool, 1000)).collect(),
    });
    add("summary of a data centre, 20 pools", summary.len() as f64);
}
