//! State of the members that the controller keeps between rounds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::PeerContext;
use crate::decide::membership::EntryReport;
use crate::fleet::EntryRoster;
use crate::names::EntryName;
use crate::names::VmName;
use crate::peer::EntryAck;
use crate::peer::message::LeaveRequest;
use crate::peer::message::PushAnswer;

/// Maximum number of control addresses that are kept from join announcements.
const MAX_JOINERS: usize = 64;

/// Last answers, joining and departed entry VMs, and those missing from the platform's
/// list.
#[derive(Default)]
pub(super) struct MemberTable {
    /// Incarnation and last acknowledgement by control address; they determine what
    /// state a push contains.
    acks: BTreeMap<SocketAddr, (u64, EntryAck)>,
    /// Whether a process has answered that is new or was unresponsive before.
    newly_responsive: bool,
    /// Control addresses of entry VMs that have announced themselves.
    joiners: BTreeSet<SocketAddr>,
    /// Incarnations of the processes that have left and will not serve again.
    departed: BTreeMap<EntryName, u64>,
    /// Unresponsive entry VMs that are missing from the platform's list, and since when.
    unlisted: BTreeMap<EntryName, Instant>,
}

impl MemberTable {
    pub fn add_joiner(&mut self, joiner: &PushAnswer) {
        if self.joiners.len() < MAX_JOINERS {
            self.joiners.insert(joiner.report.control_address);
        }
    }

    /// Records that a process has left and will not serve again; ignored if the roster
    /// has another incarnation of the entry VM.
    pub fn record_departure(&mut self, request: &LeaveRequest, roster: &EntryRoster) {
        let entry = roster.entries.get(&request.name);
        if entry.is_some_and(|entry| entry.incarnation == request.incarnation) {
            self.departed
                .insert(request.name.clone(), request.incarnation);
        }
    }

    /// Returns the addresses to push to in addition to those from the settings.
    pub fn extra_addresses(&self, roster: &EntryRoster) -> BTreeSet<SocketAddr> {
        let entries = roster.entries.values().map(|entry| entry.control_address);
        entries.chain(self.joiners.iter().copied()).collect()
    }

    /// Returns the incarnation and acknowledgement last received from an address.
    pub fn ack(&self, address: SocketAddr) -> Option<&(u64, EntryAck)> {
        self.acks.get(&address)
    }

    pub fn record_answer(&mut self, address: SocketAddr, answer: &PushAnswer) {
        let report = &answer.report;
        let ack = (report.incarnation, report.ack.clone());
        let before = self.acks.insert(address, ack);
        self.newly_responsive |= before.is_none_or(|(before, _)| before != report.incarnation);
    }

    /// Returns whether a process that is new or was unresponsive has answered since the
    /// last call.
    pub fn take_newly_responsive(&mut self) -> bool {
        std::mem::take(&mut self.newly_responsive)
    }

    /// Removes an address that does not answer; if it is pushed to again, the first
    /// push is empty.
    pub fn remove_address(&mut self, address: SocketAddr) {
        self.acks.remove(&address);
        self.joiners.remove(&address);
    }

    /// Removes departed processes from the reports of a round.
    pub fn drop_departed(&mut self, reports: &mut BTreeMap<EntryName, EntryReport>) {
        for (name, incarnation) in &self.departed {
            let report = reports.get(name);
            if report.is_some_and(|report| report.incarnation == *incarnation) {
                reports.remove(name);
            }
        }
    }

    /// Records which unresponsive entry VMs are missing from the platform's list of VMs.
    ///
    /// The list is used only if it contains this entry VM: a platform may list no entry
    /// VMs at all.
    pub fn record_vm_list(
        &mut self,
        own: &EntryName,
        listed: &BTreeSet<VmName>,
        roster: &EntryRoster,
        reports: &BTreeMap<EntryName, EntryReport>,
        now: Instant,
    ) {
        let lists_entry_vms = listed.contains(own.as_str());
        let missing = roster.entries.keys().filter(|name| {
            lists_entry_vms && !reports.contains_key(*name) && !listed.contains(name.as_str())
        });
        let missing: BTreeSet<_> = missing.cloned().collect();
        self.unlisted.retain(|name, _| missing.contains(name));
        for name in missing {
            self.unlisted.entry(name).or_insert(now);
        }
    }

    /// Returns the entry VMs that will not serve again: those that have left, those
    /// that do not answer and have been missing from the platform's list for longer
    /// than its maximum lag, and those that operators have listed in the field `without`
    /// of the configuration.
    pub fn gone(
        &self,
        context: &PeerContext,
        roster: &EntryRoster,
        reports: &BTreeMap<EntryName, EntryReport>,
        now: Instant,
    ) -> BTreeSet<EntryName> {
        let lag = context.settings.control.list_lag;
        let config = context.config.borrow().clone();
        let gone = roster.entries.iter().filter(|(name, entry)| {
            let departed = self.departed.get(*name) == Some(&entry.incarnation);
            let unlisted = self.unlisted.get(*name);
            let unlisted = unlisted.is_some_and(|since| elapsed(*since, now) > lag);
            let unlisted = unlisted && !reports.contains_key(*name);
            departed || unlisted || config.config.excluded_entries.contains_key(*name)
        });
        let gone = gone.map(|(name, _)| name.clone());
        gone.chain(config.config.excluded_entries.keys().cloned())
            .collect()
    }
}

fn elapsed(since: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(since)
}

/// Returns the number of slots of each VM in the fleet record.
pub(super) fn slots_by_vm(context: &PeerContext) -> BTreeMap<VmName, u32> {
    let config = context.config.borrow().clone();
    let fleet = context.fleet.borrow().clone();
    let vms = fleet.iter().flat_map(|fleet| &fleet.vms);
    let slots = vms.map(|(name, vm)| {
        let pool = config.config.pools.get(&vm.pool);
        let slots = pool.map_or(crate::config::wire::DEFAULT_SLOTS, |pool| pool.slots);
        (name.clone(), slots)
    });
    slots.collect()
}
