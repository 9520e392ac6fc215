//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::from_base64;
use crate::json::table;
use crate::json::to_base64;

/// Most entries of a change: `expect`, `setKeys` and `remove` together.
const MOST_ENTRIES: usize = 32;

/// Most items of a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    /// None for a removal.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

/// The store; clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

fn item_json(key: &str, item: &Item) -> Json {
    table([
        ("key", key.into()),
        ("value", to_base64(&item.value).into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(Change {
            key: key.to_owned(),
            revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push(Change {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        for key in keys {
            self.remove(&key);
        }
    }

    fn change(&mut self, body: &Json) -> (u16, Json) {
        let (expect, sets, removes) = (body.get("expect"), body.get("setKeys"), body.get("remove"));
        let entries = expect.list().len() + sets.list().len() + removes.list().len();
        if entries > MOST_ENTRIES {
            return (400, table([("error", "too many entries".into())]));
        }
        let holds = |row: &Json| {
            let item = self.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("revision").number()
        };
        if !expect.list().iter().all(holds) {
            let rows = expect.list().iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(item_json(key, self.items.get(key)?))
            });
            return (412, table([("items", rows.collect::<Vec<_>>().into())]));
        }
        let lease_of = |row: &Json| row.get("lease").number();
        let mut leases = sets.list().iter().map(lease_of).filter(|lease| *lease > 0);
        if leases.any(|lease| !self.leases.contains_key(&lease)) {
            return (404, table([]));
        }
        self.revision += 1;
        for row in sets.list() {
            let value = from_base64(row.get("value").text()).unwrap_or_default();
            self.put(row.get("key").text(), value, lease_of(row));
        }
        for key in removes.list() {
            self.remove(key.text());
        }
        (200, table([("revision", self.revision.into())]))
    }
}

impl Store {
    /// Starts the store's server.
    pub fn start(&self, address: SocketAddr) -> std::io::Result<Server> {
        let expiring = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.with(|state| {
                    let now = Instant::now();
                    let ended = state.leases.iter().filter(|(_, (until, _))| *until <= now);
                    let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                    ended.into_iter().for_each(|lease| state.end_lease(lease));
                });
            }
        });
        let store = self.clone();
        Server::start(address, move |request| store.handle(&request))
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().expect("lock the store");
        let before = state.revision;
        let result = change(&mut state);
        if state.revision != before {
            self.changed.notify_all();
        }
        result
    }

    /// Writes an item without a lease, as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Json) {
        self.with(|state| {
            state.revision += 1;
            state.put(key, value.to_string().into_bytes(), 0);
        });
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.with(|state| {
            state.revision += 1;
            state.remove(key);
        });
    }

    fn handle(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let (status, body) = match request.path.as_str() {
            "/kv-key" => self.read(&request.param("key")),
            "/kv-range" => self.range(&request.param("prefix"), &request.param("after")),
            "/kv-watch" => {
                let number = |name: &str| request.param(name).parse().unwrap_or(0);
                self.watch(&request.param("prefix"), number("after"), number("waitMs"))
            }
            "/kv-txn" => self.with(|state| state.change(&body)),
            "/kv-lease" => self.grant(body.get("ttlMs").number()),
            path => self.renew_or_end(path),
        };
        Some((status, body.to_string()))
    }

    fn read(&self, key: &str) -> (u16, Json) {
        self.with(|state| match state.items.get(key) {
            Some(item) => {
                let mut json = item_json(key, item);
                if let Json::Table(fields) = &mut json {
                    fields.insert("at".to_owned(), state.revision.into());
                }
                (200, json)
            }
            None => (404, table([("at", state.revision.into())])),
        })
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, Json) {
        self.with(|state| {
            let rows = state.items.iter();
            let rows = rows.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
            let mut items: Vec<Json> = rows.map(|(key, item)| item_json(key, item)).collect();
            let more = items.len() > PAGE;
            items.truncate(PAGE);
            let body = table([
                ("items", items.into()),
                ("hasMore", more.into()),
                ("at", state.revision.into()),
            ]);
            (200, body)
        })
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, Json) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().expect("lock the store");
        loop {
            let changes = state.changes.iter();
            let changes =
                changes.filter(|change| change.revision > after && change.key.starts_with(prefix));
            let events: Vec<Json> = changes
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => table([
                        ("key", change.key.as_str().into()),
                        ("revision", change.revision.into()),
                        ("deleted", true.into()),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let at = state.revision.into();
                return (200, table([("events", events.into()), ("at", at)]));
            }
            let waited = self.changed.wait_timeout(state, deadline - now);
            state = waited.expect("lock the store").0;
        }
    }

    fn grant(&self, ttl_ms: u64) -> (u16, Json) {
        let ttl = Duration::from_millis(ttl_ms);
        self.with(|state| {
            state.last_lease += 1;
            let lease = state.last_lease;
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            (
                200,
                table([("lease", lease.into()), ("ttlMs", ttl_ms.into())]),
            )
        })
    }

    fn renew_or_end(&self, path: &str) -> (u16, Json) {
        let (call, lease) = path.rsplit_once('/').unwrap_or((path, ""));
        let Ok(lease) = lease.parse::<u64>() else {
            return (400, table([]));
        };
        self.with(|state| {
            let Some((until, ttl)) = state.leases.get_mut(&lease) else {
                return (404, table([]));
            };
            if call == "/kv-lease-end" {
                state.end_lease(lease);
                return (200, table([]));
            }
            *until = Instant::now() + *ttl;
            let ttl_ms = ttl.as_millis() as u64;
            (200, table([("ttlMs", ttl_ms.into())]))
        })
    }
}
