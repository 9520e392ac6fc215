//! The platform's list of VMs, which lags behind, and operations on VMs.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use chicorygauge::platform::wire::ListedVmWire;
use chicorygauge::platform::wire::OperationStateWire;
use chicorygauge::platform::wire::OperationWire;
use chicorygauge::platform::wire::ProgressWire;
use hyper::Method;
use hyper::StatusCode;
use tokio::time::Instant;
use tokio::time::sleep;

use super::PlatformFaults;
use super::PlatformState;
use super::lock;
use crate::server;
use crate::server::BufferedRequest;
use crate::server::ServerResponse;

/// Maximum lag of the list for which old lists are kept.
const MAX_LAG: Duration = Duration::from_secs(300);

#[derive(Default)]
pub(super) struct VmsState {
    current: BTreeMap<String, ListedVmWire>,
    /// Past and current lists, each with the time at which it became current.
    history: VecDeque<(Instant, Vec<ListedVmWire>)>,
    /// Progress by VM and operation id.
    operations: HashMap<(String, String), ProgressWire>,
}

impl VmsState {
    fn record_change(&mut self) {
        let list = self.current.values().cloned().collect();
        self.history.push_back((Instant::now(), list));
        while self.history.len() > 1 && self.history[1].0.elapsed() > MAX_LAG {
            self.history.pop_front();
        }
    }
}

pub(super) fn register(
    state: &PlatformState,
    vm: &str,
    request: &BufferedRequest,
) -> ServerResponse {
    let mut vms = lock(&state.vms);
    if *request.method() == Method::DELETE {
        vms.current.remove(vm);
    } else {
        let listed = serde_json::from_slice(request.body()).map_err(io::Error::other)?;
        vms.current.insert(vm.to_owned(), listed);
    }
    vms.record_change();
    Ok(server::json(&true))
}

pub(super) fn list(
    state: &PlatformState,
    request: &BufferedRequest,
    faults: &PlatformFaults,
) -> ServerResponse {
    let lag = Duration::from_millis(faults.list_lag_ms);
    let dc = server::query(request, "dc");
    let vms = lock(&state.vms);
    let mut lists = vms.history.iter().rev();
    let listed = lists.find(|(since, _)| since.elapsed() >= lag);
    let listed = listed.map_or(&[][..], |(_, list)| list);
    let listed = listed.iter().filter(|vm| dc.is_none_or(|dc| dc == vm.dc));
    let listed: Vec<_> = listed.collect();
    Ok(server::json(&listed))
}

pub(super) fn operate(
    state: &Arc<PlatformState>,
    path: &str,
    request: &BufferedRequest,
    faults: &PlatformFaults,
) -> ServerResponse {
    let parts: Vec<_> = path.split('/').collect();
    let [vm, "operations", operation] = parts[..] else {
        return Ok(server::text(StatusCode::NOT_FOUND, "no such path"));
    };
    let Ok(wire) = serde_json::from_slice::<OperationWire>(request.body()) else {
        return Ok(server::text(StatusCode::BAD_REQUEST, "not an operation"));
    };
    let key = (vm.to_owned(), operation.to_owned());
    let mut vms = lock(&state.vms);
    if let Some(progress) = vms.operations.get(&key) {
        return Ok(server::json(&OperationStateWire { state: *progress }));
    }
    let Some(listed) = vms.current.get(vm).cloned() else {
        return Ok(server::text(StatusCode::NOT_FOUND, "no such VM"));
    };
    let progress = match wire.kind.as_str() {
        "reboot" => {
            let fails = faults.reboot_fails.iter().any(|failing| failing == vm);
            let time = Duration::from_millis(faults.reboot_ms);
            tokio::spawn(reboot(state.clone(), key.clone(), listed, time, fails));
            ProgressWire::Running
        }
        _ => ProgressWire::Done,
    };
    vms.operations.insert(key, progress);
    Ok(server::json(&OperationStateWire { state: progress }))
}

async fn reboot(
    state: Arc<PlatformState>,
    key: (String, String),
    listed: ListedVmWire,
    time: Duration,
    fails: bool,
) {
    let body = if fails {
        "null".to_owned()
    } else {
        time.as_millis().to_string()
    };
    let request = CallRequest {
        method: Method::PUT,
        path: "/standin/reboot",
        body: Bytes::from(body),
        ..CallRequest::default()
    };
    if let Err(error) = call(listed.address, request).await {
        log::warn!(event = "reboot_failed", vm = key.0, error:% = error; "");
    }
    sleep(time).await;
    let progress = if fails {
        ProgressWire::Failed
    } else {
        ProgressWire::Done
    };
    lock(&state.vms).operations.insert(key, progress);
}
