//! The platform's key-value service with sessions.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use chicorygauge::platform::wire::INDEX_HEADER;
use chicorygauge::platform::wire::SessionIdWire;
use chicorygauge::platform::wire::SessionWire;
use chicorygauge::platform::wire::ValueWire;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::PlatformState;
use super::lock;
use crate::server;
use crate::server::BufferedRequest;
use crate::server::ServerResponse;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Default)]
pub(super) struct KvState {
    /// Index of the last change; each change takes the next one.
    index: u64,
    values: BTreeMap<String, StoredValue>,
    /// Index of the deletion, by deleted key.
    deleted: BTreeMap<String, u64>,
    sessions: HashMap<String, SessionState>,
}

struct StoredValue {
    value: Vec<u8>,
    modified: u64,
    session: Option<String>,
}

struct SessionState {
    ttl: Duration,
    expires: Instant,
}

impl KvState {
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.values.get(key).map(|stored| stored.value.clone())
    }

    pub fn values(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let values = self.values.iter();
        let values = values.filter(|(key, _)| key.starts_with(prefix));
        values
            .map(|(key, stored)| (key.clone(), stored.value.clone()))
            .collect()
    }

    /// Drops expired sessions and deletes the keys that they hold.
    fn expire(&mut self) {
        let now = Instant::now();
        let expired = self
            .sessions
            .extract_if(|_, session| session.expires <= now);
        let expired: Vec<_> = expired.map(|(id, _)| id).collect();
        for id in expired {
            self.delete_held_keys(&id);
        }
    }

    /// Deletes the keys that a session holds.
    fn delete_held_keys(&mut self, session: &str) {
        let held = self.values.iter();
        let held = held.filter(|(_, stored)| stored.session.as_deref() == Some(session));
        let held: Vec<_> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            self.delete(&key);
        }
    }

    fn delete(&mut self, key: &str) {
        if self.values.remove(key).is_some() {
            self.index += 1;
            self.deleted.insert(key.to_owned(), self.index);
        }
    }

    fn put(&mut self, key: &str, value: Vec<u8>, session: Option<String>) {
        // A key that was never written has index 1, so the first write gets index 2.
        self.index = self.index.max(1) + 1;
        let modified = self.index;
        self.deleted.remove(key);
        self.values.insert(
            key.to_owned(),
            StoredValue {
                value,
                modified,
                session,
            },
        );
    }

    /// Returns the index of the last change of a key; 1 if it was never written.
    fn index_of(&self, key: &str) -> u64 {
        let stored = self.values.get(key).map(|stored| stored.modified);
        stored.or(self.deleted.get(key).copied()).unwrap_or(1)
    }

    fn write(&mut self, key: &str, request: &BufferedRequest) -> Result<bool, StatusCode> {
        let cas = server::query(request, "cas").map(str::parse::<u64>);
        let cas = cas.transpose().map_err(|_| StatusCode::BAD_REQUEST)?;
        let current = self.values.get(key);
        let revision = current.map_or(0, |stored| stored.modified);
        if cas.is_some_and(|cas| cas != revision) {
            return Ok(false);
        }
        let holder = current.and_then(|stored| stored.session.clone());
        if *request.method() == Method::DELETE {
            self.delete(key);
            return Ok(true);
        }
        if request.body().len() > MAX_VALUE_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let acquire = server::query(request, "acquire").map(str::to_owned);
        if let Some(session) = &acquire {
            if !self.sessions.contains_key(session) {
                return Err(StatusCode::INTERNAL_SERVER_ERROR);
            }
            if holder.as_ref().is_some_and(|holder| holder != session) {
                return Ok(false);
            }
        }
        self.put(key, request.body().to_vec(), acquire.or(holder));
        Ok(true)
    }
}

