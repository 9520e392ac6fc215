//! Pace of maintenance waves, and their time limit across owners.

use chicorygauge::jobs::engine::TimePair;
use chicorygauge::jobs::record::WaveExtension;
use chicorygauge::jobs::record::WaveRecord;
use chicorygauge::jobs::record::decode;
use chicorygauge::jobs::record::decode_with;
use chicorygauge::jobs::record::encode;
use chicorygauge::jobs::record::encode_with;
use chicorygauge::jobs::wave::StoredWave;
use chicorygauge::jobs::wave::WaveOrder;
use chicorygauge::jobs::wave::WavePace;
use chicorygauge::jobs::wave::WaveProgress;

fn pace() -> WavePace {
    WavePace {
        left: 20,
        away: 0,
        left_ms: 19_000,
        per_vm_ms: 4000,
        most: 10,
        spare: None,
    }
}

/// A wave that came with a peak took VMs from the pools that could not serve it, although the
/// peak was over long before the time limit of the wave.
#[test]
fn evacuations_shortage_deferred_while_in_time() {
    let shortage = WavePace {
        spare: Some(0),
        ..pace()
    };
    assert_eq!(shortage.evacuations(), 0);
    let late = WavePace {
        left_ms: 11_000,
        ..shortage
    };
    assert!(late.evacuations() >= 8, "{}", late.evacuations());
}

/// A wave took VMs one by one while most were idle, and the rest in the next peak.
#[test]
fn evacuations_spare_vms_taken_at_once() {
    let idle = WavePace {
        spare: Some(30),
        ..pace()
    };
    let beyond_limit = idle.evacuations().saturating_sub(idle.most);
    assert!(idle.evacuations() >= idle.most);
    assert!(beyond_limit <= 1, "only the next one is evacuated ahead");
    let full = WavePace { away: 11, ..idle };
    assert_eq!(full.evacuations(), 0);
}

/// Without known demand, the wave is spread over its time limit.
#[test]
fn evacuations_unknown_demand_spread() {
    assert_eq!(pace().evacuations(), 80_usize.div_ceil(19) + 1);
}

/// Each owner counted the time limit of a wave from its own start, so a wave was late after
/// takeovers.
#[test]
fn new_wave_of_former_owner_keeps_its_start() {
    let order = WaveOrder {
        wave: 1,
        machines: vec!["m-1".to_owned()],
        limit_s: 20,
        most: 1,
    };
    let time = |boot: u64| TimePair {
        boot,
        unix: 1_000_000 + boot,
    };
    let first = WaveProgress::new(order.clone(), None, time(5000));
    let bytes = encode_with(&first.record, &first.extension(time(7000))).expect("a record");
    let (record, extension) = decode_with("key", &bytes).expect("a record");
    let stored = StoredWave { record, extension };
    let second = WaveProgress::new(order.clone(), Some(stored), time(12_000));
    assert_eq!(second.first_seen_ms, 5000);
    // A clock that was set back or forward does not move the start beyond the limit.
    for seen_unix_ms in [0, u64::MAX] {
        let stored = StoredWave {
            record: WaveRecord::default(),
            extension: Some(WaveExtension { seen_unix_ms }),
        };
        let wave = WaveProgress::new(order.clone(), Some(stored), time(30_000));
        assert!((10_000..=30_000).contains(&wave.first_seen_ms));
    }
}

/// An entry VM of the previous version could not read the progress of a wave, or the reverse.
#[test]
fn wave_record_read_by_both_versions() {
    let record = WaveRecord {
        ordered: vec!["m-1".to_owned()],
        complete: false,
    };
    let extended = encode_with(&record, &WaveExtension { seen_unix_ms: 7 }).expect("a record");
    let previous: WaveRecord = decode("key", &extended).expect("a record");
    assert_eq!(previous, record);
    let bytes = encode(&record).expect("a record");
    let (read, extension): (WaveRecord, Option<WaveExtension>) =
        decode_with("key", &bytes).expect("a record");
    assert_eq!((read, extension), (record, None));
}
