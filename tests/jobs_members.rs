//! Ownership of a shard: what entry VMs learn from the store and from each other, the
//! validity of the owner's lease, and batches of events.

use chicorygauge::jobs::record::MemberRecord;
use chicorygauge::service::jobs::claim::OwnerValidity;
use chicorygauge::service::jobs::member::update_owner;
use chicorygauge::service::jobs::member::update_owner_from_peer;
use chicorygauge::service::jobs::messages::MemberState;
use chicorygauge::service::jobs::messages::collect_batch;

fn owner(epoch: u64) -> MemberRecord {
    MemberRecord {
        name: format!("entry-{epoch}"),
        epoch,
        ..MemberRecord::default()
    }
}

#[test]
fn update_owner_from_peer_removed_owner_ignored() {
    let mut state = MemberState::default();
    update_owner(&mut state, owner(1), 10);
    state.former_owner = state.owner.take().map(|(owner, _)| owner);
    assert!(
        !update_owner_from_peer(&mut state, owner(1)),
        "the other entry VM has not seen the removal yet"
    );
    assert_eq!(state.owner, None);
}

#[test]
fn update_owner_from_peer_later_epoch_accepted() {
    let mut state = MemberState::default();
    update_owner(&mut state, owner(1), 10);
    assert!(update_owner_from_peer(&mut state, owner(2)));
    assert_eq!(state.owner, Some((owner(2), 0)));
    assert!(!update_owner_from_peer(&mut state, owner(1)));
}

#[test]
fn update_owner_earlier_epoch_ignored() {
    let mut state = MemberState::default();
    update_owner(&mut state, owner(3), 10);
    update_owner(&mut state, owner(2), 11);
    assert_eq!(state.owner, Some((owner(3), 10)));
}

#[test]
fn owner_validity_renewed_by_its_own_lease_only() {
    let validity = OwnerValidity::new(7, 1000);
    validity.renewed(7, 2000);
    assert_eq!(validity.valid_until_ms(), 2000);
    // A renewal of a new lease does not count before the owner's key is attached to it.
    validity.renewed(8, 9000);
    assert_eq!(validity.valid_until_ms(), 2000);
    validity.reclaim(8, 3000);
    assert_eq!(validity.valid_until_ms(), 3000);
    validity.renewed(8, 9000);
    assert_eq!(validity.valid_until_ms(), 9000);
}

#[test]
fn collect_batch_leaves_the_rest() {
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    (0..10).for_each(|number| sender.send(number).expect("a receiver"));
    let mut collected = Vec::new();
    while let Ok(first) = receiver.try_recv() {
        let batch = collect_batch(first, &mut receiver, 4);
        assert!(batch.len() <= 4);
        collected.extend(batch);
    }
    assert_eq!(collected, (0..10).collect::<Vec<_>>());
}
