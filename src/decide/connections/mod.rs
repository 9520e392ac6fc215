//! Decides which connections of clients are closed, so that clients that do not finish
//! their requests never take the places or the memory of others.
//!
//! A connection whose request has been received whole is never closed before its answer,
//! unless the client does not read the answer. The others are closed when the time for
//! their stage is over, and earlier if there is no room: those first that have not made
//! progress for longest. Progress is counted in steps of [`PROGRESS_BYTES`], so that a
//! client that sends single bytes makes none. Idle connections of clients that have had
//! an answer come last.

mod types;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

pub use types::CloseCause;
pub use types::ConnectionClosure;
pub use types::ConnectionId;
pub use types::ConnectionLimits;
pub use types::ConnectionStage;
pub use types::StageLimits;

/// Bytes received or sent that count as progress.
pub const PROGRESS_BYTES: usize = 1024;

/// Time without progress after which a client that does not read its answer may be closed
/// for want of room.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// There is no room for another connection, or for more of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    stage: ConnectionStage,
    /// Start of the stage.
    since: Duration,
    /// Last progress in the stage.
    progress: Duration,
    /// Bytes received or sent since then.
    unmarked_bytes: usize,
    held_bytes: usize,
    closing: bool,
    /// Whether the client has not read as much of the answer as could be sent.
    blocked: bool,
}

/// Ranks of connections in the order in which they are closed for want of room: those
/// without a whole request, those whose answer is not read, those that are idle between two
/// requests.
const UNFINISHED_RANK: u8 = 0;
const ANSWER_RANK: u8 = 1;
const IDLE_RANK: u8 = 2;

/// Place in that order.
type EvictionKey = (u8, Duration, ConnectionId);

/// Returns whether a connection may be closed for want of room now: clients may take a moment
/// to read an answer.
fn may_evict((rank, progress, _): &EvictionKey, now: Duration) -> bool {
    *rank != ANSWER_RANK || now >= *progress + ANSWER_GRACE
}

impl ConnectionEntry {
    /// Returns the place in the order of eviction; none if it may not be closed.
    fn eviction_key(&self, id: ConnectionId) -> Option<EvictionKey> {
        let rank = match self.stage {
            ConnectionStage::New | ConnectionStage::Head | ConnectionStage::Body => UNFINISHED_RANK,
            ConnectionStage::Answer => ANSWER_RANK,
            ConnectionStage::Idle => IDLE_RANK,
            ConnectionStage::Whole => return None,
        };
        (!self.closing).then_some((rank, self.progress, id))
    }

    /// Returns whether an answer is being sent that does not wait for the client.
    fn is_sending(&self) -> bool {
        self.stage == ConnectionStage::Answer && !self.blocked && !self.closing
    }
}

/// The connections of a server. Times are since the start of the server.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    entries: HashMap<ConnectionId, ConnectionEntry>,
    evictable: BTreeSet<EvictionKey>,
    last_id: ConnectionId,
    held_bytes: usize,
    closing: usize,
    /// Memory of the connections that are being closed.
    closing_bytes: usize,
    /// Number of connections whose answer is being sent and does not wait for the client.
    sending: usize,
}