pub(super) async fn handle(
    state: &PlatformState,
    key: &str,
    request: &BufferedRequest,
) -> ServerResponse {
    if *request.method() != Method::GET {
        return Ok(write(state, key, request));
    }
    if server::query(request, "recurse").is_some() {
        return Ok(list(state, key));
    }
    let index = server::query(request, "index").and_then(|index| index.parse().ok());
    let wait = server::query(request, "wait").unwrap_or("0ms");
    let wait = wait.trim_end_matches("ms").parse().unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait);
    wait_for_change(state, key, index.unwrap_or(0), deadline).await;
    let kv = lock(&state.kv);
    let mut response = match kv.values.get(key) {
        Some(stored) => server::json(&[value_wire(key, stored)]),
        None => server::text(StatusCode::NOT_FOUND, ""),
    };
    let index = HeaderValue::from(kv.index_of(key));
    response.headers_mut().insert(INDEX_HEADER, index);
    Ok(response)
}

async fn wait_for_change(state: &PlatformState, key: &str, index: u64, deadline: Instant) {
    let mut changes = state.changes.subscribe();
    loop {
        let current = {
            let mut kv = lock(&state.kv);
            kv.expire();
            kv.index_of(key)
        };
        if current > index || timeout_at(deadline, changes.changed()).await.is_err() {
            return;
        }
    }
}

fn list(
    state: &PlatformState,
    prefix: &str,
) -> hyper::Response<http_body_util::Full<bytes::Bytes>> {
    let mut kv = lock(&state.kv);
    kv.expire();
    let values = kv.values.iter();
    let values = values.filter(|(key, _)| key.starts_with(prefix));
    let values: Vec<_> = values
        .map(|(key, stored)| value_wire(key, stored))
        .collect();
    let mut response = server::json(&values);
    let index = HeaderValue::from(kv.index.max(1));
    response.headers_mut().insert(INDEX_HEADER, index);
    response
}

fn write(
    state: &PlatformState,
    key: &str,
    request: &BufferedRequest,
) -> hyper::Response<http_body_util::Full<bytes::Bytes>> {
    let mut kv = lock(&state.kv);
    kv.expire();
    match kv.write(key, request) {
        Ok(done) => {
            state.changes.send_replace(kv.index);
            server::json(&done)
        }
        Err(status) => server::text(status, "refused"),
    }
}

pub(super) fn handle_session(
    state: &PlatformState,
    path: &str,
    request: &BufferedRequest,
) -> ServerResponse {
    let mut kv = lock(&state.kv);
    kv.expire();
    let (action, id) = path.split_once('/').unwrap_or((path, ""));
    let response = match action {
        "create" => {
            let Ok(session) = serde_json::from_slice::<SessionWire>(request.body()) else {
                return Ok(server::text(StatusCode::BAD_REQUEST, "not a session"));
            };
            let ttl = session.ttl.trim_end_matches("ms").parse().unwrap_or(10_000);
            let ttl = Duration::from_millis(ttl);
            let id = format!("{:032x}", rand::random::<u128>());
            let expires = Instant::now() + ttl;
            kv.sessions
                .insert(id.clone(), SessionState { ttl, expires });
            server::json(&SessionIdWire { id })
        }
        "renew" => match kv.sessions.get_mut(id) {
            Some(session) => {
                session.expires = Instant::now() + session.ttl;
                server::json(&true)
            }
            None => server::text(StatusCode::NOT_FOUND, "no such session"),
        },
        "destroy" => {
            kv.sessions.remove(id);
            kv.delete_held_keys(id);
            server::json(&true)
        }
        _ => server::text(StatusCode::NOT_FOUND, "no such path"),
    };
    state.changes.send_replace(kv.index);
    Ok(response)
}

fn value_wire(key: &str, stored: &StoredValue) -> ValueWire {
    ValueWire {
        key: key.to_owned(),
        modify_index: stored.modified,
        value: Some(STANDARD.encode(&stored.value)),
        session: stored.session.clone(),
    }
}
