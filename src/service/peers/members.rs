//! What the controller knows of the members between two rounds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::PeerTools;
use crate::decide::membership::EntryReport;
use crate::fleet::EntryRoster;
use crate::names::EntryName;
use crate::names::VmName;
use crate::peer::EntryAck;
use crate::peer::message::LeaveRequest;
use crate::peer::message::PushAnswer;

/// Most addresses that announced themselves and are not on the roster.
const MAX_JOINERS: usize = 64;

/// Members, joiners and what the platform's list says of them.
#[derive(Default)]
pub(super) struct MemberTable {
    /// Last acknowledgement by address, which tells what a member lacks.
    acks: BTreeMap<SocketAddr, (u64, EntryAck)>,
    /// Whether an address was heard that had not been heard before.
    newly_heard: bool,
    /// Control addresses that announced themselves.
    joiners: BTreeSet<SocketAddr>,
    /// Processes that have left for good.
    left: BTreeMap<EntryName, u64>,
    /// Since when the platform's list has not had an entry VM that is silent.
    unlisted: BTreeMap<EntryName, Instant>,
}

impl MemberTable {
    pub fn join(&mut self, joiner: &PushAnswer) {
        if self.joiners.len() < MAX_JOINERS {
            self.joiners.insert(joiner.report.control_address);
        }
    }

    /// Notes that a process of the roster has left for good.
    pub fn leave(&mut self, request: &LeaveRequest, roster: &EntryRoster) {
        let entry = roster.entries.get(&request.name);
        if entry.is_some_and(|entry| entry.incarnation == request.incarnation) {
            self.left.insert(request.name.clone(), request.incarnation);
        }
    }

    /// Returns the addresses to push to that are not known from the settings.
    pub fn extra_addresses(&self, roster: &EntryRoster) -> BTreeSet<SocketAddr> {
        let entries = roster.entries.values().map(|entry| entry.control_address);
        entries.chain(self.joiners.iter().copied()).collect()
    }

    /// Returns what was last heard at an address.
    pub fn ack(&self, address: SocketAddr) -> Option<&(u64, EntryAck)> {
        self.acks.get(&address)
    }

    pub fn heard(&mut self, address: SocketAddr, answer: &PushAnswer) {
        let report = &answer.report;
        let ack = (report.incarnation, report.ack.clone());
        let before = self.acks.insert(address, ack);
        self.newly_heard |= before.is_none_or(|(before, _)| before != report.incarnation);
    }

    /// Tells whether an address was heard for the first time since the last call.
    pub fn take_newly_heard(&mut self) -> bool {
        std::mem::take(&mut self.newly_heard)
    }

    /// Forgets an address that does not answer.
    pub fn silent(&mut self, address: SocketAddr) {
        self.acks.remove(&address);
        self.joiners.remove(&address);
    }

    /// Drops processes that have left from the reports of a round.
    pub fn drop_left(&mut self, reports: &mut BTreeMap<EntryName, EntryReport>) {
        for (name, incarnation) in &self.left {
            let report = reports.get(name);
            if report.is_some_and(|report| report.incarnation == *incarnation) {
                reports.remove(name);
            }
        }
    }

    /// Takes in a list of the platform.
    ///
    /// The list says something of entry VMs only if it has this one.
    pub fn see_list(
        &mut self,
        own: &EntryName,
        listed: &BTreeSet<VmName>,
        roster: &EntryRoster,
        reports: &BTreeMap<EntryName, EntryReport>,
        now: Instant,
    ) {
        let lists_entries = listed.contains(own.as_str());
        let silent = roster.entries.keys().filter(|name| {
            lists_entries && !reports.contains_key(*name) && !listed.contains(name.as_str())
        });
        let silent: BTreeSet<_> = silent.cloned().collect();
        self.unlisted.retain(|name, _| silent.contains(name));
        for name in silent {
            self.unlisted.entry(name).or_insert(now);
        }
    }

    /// Returns the entry VMs that will not serve again.
    pub fn gone(
        &self,
        tools: &PeerTools,
        roster: &EntryRoster,
        reports: &BTreeMap<EntryName, EntryReport>,
        now: Instant,
    ) -> BTreeSet<EntryName> {
        let lag = tools.settings.control.list_lag;
        let config = tools.config.borrow().clone();
        let gone = roster.entries.iter().filter(|(name, entry)| {
            let left = self.left.get(*name) == Some(&entry.incarnation);
            let unlisted = self.unlisted.get(*name);
            let unlisted = unlisted.is_some_and(|since| passed(*since, now) > lag);
            let unlisted = unlisted && !reports.contains_key(*name);
            left || unlisted || config.config.excluded_entries.contains_key(*name)
        });
        let gone = gone.map(|(name, _)| name.clone());
        gone.chain(config.config.excluded_entries.keys().cloned())
            .collect()
    }
}

fn passed(since: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(since)
}

/// Returns the slots of each VM of the fleet record.
pub(super) fn slots_by_vm(tools: &PeerTools) -> BTreeMap<VmName, u32> {
    let config = tools.config.borrow().clone();
    let fleet = tools.fleet.borrow().clone();
    let vms = fleet.iter().flat_map(|fleet| &fleet.vms);
    let slots = vms.map(|(name, vm)| {
        let pool = config.config.pools.get(&vm.pool);
        let slots = pool.map_or(crate::config::wire::DEFAULT_SLOTS, |pool| pool.slots);
        (name.clone(), slots)
    });
    slots.collect()
}