impl ConnectionTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the number of connections, including those that are being closed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory that is held for requests and for answers being sent, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a connection; also returns the one that is closed to make room for it, if any.
    ///
    /// # Errors
    ///
    /// Fails if all places are taken by connections that may not be closed.
    pub fn open(
        &mut self,
        now: Duration,
    ) -> Result<(ConnectionId, Option<ConnectionClosure>), NoRoom> {
        let mut closure = None;
        if self.entries.len() - self.closing >= self.limits.connections {
            let victim = self.pop_victim(now).ok_or(NoRoom)?;
            closure = Some((victim, CloseCause::Connections));
        }
        self.last_id += 1;
        let id = self.last_id;
        let entry = ConnectionEntry {
            stage: ConnectionStage::New,
            since: now,
            progress: now,
            unmarked_bytes: 0,
            held_bytes: 0,
            closing: false,
            blocked: false,
        };
        self.entries.insert(id, entry);
        self.evictable.extend(entry.eviction_key(id));
        Ok((id, closure))
    }

    /// Removes a connection that has ended, with the memory that it holds.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        if let Some(key) = entry.eviction_key(id) {
            self.evictable.remove(&key);
        }
        self.held_bytes -= entry.held_bytes;
        self.sending -= usize::from(entry.is_sending());
        if entry.closing {
            self.closing -= 1;
            self.closing_bytes -= entry.held_bytes;
        }
    }

    /// Returns the stage of a connection, if it is in the table.
    #[must_use]
    pub fn stage(&self, id: ConnectionId) -> Option<ConnectionStage> {
        self.entries.get(&id).map(|entry| entry.stage)
    }

    /// Returns whether a connection is being closed or is not in the table.
    #[must_use]
    pub fn is_closing(&self, id: ConnectionId) -> bool {
        self.entries.get(&id).is_none_or(|entry| entry.closing)
    }

    /// Begins a stage of a connection; false if the connection is being closed.
    ///
    /// The memory of a request is released when its answer begins, and that of the answer when
    /// it has been sent.
    pub fn enter(&mut self, id: ConnectionId, stage: ConnectionStage, now: Duration) -> bool {
        let allowed = self.update(id, |entry| {
            entry.stage = stage;
            entry.since = now;
            entry.progress = now;
            entry.unmarked_bytes = 0;
            entry.blocked = false;
        });
        if matches!(stage, ConnectionStage::Answer | ConnectionStage::Idle) {
            let held_bytes = self.entries.get(&id).map_or(0, |entry| entry.held_bytes);
            self.release(id, held_bytes);
        }
        allowed
    }

    /// Records whether the answer of a connection waits for its client to read.
    pub fn set_blocked(&mut self, id: ConnectionId, blocked: bool) {
        self.update(id, |entry| entry.blocked = blocked);
    }

    /// Returns whether an answer is being sent that does not wait for its client, so that the
    /// connection will soon be idle.
    #[must_use]
    pub fn is_sending(&self) -> bool {
        self.sending > 0
    }

    /// Records bytes that were received or, of an answer, sent.
    pub fn record_progress(&mut self, id: ConnectionId, bytes: usize, now: Duration) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.unmarked_bytes += bytes;
        if entry.unmarked_bytes >= PROGRESS_BYTES {
            self.update(id, |entry| {
                entry.progress = now;
                entry.unmarked_bytes = 0;
            });
        }
    }

    /// Reserves memory for a request; returns the connections that are closed to keep room
    /// for others.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, or if the connection is being closed.
    pub fn reserve(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Duration,
    ) -> Result<Vec<ConnectionClosure>, NoRoom> {
        if self.is_closing(id) || self.held_bytes + bytes > self.limits.buffer_bytes {
            return Err(NoRoom);
        }
        self.hold(id, bytes);
        Ok(self.make_room(id, now))
    }

    /// Adds memory that a connection holds already, whether there is room or not.
    pub fn hold(&mut self, id: ConnectionId, bytes: usize) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.held_bytes += bytes;
        self.held_bytes += bytes;
        if entry.closing {
            self.closing_bytes += bytes;
        }
    }

    /// Closes connections that hold memory until a quarter of the memory is free or about to
    /// be, so that requests that are about to arrive are not refused.
    fn make_room(&mut self, id: ConnectionId, now: Duration) -> Vec<ConnectionClosure> {
        let target = self.limits.buffer_bytes / 4 * 3;
        let mut excess = (self.held_bytes - self.closing_bytes).saturating_sub(target);
        let mut victims = Vec::new();
        for key @ (_, _, victim) in &self.evictable {
            if excess == 0 {
                break;
            }
            if !may_evict(key, now) {
                continue;
            }
            let held_bytes = self.entries.get(victim).map_or(0, |entry| entry.held_bytes);
            if held_bytes > 0 && *victim != id {
                victims.push((*victim, CloseCause::Memory));
                excess = excess.saturating_sub(held_bytes);
            }
        }
        victims.retain(|(victim, _)| self.close(*victim));
        victims
    }

    /// Releases memory that was reserved for a request of a connection.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(entry.held_bytes);
        entry.held_bytes -= bytes;
        self.held_bytes -= bytes;
        if entry.closing {
            self.closing_bytes -= bytes;
        }
    }

    /// Marks the connections whose stage has taken too long as closing and returns them.
    ///
    /// The time limit of a body is checked where the body is read, since it depends on the
    /// request.
    pub fn expire(&mut self, limits: StageLimits, now: Duration) -> Vec<ConnectionClosure> {
        let expired = self.entries.iter().filter(|(_, entry)| !entry.closing);
        let expired = expired.filter_map(|(id, entry)| {
            let (start, limit, cause) = match entry.stage {
                ConnectionStage::New | ConnectionStage::Idle => {
                    (entry.since, limits.idle, CloseCause::Idle)
                }
                ConnectionStage::Head => (entry.since, limits.head, CloseCause::HeadTimeout),
                ConnectionStage::Answer => {
                    let limit = self.limits.answer_limit;
                    (entry.progress, limit, CloseCause::AnswerTimeout)
                }
                ConnectionStage::Body | ConnectionStage::Whole => return None,
            };
            (now >= start + limit).then_some((*id, cause))
        });
        let mut expired: Vec<ConnectionClosure> = expired.collect();
        expired.sort_unstable();
        expired.retain(|(id, _)| self.close(*id));
        expired
    }

    /// Takes the connection that is closed first for want of room.
    fn pop_victim(&mut self, now: Duration) -> Option<ConnectionId> {
        let mut order = self.evictable.iter();
        let (_, _, id) = *order.find(|key| may_evict(key, now))?;
        self.close(id).then_some(id)
    }

    fn close(&mut self, id: ConnectionId) -> bool {
        let closed = self.update(id, |entry| entry.closing = true);
        if closed {
            self.closing += 1;
            self.closing_bytes += self.entries.get(&id).map_or(0, |entry| entry.held_bytes);
        }
        closed
    }

    /// Changes an entry and its place in the order of eviction; false if the connection is
    /// unknown or being closed.
    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut ConnectionEntry)) -> bool {
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| !entry.closing) else {
            return false;
        };
        let (before, was_sending) = (entry.eviction_key(id), entry.is_sending());
        change(entry);
        let after = entry.eviction_key(id);
        self.sending += usize::from(entry.is_sending());
        self.sending -= usize::from(was_sending);
        if before != after {
            if let Some(key) = before {
                self.evictable.remove(&key);
            }
            self.evictable.extend(after);
        }
        true
    }
}
