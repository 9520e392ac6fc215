//! Confirmation of the configuration, and API keys whose withdrawal may be unknown.
//!
//! Guards against a withdrawn key that is accepted for longer than the settings allow.

use chicorygauge::jobs::confirmation::ConfigConfirmation;
use chicorygauge::jobs::confirmation::MAX_FIRST_AGE_MS;
use chicorygauge::jobs::confirmation::PeerConfig;
use chicorygauge::jobs::confirmation::RevocationPolicy;

const STRICT: RevocationPolicy = RevocationPolicy {
    strict: true,
    limit_ms: 5000,
};

#[test]
fn allows_strict_only_within_the_limit() {
    // Guards against keys that are accepted without a confirmation, or after the limit.
    assert!(!STRICT.allows(None));
    assert!(STRICT.allows(Some(0)));
    assert!(STRICT.allows(Some(5000)));
    assert!(!STRICT.allows(Some(5001)));
}

#[test]
fn allows_not_strict_always() {
    // Guards against 503 answers in a store outage where the settings do not call for them.
    let policy = RevocationPolicy::default();
    assert!(!policy.strict);
    assert!(policy.allows(None) && policy.allows(Some(u64::MAX)));
}

#[test]
fn confirm_keeps_the_latest() {
    // Guards against a late answer that makes the confirmation older.
    let mut confirmation = ConfigConfirmation::default();
    assert_eq!(confirmation.age_ms(9000), None);
    confirmation.confirm(8000);
    confirmation.confirm(7000);
    confirmation.confirm_from_peer(7900, 100);
    assert_eq!(confirmation.age_ms(9000), Some(1000));
    confirmation.confirm_from_peer(8900, 100);
    assert_eq!(confirmation.age_ms(9000), Some(200));
}

#[test]
fn confirm_from_peer_older_than_the_clock_ignored() {
    // Guards against an age that counts from the start of the VM if it is older than that.
    let mut confirmation = ConfigConfirmation::default();
    confirmation.confirm_from_peer(1000, 1001);
    confirmation.confirm_from_peer(1000, u64::MAX);
    assert_eq!(confirmation.age_ms(1500), None);
}

#[test]
fn peers_that_only_reach_each_other_grow_old_together() {
    // Guards against two entry VMs that confirm each other for ever.
    let mut peers = [ConfigConfirmation::default(); 2];
    peers[0].confirm(1000);
    for step in 1..=20 {
        let sent_ms = 1000 + step * 500;
        // The answer leaves the peer 20 ms after the request and arrives 20 ms later.
        for (asks, answers) in [(0, 1), (1, 0)] {
            if let Some(age_ms) = peers[answers].age_ms(sent_ms + 20) {
                peers[asks].confirm_from_peer(sent_ms, age_ms);
            }
        }
        let now_ms = sent_ms + 40;
        let true_age_ms = now_ms - 1000;
        for peer in peers {
            let age_ms = peer.age_ms(now_ms);
            assert!(
                age_ms.is_none_or(|age_ms| age_ms >= true_age_ms),
                "{age_ms:?}"
            );
            assert_eq!(
                STRICT.allows(age_ms),
                true_age_ms <= 5000 && age_ms.is_some()
            );
        }
    }
}

#[test]
fn chain_of_peers_adds_the_age() {
    // Guards against an age that is reset at each hop.
    let mut near = ConfigConfirmation::default();
    let mut far = ConfigConfirmation::default();
    near.confirm_from_peer(10_000, 2000);
    let age_ms = near.age_ms(10_500).expect("an age");
    assert_eq!(age_ms, 2500);
    far.confirm_from_peer(10_500, age_ms);
    assert_eq!(far.age_ms(10_600), Some(2600));
}

#[test]
fn watch_wait_leaves_time_within_the_limit() {
    // Guards against 503 answers between two answers of a watch of a store that works.
    for limit_ms in [1000, 2000, 5000, 60_000] {
        let policy = RevocationPolicy {
            strict: true,
            limit_ms,
        };
        assert!(2 * policy.watch_wait_ms() <= limit_ms / 2, "{limit_ms}");
    }
    let policy = RevocationPolicy::default();
    assert!(2 * policy.watch_wait_ms() < MAX_FIRST_AGE_MS);
}

#[test]
fn refusal_depends_on_accounts_and_age() {
    // Guards against keys put out of force by a peer of the previous version, and against
    // withdrawn keys from a peer that was cut off.
    let config = PeerConfig {
        has_account_part: true,
        is_first: true,
        age_ms: Some(MAX_FIRST_AGE_MS),
    };
    assert_eq!(config.refusal(), None);
    let refusal = |config: PeerConfig| config.refusal();
    let without = PeerConfig {
        has_account_part: false,
        ..config
    };
    assert_eq!(refusal(without), Some("without_accounts"));
    let aged = PeerConfig {
        age_ms: Some(MAX_FIRST_AGE_MS + 1),
        ..config
    };
    assert_eq!(refusal(aged), Some("unconfirmed"));
    let unknown = PeerConfig {
        age_ms: None,
        ..config
    };
    assert_eq!(refusal(unknown), Some("unconfirmed"));
    let later = PeerConfig {
        is_first: false,
        ..unknown
    };
    assert_eq!(refusal(later), None);
}
