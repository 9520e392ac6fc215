//! Membership of the entry VMs of a data centre.
//!
//! Slots of a VM are shared by the layout of places in the roster. A change of
//! layout takes two writes of the roster. The first names the layout to come:
//! from then on each entry VM that knows of it uses the smaller of its shares in
//! both layouts. Once every holder of a place has acknowledged that, with no
//! more in progress than this smaller share, the second write puts the new
//! layout in force.
//!
//! So the shares never add up to more than a VM has, however long an entry VM
//! lags. Before the second write each uses at most its share in the old layout.
//! After it, those that lag use at most the smaller share, and the others their
//! share in the new one. The next change begins only from there, and needs the
//! acknowledgement of those that lag.
//!
//! A restarted process takes its place back only when the roster carries its
//! incarnation. A former controller cannot write that, so a delayed message
//! cannot give a new process the place of an older layout.

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

/// An entry VM that was heard, and what it has in force.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryReport {
    /// Where callers reach it.
    pub entry_address: SocketAddr,
    /// Where peers and operators reach it.
    pub control_address: SocketAddr,
    /// Random number of its process.
    pub incarnation: u64,
    /// What it has in force and in progress.
    pub ack: EntryAck,
}

/// What the controller decides on.
#[derive(Clone, Copy, Debug)]
pub struct MembershipView<'a> {
    /// Roster as last written.
    pub roster: &'a EntryRoster,
    /// Entry VMs that were heard in this round; unknown ones join.
    pub reports: &'a BTreeMap<EntryName, EntryReport>,
    /// Entry VMs that will not serve again: they said so with nothing in
    /// progress, the platform's list has not had them for longer than its lag,
    /// or operators say to go on without them.
    pub gone: &'a BTreeSet<EntryName>,
    /// Slots by VM.
    pub slots: &'a BTreeMap<VmName, u32>,
}

/// Returns the roster to be written next; none if nothing changes.
#[must_use]
pub fn next_roster(view: &MembershipView<'_>) -> Option<EntryRoster> {
    let mut next = view.roster.clone();
    next.entries.retain(|name, _| !view.gone.contains(name));
    let restarted = take_over(&mut next, view);
    let wanted = wanted_names(&next, view);
    let changed = wanted != planned_names(&next) || misses_place(&next);
    if changed {
        plan_layout(&mut next, &wanted, view);
    } else if next.next_places > 0 && !restarted && is_settled(&next, view) {
        put_in_force(&mut next);
    }
    if next == *view.roster {
        return None;
    }
    next.generation += 1;
    Some(next)
}

/// Returns the places of an entry VM, now and in the layout to come.
///
/// A process that the roster does not carry has no place.
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
    let next = (roster.next_places > 0).then(|| place_in(entry.next, roster.next_places));
    (now, next)
}

fn place_in(index: Option<u32>, entries: u32) -> SharePlace {
    index.map_or(SharePlace::NONE, |index| SharePlace { entries, index })
}

/// Enters the incarnation of restarted processes; tells whether there was one.
///
/// The same control address means that the process before has ended.
fn take_over(roster: &mut EntryRoster, view: &MembershipView<'_>) -> bool {
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

/// Returns the entry VMs that are to share the slots.
///
/// Nobody joins while a holder of a place is silent: the change could not take
/// effect, and the smaller shares would hold for as long.
fn wanted_names(roster: &EntryRoster, view: &MembershipView<'_>) -> BTreeSet<EntryName> {
    let holders = roster.entries.iter();
    let holders = holders.filter(|(_, entry)| entry.place.is_some());
    let holders: BTreeSet<_> = holders.map(|(name, _)| name.clone()).collect();
    let silent = holders.iter().any(|name| !view.reports.contains_key(name));
    if silent {
        return holders;
    }
    let heard = view.reports.keys();
    let heard = heard.filter(|name| !view.gone.contains(*name)).cloned();
    holders.into_iter().chain(heard).collect()
}

/// Returns the entry VMs of the layout in force or, if there is one, to come.
fn planned_names(roster: &EntryRoster) -> BTreeSet<EntryName> {
    let changing = roster.next_places > 0;
    let planned = roster.entries.iter().filter(|(_, entry)| {
        let place = if changing { entry.next } else { entry.place };
        place.is_some()
    });
    planned.map(|(name, _)| name.clone()).collect()
}

/// Tells whether the layout planned for has a place that nobody holds any more.
fn misses_place(roster: &EntryRoster) -> bool {
    let places = match roster.next_places {
        0 => roster.places,
        places => places,
    };
    planned_names(roster).len() != places as usize
}

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
        entry.next = (!unchanged).then_some(index as u32);
    }
    // Going back to the layout in force needs no acknowledgement: nobody has
    // used more than the share that it gives.
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
        next: None,
        config_version: report.ack.config_version,
        fleet_sequence: report.ack.fleet_sequence,
    }
}

/// Tells whether every holder of a place keeps to the smaller share.
fn is_settled(roster: &EntryRoster, view: &MembershipView<'_>) -> bool {
    let mut holders = roster.entries.iter();
    holders.all(|(name, entry)| entry.place.is_none() || keeps_share(roster, name, entry, view))
}

fn keeps_share(
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

fn put_in_force(roster: &mut EntryRoster) {
    roster.places = roster.next_places;
    roster.next_places = 0;
    for entry in roster.entries.values_mut() {
        entry.place = entry.next.take();
    }
}
