//! The task that owns the state of the other entry VMs.
//!
//! It detects pauses of the process by late ticks. During a pause operators may have
//! removed this entry VM from the roster and others may use its share. So after a pause
//! the process serves only once it has read the state again. Messages that were sent to
//! it during the pause do not confirm the state, because they may be outdated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use super::EntryIdentity;
use super::PeerContext;
use crate::decide::membership::places_of;
use crate::fleet::EntryRoster;
use crate::names::DcName;
use crate::names::EntryName;
use crate::peer::EntryAck;
use crate::peer::MemberState;
use crate::peer::PeerState;
use crate::peer::RemoteState;
use crate::peer::message::DcSummary;
use crate::peer::message::PushAnswer;
use crate::settings::ControlPeriods;

/// Sync periods without a push after which an entry VM reads the state itself.
const OVERDUE_PERIODS: u32 = 4;
/// Number of ticks per pause limit; a longer gap between two runs counts as a pause.
const PAUSE_TICKS: u32 = 4;

/// Message to the owner.
pub(super) enum OwnerMessage {
    /// The controller has pushed; with a roster if this entry VM lacked it.
    Pushed {
        controller: SocketAddr,
        roster: Option<EntryRoster>,
    },
    /// Answers of the members to a push of this entry VM, which is the controller.
    PushAnswers(BTreeMap<EntryName, PushAnswer>),
    /// The state was read; configuration and fleet record have already been applied.
    Confirmed {
        /// When the read started.
        read_started: Instant,
        /// Roster that was read, if any.
        roster: Option<EntryRoster>,
        /// Age of the state if it comes from a peer; `None` if from the platform.
        stale_age: Option<Duration>,
    },
    /// Another data centre has answered; `None` if its summary is unchanged.
    Remote(DcName, Option<DcSummary>),
}

/// Whether the state is confirmed and pushed, and by which controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SyncStatus {
    /// The state must be read before requests are served.
    pub untrusted: bool,
    /// No push has been received for [`OVERDUE_PERIODS`] sync periods.
    pub push_overdue: bool,
    /// Control address of the controller that pushed last.
    pub controller: Option<SocketAddr>,
    /// When the controller or the platform last confirmed the state.
    pub confirmed: Option<Instant>,
}

/// State of the owner task.
pub(super) struct PeerOwner {
    identity: Arc<EntryIdentity>,
    periods: ControlPeriods,
    started: Instant,
    /// When the task last ran; a long gap is a pause.
    last_run: Instant,
    /// Start of the process or end of its last pause; only reads that started since
    /// then confirm the state.
    fresh_after: Instant,
    paused: bool,
    last_push: Option<Instant>,
    roster: EntryRoster,
    answers: BTreeMap<EntryName, (PushAnswer, Instant)>,
    status: SyncStatus,
    state: PeerState,
    senders: OwnerSenders,
}

/// Channels on which the owner publishes.
pub(super) struct OwnerSenders {
    pub state: watch::Sender<Arc<PeerState>>,
    pub status: watch::Sender<SyncStatus>,
    pub roster: watch::Sender<Arc<EntryRoster>>,
}

/// Runs until all senders of messages are dropped.
pub(super) async fn run(
    mut owner: PeerOwner,
    context: &PeerContext,
    mut messages: mpsc::Receiver<OwnerMessage>,
) {
    let mut ticks = interval(context.settings.control.pause_limit / PAUSE_TICKS);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let message = tokio::select! {
            message = messages.recv() => match message {
                Some(message) => Some(message),
                None => return,
            },
            _ = ticks.tick() => None,
        };
        let now = Instant::now();
        owner.check_pause(now);
        if let Some(message) = message {
            owner.handle(message, now);
        }
        owner.publish(now);
    }
}

impl PeerOwner {
    pub fn new(context: &PeerContext, senders: OwnerSenders, now: Instant) -> Self {
        Self {
            identity: context.identity.clone(),
            periods: context.settings.control.clone(),
            started: now,
            last_run: now,
            fresh_after: now,
            paused: false,
            last_push: None,
            roster: EntryRoster::default(),
            answers: BTreeMap::new(),
            status: SyncStatus {
                untrusted: true,
                ..SyncStatus::default()
            },
            state: PeerState::default(),
            senders,
        }
    }

