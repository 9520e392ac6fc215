//! Who owns a shard, as entry VMs learn it from the store and from each other.

use chicorygauge::jobs::record::MemberRecord;
use chicorygauge::service::jobs::bid::OwnerTerm;
use chicorygauge::service::jobs::member::hear_owner;
use chicorygauge::service::jobs::member::note_owner;
use chicorygauge::service::jobs::messages::MemberState;
use chicorygauge::service::jobs::messages::take_burst;

fn owner(epoch: u64) -> MemberRecord {
    MemberRecord {
        name: format!("entry-{epoch}"),
        epoch,
        ..MemberRecord::default()
    }
}

#[test]
fn hear_owner_gone_stays_gone() {
    let mut state = MemberState::default();
    note_owner(&mut state, owner(1), 10);
    state.former = state.owner.take().map(|(owner, _)| owner);
    assert!(
        !hear_owner(&mut state, owner(1)),
        "the other has not seen the removal yet"
    );
    assert_eq!(state.owner, None);
}

#[test]
fn hear_owner_later_counts() {
    let mut state = MemberState::default();
    note_owner(&mut state, owner(1), 10);
    assert!(hear_owner(&mut state, owner(2)));
    assert_eq!(state.owner, Some((owner(2), 0)));
    assert!(!hear_owner(&mut state, owner(1)));
}

#[test]
fn note_owner_earlier_ignored() {
    let mut state = MemberState::default();
    note_owner(&mut state, owner(3), 10);
    note_owner(&mut state, owner(2), 11);
    assert_eq!(state.owner, Some((owner(3), 10)));
}

#[test]
fn term_renewed_by_its_own_lease_only() {
    let term = OwnerTerm::new(7, 1000);
    term.renewed(7, 2000);
    assert_eq!(term.valid_ms(), 2000);
    // A new lease proves nothing before the owner's key stands under it.
    term.renewed(8, 9000);
    assert_eq!(term.valid_ms(), 2000);
    term.reclaim(8, 3000);
    assert_eq!(term.valid_ms(), 3000);
    term.renewed(8, 9000);
    assert_eq!(term.valid_ms(), 9000);
}

#[test]
fn take_burst_leaves_the_rest() {
    let (sender, mut received) = tokio::sync::mpsc::unbounded_channel();
    (0..10).for_each(|number| sender.send(number).expect("a receiver"));
    let mut taken = Vec::new();
    while let Ok(first) = received.try_recv() {
        let burst = take_burst(first, &mut received, 4);
        assert!(burst.len() <= 4);
        taken.extend(burst);
    }
    assert_eq!(taken, (0..10).collect::<Vec<_>>());
}
