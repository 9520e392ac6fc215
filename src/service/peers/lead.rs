//! Rounds of the controller: push, hear, decide on the roster, write it.
//!
//! A roster is pushed only after it is known to be written: after a write
//! without a clear answer it is read again first. Rounds come once a period, and
//! at once when the configuration, the fleet record or the roster changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use super::PeerTools;
use super::client;
use super::exchange;
use super::members::MemberTable;
use super::members::slots_by_vm;
use super::owner::OwnerMessage;
use super::roster;
use super::roster::RosterError;
use super::roster::StoredRoster;
use crate::config::VersionedConfig;
use crate::decide::membership::MembershipView;
use crate::decide::membership::next_roster;
use crate::fleet::EntryRoster;
use crate::names::EntryName;
use crate::peer::EntryAck;
use crate::peer::diff::merge_diff;
use crate::peer::message::ConfigOffer;
use crate::peer::message::ConfigPatch;
use crate::peer::message::LeaveRequest;
use crate::peer::message::PushAnswer;
use crate::peer::message::StatePush;
use crate::service::unix_ms;

/// Shortest time that a member gets to answer a push.
const MIN_PUSH_LIMIT: Duration = Duration::from_secs(1);
/// Shortest time that one gets that did not answer before.
const PROBE_LIMIT: Duration = Duration::from_millis(100);
/// Shortest pause between two rounds.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// Most entry VMs whose leaving waits to be written.
const MAX_LEAVERS: usize = 64;
/// Configurations kept to make patches from.
const KEPT_CONFIGS: usize = 8;

/// Message to the controller's rounds.
pub(super) enum LeadMessage {
    /// An entry VM has announced itself.
    Join(PushAnswer),
    /// An entry VM leaves; the reply tells whether that is written.
    Leave {
        request: LeaveRequest,
        reply: oneshot::Sender<bool>,
    },
}

struct LeadState<'a> {
    tools: &'a PeerTools,
    members: MemberTable,
    stored: Option<StoredRoster>,
    configs: Vec<Arc<VersionedConfig>>,
    listed: Option<Instant>,
    leaving: Vec<(LeaveRequest, oneshot::Sender<bool>)>,
}

/// Runs as long as the process.
pub(super) async fn run(tools: &PeerTools, mut messages: mpsc::Receiver<LeadMessage>) {
    let mut state = LeadState {
        tools,
        members: MemberTable::default(),
        stored: None,
        configs: Vec::new(),
        listed: None,
        leaving: Vec::new(),
    };
    let mut config = tools.config.clone();
    let mut fleet = tools.fleet.clone();
    let mut term = tools.term.clone();
    loop {
        let mut again = false;
        if tools.term.borrow().is_controller(Instant::now()) {
            match state.round().await {
                Ok(written) => again = written,
                Err(error) => {
                    log::warn!(event = "roster_round_failed", error:% = error; "");
                    state.stored = None;
                }
            }
        } else {
            state.step_down();
        }
        sleep(MIN_PAUSE).await;
        let period = if again {
            Duration::ZERO
        } else {
            tools.settings.control.sync
        };
        tokio::select! {
            () = sleep(period) => {}
            Ok(()) = config.changed() => {}
            Ok(()) = fleet.changed() => {}
            Ok(()) = term.changed() => {}
            Some(message) = messages.recv() => state.take(message),
        }
        while let Ok(message) = messages.try_recv() {
            state.take(message);
        }
    }
}

