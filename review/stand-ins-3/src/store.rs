//! The platform's store: items, conditional changes, watches and leases.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Handler;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::object;

/// Most items on one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Revision, key and the item as it was written; none for a removal.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (u64, Instant)>,
    last_lease: u64,
}

/// The store; clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().enumerate().fold(0u32, |sum, (at, byte)| {
            sum | u32::from(*byte) << (16 - 8 * at)
        });
        for at in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

fn item_json(key: &str, item: &Item) -> Json {
    object([
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.events
            .push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if known && !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        known
    }
}

impl Store {
    /// Starts the store's server and the expiry of leases.
    pub fn start(&self) -> std::io::Result<Server> {
        let store = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                store.expire();
            }
        });
        let store = self.clone();
        let handler: Handler = Arc::new(move |request| Some(store.handle(request)));
        Server::start(handler)
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, (_, until))| *until < now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            state.end_lease(lease);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.0.lock().expect("lock the store")
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.lock();
        state.revision += 1;
        state.set(key, base64(value.to_string().as_bytes()), 0);
        drop(state);
        self.shared.1.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let (status, body) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.read(request.parameter("key")),
            ("GET", "/kv-range") => {
                self.range(request.parameter("prefix"), request.parameter("after"))
            }
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.change(&Json::parse(&request.body)),
            ("POST", "/kv-lease") => self.grant(&Json::parse(&request.body)),
            ("POST", path) if path.starts_with("/kv-keep/") => self.renew(&path[9..]),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.end(&path[14..]),
            _ => (400, Json::Null),
        };
        self.shared.1.notify_all();
        (status, body.to_string())
    }

    fn read(&self, key: &str) -> (u16, Json) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, object([("at", state.revision.into())])),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Json) {
        let state = self.lock();
        let items = state.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<Json> = items
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = items.next().is_some();
        let at = state.revision;
        let body = [
            ("items", page.into()),
            ("hasMore", more.into()),
            ("at", at.into()),
        ];
        (200, object(body))
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let events = state.events.iter();
            let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events = events.map(|(revision, key, item)| match item {
                Some(item) => item_json(key, item),
                None => object([
                    ("key", key.as_str().into()),
                    ("revision", (*revision).into()),
                    ("deleted", true.into()),
                ]),
            });
            let events: Vec<Json> = events.collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision.into();
                return (200, object([("events", events.into()), ("at", at)]));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("wait for the store").0;
        }
    }

    fn change(&self, body: &Json) -> (u16, Json) {
        let mut state = self.lock();
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let expected = body.list("expect");
        let holds = expected.iter().all(|row| {
            revision_of(&state, &row.text("key")) == row.number("revision").unwrap_or(0)
        });
        if !holds {
            let items = expected.iter().filter_map(|row| {
                let key = row.text("key");
                state.items.get(&key).map(|item| item_json(&key, item))
            });
            let items: Vec<Json> = items.collect();
            return (412, object([("items", items.into())]));
        }
        let writes = body.list("setKeys");
        let lease_of = |write: &Json| write.number("lease").unwrap_or(0);
        let leased = writes.iter().map(lease_of).filter(|lease| *lease > 0);
        if leased
            .into_iter()
            .any(|lease| !state.leases.contains_key(&lease))
        {
            return (404, Json::Null);
        }
        state.revision += 1;
        for write in writes {
            state.set(&write.text("key"), write.text("value"), lease_of(write));
        }
        for key in body.list("remove") {
            if let Json::Text(key) = key {
                state.remove(key);
            }
        }
        (200, object([("revision", state.revision.into())]))
    }

    fn grant(&self, body: &Json) -> (u16, Json) {
        let ttl_ms = body.number("ttlMs").unwrap_or(1000);
        let mut state = self.lock();
        state.last_lease += 1;
        let lease = state.last_lease;
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        state.leases.insert(lease, (ttl_ms, until));
        (
            200,
            object([("lease", lease.into()), ("ttlMs", ttl_ms.into())]),
        )
    }

    fn renew(&self, lease: &str) -> (u16, Json) {
        let mut state = self.lock();
        let lease = lease.parse().unwrap_or(0);
        match state.leases.get_mut(&lease) {
            Some((ttl_ms, until)) => {
                *until = Instant::now() + Duration::from_millis(*ttl_ms);
                (200, object([("ttlMs", (*ttl_ms).into())]))
            }
            None => (404, Json::Null),
        }
    }

    fn end(&self, lease: &str) -> (u16, Json) {
        let known = self.lock().end_lease(lease.parse().unwrap_or(0));
        (if known { 200 } else { 404 }, object([]))
    }
}
