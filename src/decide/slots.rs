//! Shares of a VM's slots among the entry VMs of its data centre.

use xxhash_rust::xxh3::xxh3_64;

use crate::names::VmName;
use crate::peer::SharePlace;

/// Returns how many of `slots` the entry VM at place `index` of `entries` may use.
///
/// Over all places the shares add up to `slots`. Which places get the rest
/// differs from VM to VM by `vm_index`, so that no entry VM is favoured.
#[must_use]
pub fn equal_share(slots: u32, entries: u32, index: u32, vm_index: u32) -> u32 {
    if entries == 0 || index >= entries {
        return 0;
    }
    let turn = (index + vm_index) % entries;
    slots / entries + u32::from(turn < slots % entries)
}

/// Returns how many of `slots` of a VM the entry VM at `place` may use.
///
/// The rest is dealt out by a hash of the VM's name: its position in the fleet
/// record would not do, as entry VMs that have different records in force would
/// come to different shares.
#[must_use]
pub fn place_share(vm: &VmName, slots: u32, place: SharePlace) -> u32 {
    let vm_index = xxh3_64(vm.as_str().as_bytes()) % u64::from(place.entries.max(1));
    equal_share(slots, place.entries, place.index, vm_index as u32)
}

/// Returns the share while a layout may be changing: the smaller of both.
#[must_use]
pub fn smaller_share(vm: &VmName, slots: u32, place: SharePlace, next: Option<SharePlace>) -> u32 {
    let share = place_share(vm, slots, place);
    next.map_or(share, |next| share.min(place_share(vm, slots, next)))
}