impl LeadState<'_> {
    fn take(&mut self, message: LeadMessage) {
        match message {
            LeadMessage::Join(joiner) => self.members.join(&joiner),
            // Beyond the limit the reply is dropped, which refuses the request.
            LeadMessage::Leave { request, reply } if self.leaving.len() < MAX_LEAVERS => {
                self.leaving.push((request, reply));
            }
            LeadMessage::Leave { .. } => {}
        }
    }

    fn step_down(&mut self) {
        self.stored = None;
        // A dropped reply refuses the request.
        self.leaving.clear();
    }

    /// Makes one round; tells whether the layout was written.
    async fn round(&mut self) -> Result<bool, RosterError> {
        let stored = match self.stored.clone() {
            Some(stored) => stored,
            None => roster::read(self.tools).await?,
        };
        self.stored = Some(stored.clone());
        for (request, _) in &self.leaving {
            self.members.leave(request, &stored.roster);
        }
        let answers = self.push_all(&stored.roster).await;
        self.see_list(&stored.roster, &answers).await;
        let next = self.decide(&stored.roster, &answers);
        let heard = OwnerMessage::Heard(answers.clone());
        // The owner is gone only at the end of the process.
        let _ = self.tools.owner.send(heard).await;
        let changed = next.is_some();
        let next = next.or_else(|| self.refreshed(&stored.roster, &answers));
        if let Some(next) = next {
            self.write(&stored, next).await?;
        }
        self.settle_leaves();
        Ok(changed || self.members.take_newly_heard())
    }

    fn decide(
        &mut self,
        roster: &EntryRoster,
        answers: &BTreeMap<EntryName, PushAnswer>,
    ) -> Option<EntryRoster> {
        let reports = answers.iter();
        let reports = reports.map(|(name, answer)| (name.clone(), answer.report.clone()));
        let mut reports = reports.collect();
        self.members.drop_left(&mut reports);
        let gone = self
            .members
            .gone(self.tools, roster, &reports, Instant::now());
        next_roster(&MembershipView {
            roster,
            reports: &reports,
            gone: &gone,
            slots: &slots_by_vm(self.tools),
        })
    }

    /// Pushes to all members and to this entry VM, and collects the answers.
    async fn push_all(&mut self, roster: &EntryRoster) -> BTreeMap<EntryName, PushAnswer> {
        self.keep_config();
        let mut answers = BTreeMap::new();
        let own = self.tools.identity.control_address;
        let push = self.push_for(own, roster);
        if let Some(answer) = exchange::accept(self.tools, push).await {
            self.members.heard(own, &answer);
            answers.insert(answer.name.clone(), answer);
        }
        let near: BTreeSet<_> = self.tools.near().collect();
        self.push_to(near, roster, &mut answers).await;
        let reached = answers.values().map(|answer| answer.report.control_address);
        let reached: BTreeSet<_> = reached.collect();
        let mut extra = self.members.extra_addresses(roster);
        extra.retain(|address| !reached.contains(address) && *address != own);
        self.push_to(extra, roster, &mut answers).await;
        answers
    }

    async fn push_to(
        &mut self,
        addresses: BTreeSet<SocketAddr>,
        roster: &EntryRoster,
        answers: &mut BTreeMap<EntryName, PushAnswer>,
    ) {
        let sync = self.tools.settings.control.sync;
        let mut calls = JoinSet::new();
        for address in addresses {
            let push = self.push_for(address, roster);
            // One that was silent before must not hold the others up for long.
            let limit = match self.members.ack(address) {
                Some(_) => sync.max(MIN_PUSH_LIMIT),
                None => (sync / 2).max(PROBE_LIMIT),
            };
            calls.spawn(async move { (address, client::push(address, &push, limit).await) });
        }
        while let Some(call) = calls.join_next().await {
            match call {
                Ok((address, Ok(answer))) => {
                    self.members.heard(address, &answer);
                    answers.insert(answer.name.clone(), answer);
                }
                Ok((address, Err(error))) => {
                    log::debug!(event = "push_failed", peer:% = address, error:% = error; "");
                    self.members.silent(address);
                }
                Err(error) => log::error!(event = "push_broke_off", error:% = error; ""),
            }
        }
    }

    /// Puts together what the member at an address lacks.
    ///
    /// A member that was not heard yet says so in its answer to an empty push. A
    /// roster goes only with what else is lacking, so that a member that gets a
    /// place has the fleet record in force.
    fn push_for(&self, address: SocketAddr, roster: &EntryRoster) -> StatePush {
        let known = self.members.ack(address).map(|(_, ack)| ack);
        let fleet = self.tools.fleet.borrow().clone();
        let lacks = |ack: &EntryAck| {
            let fleet = fleet.clone();
            fleet.filter(|fleet| fleet.sequence > ack.fleet_sequence)
        };
        let fleet = known.and_then(lacks);
        let behind = known.is_some_and(|ack| ack.generation != roster.generation);
        StatePush {
            dc: self.tools.identity.dc.clone(),
            controller: self.tools.identity.control_address,
            config: known.and_then(|ack| self.config_for(ack.config_version)),
            fleet,
            roster: behind.then(|| roster.clone()),
        }
    }

    /// Makes an offer to a member at `version`: a patch, if its version is kept.
    fn config_for(&self, version: u64) -> Option<ConfigOffer> {
        let latest = self.configs.last()?;
        if latest.version <= version {
            return None;
        }
        let base = self.configs.iter().find(|config| config.version == version);
        let Some(base) = base else {
            return Some(ConfigOffer::Whole(latest.clone()));
        };
        Some(ConfigOffer::Patch(ConfigPatch {
            base: version,
            version: latest.version,
            patch: merge_diff(&base.document, &latest.document),
            digest: latest.digest(),
        }))
    }

    fn keep_config(&mut self) {
        let config = self.tools.config.borrow().clone();
        let newest = self.configs.last().map_or(0, |config| config.version);
        if config.version > newest {
            self.configs.push(config);
        }
        let excess = self.configs.len().saturating_sub(KEPT_CONFIGS);
        self.configs.drain(..excess);
    }

    /// Reads the platform's list once a period, if a member is silent.
    async fn see_list(&mut self, roster: &EntryRoster, answers: &BTreeMap<EntryName, PushAnswer>) {
        let silent = roster
            .entries
            .keys()
            .any(|name| !answers.contains_key(name));
        let period = self.tools.settings.control.list;
        let due = self.listed.is_none_or(|listed| listed.elapsed() >= period);
        if !silent || !due {
            return;
        }
        self.listed = Some(Instant::now());
        match self.tools.client.list_vms(&self.tools.identity.dc).await {
            Ok(listed) => {
                let listed = listed.into_iter().map(|vm| vm.name).collect();
                let reports = answers.iter();
                let reports = reports.map(|(name, answer)| (name.clone(), answer.report.clone()));
                let own = &self.tools.identity.name;
                self.members
                    .see_list(own, &listed, roster, &reports.collect(), Instant::now());
            }
            Err(error) => log::warn!(event = "list_failed", error:% = error; ""),
        }
    }

    /// Renews the time and the versions in the roster, when that is due.
    fn refreshed(
        &self,
        roster: &EntryRoster,
        answers: &BTreeMap<EntryName, PushAnswer>,
    ) -> Option<EntryRoster> {
        let periods = &self.tools.settings.control;
        let now_ms = unix_ms();
        let age = Duration::from_millis(now_ms.saturating_sub(roster.refreshed_ms));
        if roster.generation == 0 || age < periods.lease_ttl.min(periods.list) {
            return None;
        }
        let mut next = roster.clone();
        next.refreshed_ms = now_ms;
        for (name, entry) in &mut next.entries {
            if let Some(answer) = answers.get(name) {
                entry.config_version = answer.report.ack.config_version;
                entry.fleet_sequence = answer.report.ack.fleet_sequence;
            }
        }
        Some(next)
    }

    async fn write(
        &mut self,
        stored: &StoredRoster,
        mut next: EntryRoster,
    ) -> Result<(), RosterError> {
        // Until the write is known to have taken effect, nothing is known.
        self.stored = None;
        next.refreshed_ms = unix_ms();
        roster::write(self.tools, stored, &next).await?;
        self.stored = Some(roster::read(self.tools).await?);
        Ok(())
    }

    /// Answers those that leave and are off the roster as written.
    fn settle_leaves(&mut self) {
        let Some(stored) = &self.stored else {
            return;
        };
        for (request, reply) in self.leaving.extract_if(.., |(request, _)| {
            let entry = stored.roster.entries.get(&request.name);
            entry.is_none_or(|entry| entry.incarnation != request.incarnation)
        }) {
            log::info!(event = "entry_left", entry:% = request.name; "");
            // A leaver that has given up needs no answer.
            let _ = reply.send(true);
        }
    }
}
