//! Memory of the metrics: nothing may grow with the number of requests.

use chicorygauge::metrics;

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status file");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<u64>().ok())
        .expect("a size")
        << 10
}

/// The time of each request was kept until somebody read the metrics, so that a daemon
/// whose metrics nobody reads grew by sixteen bytes a request.
#[test]
fn histogram_unread_bounded() {
    /// Values recorded between two aggregations.
    const BATCH: usize = 1 << 18;
    /// Less than half of what all values would take.
    const LIMIT_BYTES: u64 = 16 << 20;
    metrics::start();
    let record = || {
        for value in 0..BATCH {
            ::metrics::histogram!("chicory_request_seconds").record(value as f64);
        }
        metrics::drain_histograms();
    };
    record();
    let before = resident_bytes();
    (0..8).for_each(|_| record());
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < LIMIT_BYTES, "grew by {grown} bytes");
}
