//! Pace of maintenance waves, and their time limit across owners.

use chicorygauge::jobs::codec::decode;
use chicorygauge::jobs::codec::decode_with;
use chicorygauge::jobs::codec::encode;
use chicorygauge::jobs::codec::encode_with;
use chicorygauge::jobs::engine::TimePair;
use chicorygauge::jobs::record::WaveExtension;
use chicorygauge::jobs::record::WaveRecord;
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
        is_short: false,
    }
}

/// A wave that came with a peak took VMs from the pools that could not serve it, although the
/// peak was over long before the time limit of the wave.
#[test]
fn evacuations_shortage_deferred_while_in_time() {
    let shortage = WavePace {
        is_short: true,
        ..pace()
    };
    assert_eq!(shortage.evacuations(), 0);
    let late = WavePace {
        left_ms: 11_000,
        ..shortage
    };
    assert!(late.evacuations() >= 8, "{}", late.evacuations());
}

/// A wave that took all idle VMs at once, as fast as its maximum allows, lacked them in the peak
/// that began a second later.
#[test]
fn evacuations_idle_vms_spread_over_the_limit() {
    assert_eq!(pace().evacuations(), 80_usize.div_ceil(19) + 1);
    let begun = WavePace { away: 4, ..pace() };
    assert_eq!(begun.evacuations(), 2);
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
