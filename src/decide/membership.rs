//! Membership of the entry VMs of a data centre.
//!
//! The roster assigns places to entry VMs; this layout of places determines how they
//! share the slots of each VM. A change of layout takes two writes of the roster. The
//! first adds the next layout: from then on each entry VM that has received it uses
//! the smaller of its shares in both layouts. Once every holder of a place has
//! acknowledged it, with no more requests in progress than this smaller share, the
//! second write makes the next layout the current one.
//!
//! So the shares in use never add up to more than a VM's slots, however long an entry
//! VM lags behind. Before the second write each uses at most its share in the current
//! layout. After it, those that lag use at most the smaller share, and the others
//! their share in the new layout. The next change starts only after that, and again
//! needs the acknowledgement of those that lag.
//!
//! A restarted process gets its place back only when the roster contains its new
//! incarnation. A former controller cannot write such a roster, so a delayed
//! message cannot give the new process a place in an outdated layout.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::decide::slots::smaller_share;
use crate::fleet::EntryRecord;
use crate::fleet::EntryRoster;
use crate::names::EntryName;
use crate::names::VmName;
use crate::peer::EntryAck;
use crate::peer::SharePlace;

/// An entry VM's answer to the controller: its addresses and its state.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryReport {
    /// Address for callers and forwarding peers.
    pub entry_address: SocketAddr,
    /// Address of the control interface, for peers and operators.
    pub control_address: SocketAddr,
    /// Random number that identifies its process; a restarted one has another.
    pub incarnation: u64,
    /// Versions in force and requests in progress.
    pub ack: EntryAck,
}

/// Input of a membership decision of the controller.
#[derive(Clone, Copy, Debug)]
pub struct MembershipView<'a> {
    /// Roster as last written to the store.
    pub roster: &'a EntryRoster,
    /// Reports received in this round; entry VMs that are not in the roster join.
    pub reports: &'a BTreeMap<EntryName, EntryReport>,
    /// Entry VMs that will not serve again: they have left with no requests in
    /// progress, have been missing from the platform's list for longer than its lag,
    /// or were removed by operators.
    pub gone: &'a BTreeSet<EntryName>,
    /// Total number of slots of each VM.
    pub slots: &'a BTreeMap<VmName, u32>,
}

/// Returns the roster to be written next, or `None` if nothing changes.
#[must_use]
pub fn next_roster(view: &MembershipView<'_>) -> Option<EntryRoster> {
    let mut next = view.roster.clone();
    next.entries.retain(|name, _| !view.gone.contains(name));
    let restarted = update_restarted(&mut next, view);
    let wanted = wanted_members(&next, view);
    let changed = wanted != planned_members(&next) || has_vacant_place(&next);
    if changed {
        plan_layout(&mut next, &wanted, view);
    } else if next.next_places > 0 && !restarted && is_acknowledged(&next, view) {
        activate_next_layout(&mut next);
    }
    if next == *view.roster {
        return None;
    }
    next.generation += 1;
    Some(next)
}

/// Returns an entry VM's places in the current and, if there is one, the next layout.
///
/// A process whose incarnation is not in the roster has no place.
#[must_use]
pub fn places_of(
    roster: &EntryRoster,
    name: &EntryName,
    incarnation: u64,
) -> (SharePlace, Option<SharePlace>) {
    let entry = roster.entries.get(name);
    let Some(entry) = entry.filter(|entry| entry.incarnation == incarnation) else {
        return (SharePlace::NONE, None);
    };
    let now = place_in(entry.place, roster.places);
    let next = (roster.next_places > 0).then(|| place_in(entry.next_place, roster.next_places));
    (now, next)
}

fn place_in(index: Option<u32>, entries: u32) -> SharePlace {
    index.map_or(SharePlace::NONE, |index| SharePlace { entries, index })
}

/// Updates the incarnation of restarted processes; returns whether there was one.
///
/// A new incarnation at the same control address shows that the earlier process has
/// ended.
fn update_restarted(roster: &mut EntryRoster, view: &MembershipView<'_>) -> bool {
    let mut restarted = false;
    for (name, entry) in &mut roster.entries {
        let report = view.reports.get(name);
        let report = report.filter(|report| report.control_address == entry.control_address);
        if let Some(report) = report.filter(|report| report.incarnation != entry.incarnation) {
            entry.incarnation = report.incarnation;
            entry.entry_address = report.entry_address;
            restarted = true;
        }
    }
    restarted
}

