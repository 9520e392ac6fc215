//! Metrics, named by the conventions of Prometheus and rendered in its text format.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Connections of clients that were closed, and requests that were refused for want of room
/// or time, by server and cause.
pub const CLOSED_CONNECTIONS: &str = "chicory_connections_closed_total";
/// Memory of requests that are incomplete or not answered, by server.
pub const REQUEST_BUFFER_BYTES: &str = "chicory_request_buffer_bytes";
/// Requests by outcome and reason.
pub const REQUESTS: &str = "chicory_requests_total";
/// Calls without a valid API key, by reason.
pub const UNAUTHORIZED: &str = "chicory_unauthorized_total";
/// Configuration versions that were rejected, by reason.
pub const CONFIG_REJECTED: &str = "chicory_config_rejected_total";
/// Resends of requests, by pool.
pub const RESENDS: &str = "chicory_resends_total";
/// Forwards of requests to other entry VMs, by pool.
pub const FORWARDS: &str = "chicory_forwards_total";
/// Ejections of VMs by pool and cause.
pub const EJECTIONS: &str = "chicory_ejections_total";
/// VMs that are ejected or being probed.
pub const EJECTED_VMS: &str = "chicory_ejected_vms";
/// Calls to the platform by step and result.
pub const PLATFORM_CALLS: &str = "chicory_platform_calls_total";
/// Bytes of messages between entry VMs, without HTTP headers, by direction.
pub const PEER_BYTES: &str = "chicory_peer_bytes_total";
/// Messages between entry VMs, by direction.
pub const PEER_MESSAGES: &str = "chicory_peer_messages_total";
/// Submissions refused by the scheduler, by pool and reason.
pub const REFUSED_JOBS: &str = "chicory_jobs_refused_total";
/// Runs lost with their workers, by reason.
pub const LOST_RUNS: &str = "chicory_runs_lost_total";
/// Stops of runs, by reason.
pub const STOPPED_RUNS: &str = "chicory_runs_stopped_total";
/// Tasks given up because they crash their workers.
pub const GIVEN_UP_TASKS: &str = "chicory_tasks_given_up_total";
/// Delays of long-running tasks that crash their workers.
pub const HELD_BACK_TASKS: &str = "chicory_tasks_held_back_total";
/// Utility that the waiting jobs of a pool lose by a core-second of further work.
pub const ROOM_PRICE: &str = "chicory_pool_room_price";
/// Configuration version in force.
pub const CONFIG_VERSION: &str = "chicory_config_version";
/// Sequence of the fleet record in force.
pub const FLEET_SEQUENCE: &str = "chicory_fleet_sequence";

/// VMs of a pool that serve it or will do so soon, by pool.
pub const POOL_VMS: &str = "chicory_pool_vms";
/// VMs that the forecast of a pool's turns requires, by pool; 0 without a clear period.
pub const POOL_FORECAST_VMS: &str = "chicory_pool_forecast_vms";

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

fn recorder() -> Option<&'static PrometheusHandle> {
    let install = || PrometheusBuilder::new().install_recorder().ok();
    RECORDER.get_or_init(install).as_ref()
}

/// Installs the recorder and describes the metrics; may be called more than once.
pub fn start() {
    recorder();
    metrics::describe_counter!(REQUESTS, "Requests by outcome and reason.");
    metrics::describe_counter!(
        CLOSED_CONNECTIONS,
        "Connections closed and requests refused, by server and cause."
    );
    metrics::describe_gauge!(
        REQUEST_BUFFER_BYTES,
        "Memory of requests that are incomplete or not answered, by server."
    );
    metrics::describe_counter!(UNAUTHORIZED, "Calls without a valid API key, by reason.");
    metrics::describe_counter!(
        CONFIG_REJECTED,
        "Rejected configuration versions, by reason."
    );
    metrics::describe_counter!(RESENDS, "Further sends of requests, by pool.");
    metrics::describe_counter!(FORWARDS, "Requests passed on to other entry VMs, by pool.");
    metrics::describe_counter!(EJECTIONS, "Ejections of VMs by pool and cause.");
    metrics::describe_gauge!(EJECTED_VMS, "VMs that are ejected or on trial.");
    metrics::describe_counter!(PLATFORM_CALLS, "Calls to the platform by step and result.");
    metrics::describe_counter!(PEER_BYTES, "Bytes between entry VMs, by direction.");
    metrics::describe_counter!(PEER_MESSAGES, "Messages between entry VMs, by direction.");
    metrics::describe_counter!(REFUSED_JOBS, "Refused submissions, by pool and reason.");
    metrics::describe_counter!(LOST_RUNS, "Runs lost with their workers, by reason.");
    metrics::describe_counter!(STOPPED_RUNS, "Stops of runs, by reason.");
    metrics::describe_counter!(
        GIVEN_UP_TASKS,
        "Tasks given up because they crash their workers."
    );
    metrics::describe_counter!(
        HELD_BACK_TASKS,
        "Delays of long-running tasks that crash their workers."
    );
    metrics::describe_gauge!(
        ROOM_PRICE,
        "Utility lost by a core-second of further work, by pool."
    );
    metrics::describe_gauge!(CONFIG_VERSION, "Configuration version in force.");
    metrics::describe_gauge!(
        "chicory_account_cpu_millicores",
        "CPU in use by client account, at the owner."
    );
    metrics::describe_gauge!(
        "chicory_account_waiting_jobs",
        "Jobs without a run by client account, at the owner."
    );
    metrics::describe_counter!(
        "chicory_account_limit_waits_total",
        "Placements that waited for the limit of a client account."
    );
    metrics::describe_gauge!(FLEET_SEQUENCE, "Sequence of the fleet record in force.");
    metrics::describe_gauge!(POOL_VMS, "VMs that serve a pool or will do so soon.");
    metrics::describe_gauge!(POOL_FORECAST_VMS, "VMs that a pool's forecast requires.");
}

/// Sets the gauges of the forecast, if any, and the present VMs of each pool.
pub fn record_pool_vms(rows: BTreeMap<String, (Option<usize>, usize)>) {
    for (pool, (forecast, present)) in rows {
        metrics::gauge!(POOL_VMS, "pool" => pool.clone()).set(present as f64);
        metrics::gauge!(POOL_FORECAST_VMS, "pool" => pool).set(forecast.unwrap_or(0) as f64);
    }
}

/// Aggregates the histogram values that were recorded since the last call. Until then, each
/// value stays in memory, so this must be called every few seconds.
pub fn drain_histograms() {
    if let Some(recorder) = recorder() {
        recorder.run_upkeep();
    }
}

/// Renders all metrics as text; empty if another recorder was installed first.
#[must_use]
pub fn render() -> String {
    recorder().map(PrometheusHandle::render).unwrap_or_default()
}

/// Counts a message between entry VMs and its size in bytes; `direction` is `in` or
/// `out`.
pub fn count_peer_message(direction: &'static str, bytes: usize) {
    metrics::counter!(PEER_MESSAGES, "direction" => direction).increment(1);
    metrics::counter!(PEER_BYTES, "direction" => direction).increment(bytes as u64);
}
