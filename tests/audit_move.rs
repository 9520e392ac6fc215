//! Moves of audit rows from an outbox to segments.

use std::net::SocketAddr;

use chicorygauge::audit::AuditOutbox;
use chicorygauge::audit::AuditRow;
use chicorygauge::audit::find_chain_break;
use chicorygauge::fleet::wire::AuditWire;
use chicorygauge::names::DcName;
use chicorygauge::platform::PlatformClient;
use chicorygauge::platform::PlatformSettings;
use chicorygauge::service::audit::SEGMENT_ROWS;
use chicorygauge::service::audit::move_rows;
use chicorygauge::service::audit::segment_key;
use standin::platform;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;

fn rows(count: u64) -> Vec<AuditRow> {
    let mut outbox = AuditOutbox::default();
    for number in 0..count {
        outbox.append(AuditRow {
            subject: format!("vm/vm-{number}"),
            ..AuditRow::default()
        });
    }
    outbox.rows.into()
}

async fn start() -> (RunningPlatform, PlatformClient) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = platform::start(listen).await.expect("platform");
    let client = PlatformClient::new(PlatformSettings {
        address: platform.server.address,
        ..PlatformSettings::default()
    });
    (platform, client)
}

fn dc() -> DcName {
    "dc-1".parse().expect("name")
}

/// Returns the rows of a segment.
fn segment(platform: &RunningPlatform, sequence: u64) -> Vec<AuditRow> {
    let value = platform.state.peek(&segment_key(&dc(), sequence));
    let wire: Vec<AuditWire> = serde_json::from_slice(&value.expect("segment")).expect("rows");
    wire.into_iter().map(AuditRow::from).collect()
}

#[tokio::test]
async fn move_rows_repeated() {
    let (platform, client) = start().await;
    let all = rows(SEGMENT_ROWS + 20);
    // As after a crash before the outbox was trimmed: each move begins with rows that
    // were already moved.
    for (from, to) in [(0, 100), (50, 300), (0, 300), (200, all.len())] {
        let moved = move_rows(&client, &dc(), &all[from..to]).await;
        assert_eq!(moved.expect("moved"), to as u64);
    }
    let mut stored = segment(&platform, 1);
    assert_eq!(stored.len() as u64, SEGMENT_ROWS);
    stored.extend(segment(&platform, SEGMENT_ROWS + 1));
    assert_eq!(stored, all);
    assert_eq!(find_chain_break(&AuditRow::default(), &stored), None);
}

#[tokio::test]
async fn move_rows_answers_lost() {
    let (platform, client) = start().await;
    platform.state.set_faults(PlatformFaults {
        lose_share: 0.5,
        ..PlatformFaults::default()
    });
    let all = rows(40);
    for end in 1..=all.len() {
        while move_rows(&client, &dc(), &all[..end]).await.is_err() {}
    }
    assert_eq!(segment(&platform, 1), all);
}
