//! The task that owns what is known of the other entry VMs.
//!
//! It finds out by its own ticks whether the process was paused. A paused
//! process may have missed that operators went on without it, so it serves
//! again only once it has asked for the state anew; what was sent to it while
//! it was paused does not count.

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
use super::PeerTools;
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

/// Periods without a push after which an entry VM reads the state itself.
const QUIET_PERIODS: u32 = 4;
/// Ticks in the time that counts as a pause.
const PAUSE_TICKS: u32 = 4;

/// Message to the owner.
pub(super) enum OwnerMessage {
    /// The controller has pushed; a roster comes with it if it is new.
    Pushed {
        controller: SocketAddr,
        roster: Option<EntryRoster>,
    },
    /// The controller, which is this entry VM, has heard these members.
    Heard(BTreeMap<EntryName, PushAnswer>),
    /// The state was read; all of it is in force by now.
    Confirmed {
        /// When it was asked for.
        asked: Instant,
        /// The roster, if there is one.
        roster: Option<EntryRoster>,
        /// Age of the state if it comes from a peer.
        stale: Option<Duration>,
    },
    /// Another data centre was heard; without a summary nothing has changed there.
    Remote(DcName, Option<DcSummary>),
}

/// What the owner lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StateNeed {
    /// The state has to be read before requests are served.
    pub untrusted: bool,
    /// No controller has been heard for some periods.
    pub quiet: bool,
    /// Where the controller was last heard.
    pub controller: Option<SocketAddr>,
    /// When the state was last confirmed.
    pub confirmed: Option<Instant>,
}

/// State of the task.
pub(super) struct PeerOwner {
    identity: Arc<EntryIdentity>,
    periods: ControlPeriods,
    started: Instant,
    /// When the task last ran.
    ran: Instant,
    /// What is asked for after this counts as fresh.
    fresh_after: Instant,
    paused: bool,
    pushed: Option<Instant>,
    roster: EntryRoster,
    answers: BTreeMap<EntryName, (PushAnswer, Instant)>,
    need: StateNeed,
    state: PeerState,
    senders: OwnerSenders,
}

/// Where the owner publishes.
pub(super) struct OwnerSenders {
    pub state: watch::Sender<Arc<PeerState>>,
    pub need: watch::Sender<StateNeed>,
    pub roster: watch::Sender<Arc<EntryRoster>>,
}

/// Runs until all senders are gone.
pub(super) async fn run(
    mut owner: PeerOwner,
    tools: &PeerTools,
    mut messages: mpsc::Receiver<OwnerMessage>,
) {
    let mut ticks = interval(tools.settings.control.pause_limit / PAUSE_TICKS);
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
            owner.take(message, now);
        }
        owner.publish(now);
    }
}

impl PeerOwner {
    pub fn new(tools: &PeerTools, senders: OwnerSenders, now: Instant) -> Self {
        Self {
            identity: tools.identity.clone(),
            periods: tools.settings.control.clone(),
            started: now,
            ran: now,
            fresh_after: now,
            paused: false,
            pushed: None,
            roster: EntryRoster::default(),
            answers: BTreeMap::new(),
            need: StateNeed {
                untrusted: true,
                ..StateNeed::default()
            },
            state: PeerState::default(),
            senders,
        }
    }

    fn check_pause(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.ran);
        self.ran = now;
        if pause > self.periods.pause_limit {
            log::warn!(event = "pause_seen", pause_ms = pause.as_millis() as u64; "");
            self.paused = true;
            self.need.untrusted = true;
            self.fresh_after = now;
        }
    }

    fn take(&mut self, message: OwnerMessage, now: Instant) {
        match message {
            OwnerMessage::Pushed { controller, roster } => {
                self.need.controller = Some(controller);
                self.pushed = Some(now);
                self.set_roster(roster);
                // Only a controller of this process's own time can have entered
                // its incarnation.
                if !self.paused && self.is_entered() {
                    self.confirm(now, None);
                }
            }
            OwnerMessage::Heard(answers) => {
                let answers = answers.into_iter();
                self.answers
                    .extend(answers.map(|(name, answer)| (name, (answer, now))));
            }
            OwnerMessage::Confirmed {
                asked,
                roster,
                stale,
            } => {
                self.set_roster(roster);
                if asked >= self.fresh_after {
                    self.confirm(now, stale);
                }
            }
            OwnerMessage::Remote(dc, summary) => self.set_remote(dc, summary, now),
        }
    }

    fn confirm(&mut self, now: Instant, stale: Option<Duration>) {
        if self.need.untrusted {
            let age = stale.map_or(0, |age| age.as_millis() as u64);
            log::info!(event = "state_confirmed", stale_ms = age, from_peer = stale.is_some(); "");
        }
        self.paused = false;
        self.need.untrusted = false;
        self.state.stale = stale;
        if stale.is_none() {
            self.need.confirmed = Some(now);
        }
    }

    fn is_entered(&self) -> bool {
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
        let heard = now.saturating_duration_since(self.started);
        let remote = self.state.remotes.entry(dc).or_default();
        if let Some(summary) = summary {
            *remote = RemoteState {
                entries: summary.entries,
                slots: summary.slots,
                heard,
            };
        }
        remote.heard = heard;
    }

    fn publish(&mut self, now: Instant) {
        let limit = self.periods.sync * QUIET_PERIODS;
        let last = self.pushed.unwrap_or(self.started);
        self.need.quiet = now.saturating_duration_since(last) > limit;
        let identity = &self.identity;
        let (place, next) = places_of(&self.roster, &identity.name, identity.incarnation);
        self.state.generation = self.roster.generation;
        self.state.place = place;
        self.state.next = next;
        self.state.trusted = !self.need.untrusted;
        self.state.members = self.members();
        self.senders.state.send_if_modified(|current| {
            let changed = **current != self.state;
            if changed {
                *current = Arc::new(self.state.clone());
            }
            changed
        });
        self.senders.need.send_if_modified(|current| {
            let changed = *current != self.need;
            *current = self.need;
            changed
        });
    }

    /// Returns the entry VMs of the roster, each with what was last heard of
    /// the process that the roster carries.
    fn members(&self) -> BTreeMap<EntryName, MemberState> {
        let entries = self.roster.entries.iter();
        let members = entries.map(|(name, entry)| {
            let answer = self.answers.get(name);
            let answer =
                answer.filter(|(answer, _)| answer.report.incarnation == entry.incarnation);
            let heard = answer.map(|(_, heard)| heard.saturating_duration_since(self.started));
            let member = MemberState {
                entry_address: entry.entry_address,
                control_address: entry.control_address,
                heard: heard.unwrap_or_default(),
                ack: answer.map_or_else(EntryAck::default, |(answer, _)| answer.report.ack.clone()),
            };
            (name.clone(), member)
        });
        members.collect()
    }
}
