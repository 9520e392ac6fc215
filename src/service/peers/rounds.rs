//! Rounds of the controller: push the state, collect the answers, update the roster.
//!
//! A roster is pushed only once it is known to be stored: after a write with an unknown
//! result it is read again first. A round runs once per sync period, and immediately
//! when the configuration, the fleet record, the roster or the controller's term changes
//! or an entry VM announces that it joins or leaves.

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

use super::PeerContext;
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
use crate::peer::message::ConfigPatch;
use crate::peer::message::ConfigUpdate;
use crate::peer::message::LeaveRequest;
use crate::peer::message::PushAnswer;
use crate::peer::message::StatePush;
use crate::service::unix_ms;

/// Minimum timeout of a push to a member that answered the previous one.
const MIN_PUSH_LIMIT: Duration = Duration::from_secs(1);
/// Minimum timeout of a push to an address that did not answer the previous one.
const PROBE_LIMIT: Duration = Duration::from_millis(100);
/// Minimum pause between two rounds.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of pending requests to leave.
const MAX_PENDING_LEAVES: usize = 64;
/// Maximum number of configurations that are kept as bases of patches.
const MAX_RETAINED_CONFIGS: usize = 8;

/// Message to the task that runs the rounds.
pub(super) enum RoundMessage {
    /// An entry VM has announced itself.
    Join(PushAnswer),
    /// An entry VM leaves; the reply is `true` once the stored roster does not contain
    /// it, and is dropped if the request is refused.
    Leave {
        request: LeaveRequest,
        reply: oneshot::Sender<bool>,
    },
}

struct RoundState<'a> {
    context: &'a PeerContext,
    members: MemberTable,
    /// Roster at the platform; `None` while it is unknown.
    stored: Option<StoredRoster>,
    /// Latest configurations, oldest first.
    configs: Vec<Arc<VersionedConfig>>,
    list_read_at: Option<Instant>,
    /// Requests to leave that are not confirmed yet, each with its reply channel.
    pending_leaves: Vec<(LeaveRequest, oneshot::Sender<bool>)>,
}

/// Runs rounds while this entry VM is the controller; does not end.
pub(super) async fn run(context: &PeerContext, mut messages: mpsc::Receiver<RoundMessage>) {
    let mut state = RoundState {
        context,
        members: MemberTable::default(),
        stored: None,
        configs: Vec::new(),
        list_read_at: None,
        pending_leaves: Vec::new(),
    };
    let mut config = context.config.clone();
    let mut fleet = context.fleet.clone();
    let mut term = context.term.clone();
    loop {
        let mut rerun = false;
        if context.term.borrow().is_controller(Instant::now()) {
            match state.run_round().await {
                Ok(immediately) => rerun = immediately,
                Err(error) => {
                    log::warn!(event = "roster_round_failed", error:% = error; "");
                    state.stored = None;
                }
            }
        } else {
            state.step_down();
        }
        sleep(MIN_PAUSE).await;
        let period = if rerun {
            Duration::ZERO
        } else {
            context.settings.control.sync
        };
        tokio::select! {
            () = sleep(period) => {}
            Ok(()) = config.changed() => {}
            Ok(()) = fleet.changed() => {}
            Ok(()) = term.changed() => {}
            Some(message) = messages.recv() => state.handle(message),
        }
        while let Ok(message) = messages.try_recv() {
            state.handle(message);
        }
    }
}

