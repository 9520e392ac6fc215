//! Distribution of a VM's slots among the entry VMs of its data centre.

use xxhash_rust::xxh3::xxh3_64;

use crate::names::VmName;
use crate::peer::SharePlace;

/// Returns how many of `slots` the entry VM at place `index` of `entries` may use.
///
/// The shares of all places add up to `slots`. If they cannot be equal, some places
/// get one slot more than others; `offset`, which differs from VM to VM, determines
/// which, so that no entry VM is favoured overall.
#[must_use]
pub fn equal_share(slots: u32, entries: u32, index: u32, offset: u32) -> u32 {
    if entries == 0 || index >= entries {
        return 0;
    }
    let rotated = (index + offset) % entries;
    slots / entries + u32::from(rotated < slots % entries)
}

/// Returns how many of a VM's `slots` the entry VM at `place` may use.
///
/// The offset for the remainder is a hash of the VM's name. The VM's position in the
/// fleet record is not usable for this, because entry VMs with different versions of
/// the record would compute different shares.
#[must_use]
pub fn place_share(vm: &VmName, slots: u32, place: SharePlace) -> u32 {
    let offset = xxh3_64(vm.as_str().as_bytes()) % u64::from(place.entries.max(1));
    equal_share(slots, place.entries, place.index, offset as u32)
}

/// Returns the smaller of an entry VM's shares in the current and the next layout.
///
/// `next` is `None` while no change of layout is in progress.
#[must_use]
pub fn smaller_share(vm: &VmName, slots: u32, place: SharePlace, next: Option<SharePlace>) -> u32 {
    let share = place_share(vm, slots, place);
    next.map_or(share, |next| share.min(place_share(vm, slots, next)))
}
