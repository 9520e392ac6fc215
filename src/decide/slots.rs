//! Shares of a VM's slots among the entry VMs of its data centre.

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