/// Returns the entry VMs that should share the slots.
///
/// None joins while a holder of a place is unresponsive: the change of layout could
/// not complete without its acknowledgement, and until then the others would have to
/// use the smaller shares.
fn wanted_members(roster: &EntryRoster, view: &MembershipView<'_>) -> BTreeSet<EntryName> {
    let holders = roster.entries.iter();
    let holders = holders.filter(|(_, entry)| entry.place.is_some());
    let holders: BTreeSet<_> = holders.map(|(name, _)| name.clone()).collect();
    let unresponsive = holders.iter().any(|name| !view.reports.contains_key(name));
    if unresponsive {
        return holders;
    }
    let reporting = view.reports.keys();
    let reporting = reporting.filter(|name| !view.gone.contains(*name)).cloned();
    holders.into_iter().chain(reporting).collect()
}

/// Returns the entry VMs with a place in the next layout, or in the current one if no
/// change is in progress.
fn planned_members(roster: &EntryRoster) -> BTreeSet<EntryName> {
    let changing = roster.next_places > 0;
    let planned = roster.entries.iter().filter(|(_, entry)| {
        let place = if changing {
            entry.next_place
        } else {
            entry.place
        };
        place.is_some()
    });
    planned.map(|(name, _)| name.clone()).collect()
}

/// Returns whether the layout of [`planned_members`] has a place without a holder.
fn has_vacant_place(roster: &EntryRoster) -> bool {
    let places = match roster.next_places {
        0 => roster.places,
        places => places,
    };
    planned_members(roster).len() != places as usize
}

/// Sets the next layout so that each of the `wanted` entry VMs has a place, or cancels
/// the change if the current layout is the one that is wanted.
fn plan_layout(roster: &mut EntryRoster, wanted: &BTreeSet<EntryName>, view: &MembershipView<'_>) {
    roster.entries.retain(|name, _| wanted.contains(name));
    for name in wanted {
        if let Some(report) = view.reports.get(name) {
            let entry = roster.entries.entry(name.clone());
            entry.or_insert_with(|| joining_entry(report));
        }
    }
    let holders = roster.entries.values();
    let holders = holders.filter(|entry| entry.place.is_some()).count();
    let unchanged = holders == roster.entries.len() && holders == roster.places as usize;
    for (index, entry) in roster.entries.values_mut().enumerate() {
        entry.next_place = (!unchanged).then_some(index as u32);
    }
    // Returning to the current layout needs no acknowledgement: no entry VM has used
    // more than its share in it.
    roster.next_places = if unchanged {
        0
    } else {
        roster.entries.len() as u32
    };
    if roster.entries.is_empty() {
        roster.places = 0;
    }
}

fn joining_entry(report: &EntryReport) -> EntryRecord {
    EntryRecord {
        entry_address: report.entry_address,
        control_address: report.control_address,
        incarnation: report.incarnation,
        place: None,
        next_place: None,
        config_version: report.ack.config_version,
        fleet_sequence: report.ack.fleet_sequence,
    }
}

/// Returns whether every holder of a place has acknowledged the next layout.
fn is_acknowledged(roster: &EntryRoster, view: &MembershipView<'_>) -> bool {
    let mut holders = roster.entries.iter();
    holders
        .all(|(name, entry)| entry.place.is_none() || has_acknowledged(roster, name, entry, view))
}

/// Returns whether an entry VM has received the roster's generation and has no more
/// requests in progress than its smaller share.
fn has_acknowledged(
    roster: &EntryRoster,
    name: &EntryName,
    entry: &EntryRecord,
    view: &MembershipView<'_>,
) -> bool {
    let Some(report) = view.reports.get(name) else {
        return false;
    };
    if report.incarnation != entry.incarnation || report.ack.generation != roster.generation {
        return false;
    }
    let (place, next) = places_of(roster, name, entry.incarnation);
    report.ack.in_use.iter().all(|(vm, in_use)| {
        let slots = view.slots.get(vm).copied().unwrap_or(0);
        *in_use <= smaller_share(vm, slots, place, next)
    })
}

fn activate_next_layout(roster: &mut EntryRoster) {
    roster.places = roster.next_places;
    roster.next_places = 0;
    for entry in roster.entries.values_mut() {
        entry.place = entry.next_place.take();
    }
}