impl RoundState<'_> {
    fn handle(&mut self, message: RoundMessage) {
        match message {
            RoundMessage::Join(joiner) => self.members.add_joiner(&joiner),
            // Above the limit the reply is dropped, which refuses the request.
            RoundMessage::Leave { request, reply }
                if self.pending_leaves.len() < MAX_PENDING_LEAVES =>
            {
                self.pending_leaves.push((request, reply));
            }
            RoundMessage::Leave { .. } => {}
        }
    }

    fn step_down(&mut self) {
        self.stored = None;
        // Dropping the replies refuses the requests.
        self.pending_leaves.clear();
    }

    /// Runs one round; returns whether the next round should follow immediately, because
    /// the roster was changed or a member is newly responsive.
    async fn run_round(&mut self) -> Result<bool, RosterError> {
        let stored = match self.stored.clone() {
            Some(stored) => stored,
            None => roster::read(self.context).await?,
        };
        self.stored = Some(stored.clone());
        for (request, _) in &self.pending_leaves {
            self.members.record_departure(request, &stored.roster);
        }
        let answers = self.push_all(&stored.roster).await;
        self.refresh_vm_list(&stored.roster, &answers).await;
        let next = self.decide_roster(&stored.roster, &answers);
        let message = OwnerMessage::PushAnswers(answers.clone());
        // The owner ends only with the process.
        let _ = self.context.owner.send(message).await;
        let changed = next.is_some();
        let next = next.or_else(|| self.refreshed_roster(&stored.roster, &answers));
        if let Some(next) = next {
            self.write(&stored, next).await?;
        }
        self.confirm_leaves();
        Ok(changed || self.members.take_newly_responsive())
    }

    fn decide_roster(
        &mut self,
        roster: &EntryRoster,
        answers: &BTreeMap<EntryName, PushAnswer>,
    ) -> Option<EntryRoster> {
        let reports = answers.iter();
        let reports = reports.map(|(name, answer)| (name.clone(), answer.report.clone()));
        let mut reports = reports.collect();
        self.members.drop_departed(&mut reports);
        let gone = self
            .members
            .gone(self.context, roster, &reports, Instant::now());
        next_roster(&MembershipView {
            roster,
            reports: &reports,
            gone: &gone,
            slots: &slots_by_vm(self.context),
        })
    }

    /// Pushes to all members and to this entry VM, and collects the answers.
    async fn push_all(&mut self, roster: &EntryRoster) -> BTreeMap<EntryName, PushAnswer> {
        self.retain_config();
        let mut answers = BTreeMap::new();
        let own = self.context.identity.control_address;
        let push = self.build_push(own, roster);
        if let Some(answer) = exchange::apply_push(self.context, push).await {
            self.members.record_answer(own, &answer);
            answers.insert(answer.name.clone(), answer);
        }
        let local: BTreeSet<_> = self.context.local_peers().collect();
        self.push_to(local, roster, &mut answers).await;
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
        let sync = self.context.settings.control.sync;
        let mut calls = JoinSet::new();
        for address in addresses {
            let push = self.build_push(address, roster);
            // A member that did not answer the previous push must not delay the others for long.
            let limit = match self.members.ack(address) {
                Some(_) => sync.max(MIN_PUSH_LIMIT),
                None => (sync / 2).max(PROBE_LIMIT),
            };
            calls.spawn(async move { (address, client::push(address, &push, limit).await) });
        }
        while let Some(call) = calls.join_next().await {
            match call {
                Ok((address, Ok(answer))) => {
                    self.members.record_answer(address, &answer);
                    answers.insert(answer.name.clone(), answer);
                }
                Ok((address, Err(error))) => {
                    log::debug!(event = "push_failed", peer:% = address, error:% = error; "");
                    self.members.remove_address(address);
                }
                Err(error) => log::error!(event = "push_task_failed", error:% = error; ""),
            }
        }
    }

    /// Builds a push with the state that the member at `address` lacks.
    ///
    /// A member without a known acknowledgement gets an empty push, and reports its
    /// versions in the answer. A push with a roster also contains the fleet record if
    /// that is lacking, so that a member that gets a place has the fleet record in force.
    fn build_push(&self, address: SocketAddr, roster: &EntryRoster) -> StatePush {
        let known = self.members.ack(address).map(|(_, ack)| ack);
        let fleet = self.context.fleet.borrow().clone();
        let lacks = |ack: &EntryAck| {
            let fleet = fleet.clone();
            fleet.filter(|fleet| fleet.sequence > ack.fleet_sequence)
        };
        let fleet = known.and_then(lacks);
        let behind = known.is_some_and(|ack| ack.generation != roster.generation);
        StatePush {
            dc: self.context.identity.dc.clone(),
            controller: self.context.identity.control_address,
            config: known.and_then(|ack| self.config_update(ack.config_version)),
            fleet,
            roster: behind.then(|| roster.clone()),
        }
    }

    /// Returns the update for a member at `version`, `None` if it is up to date: a patch
    /// if that version is retained, else the full document.
    fn config_update(&self, version: u64) -> Option<ConfigUpdate> {
        let latest = self.configs.last()?;
        if latest.version <= version {
            return None;
        }
        let base = self.configs.iter().find(|config| config.version == version);
        let Some(base) = base else {
            return Some(ConfigUpdate::Full(latest.clone()));
        };
        Some(ConfigUpdate::Patch(ConfigPatch {
            base: version,
            version: latest.version,
            patch: merge_diff(&base.document, &latest.document),
            digest: latest.digest(),
        }))
    }

    fn retain_config(&mut self) {
        let config = self.context.config.borrow().clone();
        let newest = self.configs.last().map_or(0, |config| config.version);
        if config.version > newest {
            self.configs.push(config);
        }
        let excess = self.configs.len().saturating_sub(MAX_RETAINED_CONFIGS);
        self.configs.drain(..excess);
    }

    /// Reads the platform's list of VMs, once per list period at most, while a member of
    /// the roster is unresponsive.
    async fn refresh_vm_list(
        &mut self,
        roster: &EntryRoster,
        answers: &BTreeMap<EntryName, PushAnswer>,
    ) {
        let unresponsive = roster
            .entries
            .keys()
            .any(|name| !answers.contains_key(name));
        let period = self.context.settings.control.list;
        let due = self
            .list_read_at
            .is_none_or(|read_at| read_at.elapsed() >= period);
        if !unresponsive || !due {
            return;
        }
        self.list_read_at = Some(Instant::now());
        match self
            .context
            .client
            .list_vms(&self.context.identity.dc)
            .await
        {
            Ok(listed) => {
                let listed = listed.into_iter().map(|vm| vm.name).collect();
                let reports = answers.iter();
                let reports = reports.map(|(name, answer)| (name.clone(), answer.report.clone()));
                let own = &self.context.identity.name;
                self.members.record_vm_list(
                    own,
                    &listed,
                    roster,
                    &reports.collect(),
                    Instant::now(),
                );
            }
            Err(error) => log::warn!(event = "list_failed", error:% = error; ""),
        }
    }

    /// Returns the roster with the current time and the members' versions if its
    /// refresh is due.
    fn refreshed_roster(
        &self,
        roster: &EntryRoster,
        answers: &BTreeMap<EntryName, PushAnswer>,
    ) -> Option<EntryRoster> {
        let periods = &self.context.settings.control;
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
        // Until the result of the write is known, the stored roster is unknown.
        self.stored = None;
        next.refreshed_ms = unix_ms();
        roster::write(self.context, stored, &next).await?;
        self.stored = Some(roster::read(self.context).await?);
        Ok(())
    }

    /// Confirms the pending requests to leave of processes that are no longer in the
    /// stored roster.
    fn confirm_leaves(&mut self) {
        let Some(stored) = &self.stored else {
            return;
        };
        for (request, reply) in self.pending_leaves.extract_if(.., |(request, _)| {
            let entry = stored.roster.entries.get(&request.name);
            entry.is_none_or(|entry| entry.incarnation != request.incarnation)
        }) {
            log::info!(event = "entry_left", entry:% = request.name; "");
            // The requester may have stopped waiting.
            let _ = reply.send(true);
        }
    }
}
