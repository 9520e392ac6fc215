//! Who owns a shard, as entry VMs learn it from the store and from each other.

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
        "the other has not seen the removal yet"
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
    // A new lease proves nothing before the owner's key stands under it.
    validity.renewed(8, 9000);
    assert_eq!(validity.valid_until_ms(), 2000);
    validity.reclaim(8, 3000);
    assert_eq!(validity.valid_until_ms(), 3000);
    validity.renewed(8, 9000);
    assert_eq!(validity.valid_until_ms(), 9000);
}

#[test]
fn collect_batch_leaves_the_rest() {
    let (sender, mut received) = tokio::sync::mpsc::unbounded_channel();
    (0..10).for_each(|number| sender.send(number).expect("a receiver"));
    let mut taken = Vec::new();
    while let Ok(first) = received.try_recv() {
        let burst = collect_batch(first, &mut received, 4);
        assert!(burst.len() <= 4);
        taken.extend(burst);
    }
    assert_eq!(taken, (0..10).collect::<Vec<_>>());
}