    fn check_pause(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_run);
        self.last_run = now;
        if pause > self.periods.pause_limit {
            log::warn!(event = "process_pause_detected", pause_ms = pause.as_millis() as u64; "");
            self.paused = true;
            self.status.untrusted = true;
            self.fresh_after = now;
        }
    }

    fn handle(&mut self, message: OwnerMessage, now: Instant) {
        match message {
            OwnerMessage::Pushed { controller, roster } => {
                self.status.controller = Some(controller);
                self.last_push = Some(now);
                self.set_roster(roster);
                // A roster with this process's random incarnation was written after
                // the process started, so the push cannot be from before that.
                if !self.paused && self.is_on_roster() {
                    self.confirm(now, None);
                }
            }
            OwnerMessage::PushAnswers(answers) => {
                let answers = answers.into_iter();
                self.answers
                    .extend(answers.map(|(name, answer)| (name, (answer, now))));
            }
            OwnerMessage::Confirmed {
                read_started,
                roster,
                stale_age,
            } => {
                self.set_roster(roster);
                if read_started >= self.fresh_after {
                    self.confirm(now, stale_age);
                }
            }
            OwnerMessage::Remote(dc, summary) => self.set_remote(dc, summary, now),
        }
    }

    fn confirm(&mut self, now: Instant, stale_age: Option<Duration>) {
        if self.status.untrusted {
            let age = stale_age.map_or(0, |age| age.as_millis() as u64);
            log::info!(
                event = "state_confirmed", stale_ms = age,
                from_peer = stale_age.is_some(); ""
            );
        }
        self.paused = false;
        self.status.untrusted = false;
        self.state.stale_age = stale_age;
        if stale_age.is_none() {
            self.status.confirmed = Some(now);
        }
    }

    fn is_on_roster(&self) -> bool {
        let entry = self.roster.entries.get(&self.identity.name);
        entry.is_some_and(|entry| entry.incarnation == self.identity.incarnation)
    }

    fn set_roster(&mut self, roster: Option<EntryRoster>) {
        let newer = roster.filter(|roster| roster.generation > self.roster.generation);
        if let Some(roster) = newer {
            log::info!(
                event = "roster_in_force", generation = roster.generation,
                places = roster.places, next_places = roster.next_places; ""
            );
            self.roster = roster;
            let shared = Arc::new(self.roster.clone());
            self.senders.roster.send_replace(shared);
        }
    }

    fn set_remote(&mut self, dc: DcName, summary: Option<DcSummary>, now: Instant) {
        let last_received = now.saturating_duration_since(self.started);
        let remote = self.state.remotes.entry(dc).or_default();
        if let Some(summary) = summary {
            *remote = RemoteState {
                entries: summary.entries,
                slots: summary.slots,
                last_received,
            };
        }
        remote.last_received = last_received;
    }

    fn publish(&mut self, now: Instant) {
        let limit = self.periods.sync * OVERDUE_PERIODS;
        let last = self.last_push.unwrap_or(self.started);
        self.status.push_overdue = now.saturating_duration_since(last) > limit;
        let identity = &self.identity;
        let (place, next) = places_of(&self.roster, &identity.name, identity.incarnation);
        self.state.generation = self.roster.generation;
        self.state.place = place;
        self.state.next = next;
        self.state.trusted = !self.status.untrusted;
        self.state.members = self.members();
        self.senders.state.send_if_modified(|current| {
            let changed = **current != self.state;
            if changed {
                *current = Arc::new(self.state.clone());
            }
            changed
        });
        self.senders.status.send_if_modified(|current| {
            let changed = *current != self.status;
            *current = self.status;
            changed
        });
    }

    /// Returns the entry VMs of the roster, each with the last answer of the process
    /// whose incarnation is in the roster.
    fn members(&self) -> BTreeMap<EntryName, MemberState> {
        let entries = self.roster.entries.iter();
        let members = entries.map(|(name, entry)| {
            let answer = self.answers.get(name);
            let answer =
                answer.filter(|(answer, _)| answer.report.incarnation == entry.incarnation);
            let last_received = answer
                .map(|(_, last_received)| last_received.saturating_duration_since(self.started));
            let member = MemberState {
                entry_address: entry.entry_address,
                control_address: entry.control_address,
                last_received: last_received.unwrap_or_default(),
                ack: answer.map_or_else(EntryAck::default, |(answer, _)| answer.report.ack.clone()),
            };
            (name.clone(), member)
        });
        members.collect()
    }
}
