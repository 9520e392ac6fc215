//! Service `control`: the HTTP interface for operators and peers.
//!
//! Each submodule holds the handlers for one group of paths.

pub mod wire;

mod config;
mod fleet;
mod reports;
mod status;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use salvo::Depot;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::handler;
use salvo::http::StatusCode;
use salvo::prelude::affix_state;
use salvo::writing::Json;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::kernel::LookupError;
use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::metrics;
use crate::platform::PlatformClient;
use crate::platform::retry::RetryClient;
use crate::service::config::ConfigStatusView;
use crate::service::config::ConfigView;
use crate::service::entry::EjectionView;
use crate::service::fleet::ControllerView;
use crate::service::fleet::FleetView;
use crate::service::fleet::ReportView;
use crate::service::peers::PeerView;
use crate::settings::DaemonSettings;

use wire::ErrorWire;

/// Max patches that are received or submitted concurrently.
const MAX_SUBMISSIONS: usize = 8;
/// Max reports and audit lists that are built concurrently; each may use many MB of
/// memory.
const MAX_REPORTS: usize = 1;
/// Max time to wait for a permit, that is, for another such request to end.
const PERMIT_LIMIT: Duration = Duration::from_secs(10);
/// Max length of an error text, in characters.
const MAX_ERROR_CHARS: usize = 16 * 1024;

/// Name of the service.
pub const NAME: ServiceName = "control";

/// State shared by the handlers.
struct ControlState {
    settings: DaemonSettings,
    client: PlatformClient,
    config: ConfigView,
    config_status: ConfigStatusView,
    fleet: FleetView,
    controller: ControllerView,
    report: ReportView,
    peers: PeerView,
    ejections: EjectionView,
    submissions: Semaphore,
    reports: Semaphore,
}

impl ControlState {
    /// Creates a client for the platform calls of one request, with a common deadline.
    fn platform_client(&self) -> RetryClient<'_> {
        RetryClient {
            client: &self.client,
            deadline: Instant::now() + self.settings.platform.call_limit,
        }
    }
}

/// Starts the service on a bound socket.
///
/// # Errors
///
/// Fails if a service whose state it shows has not been started.
pub fn start(
    kernel: &ServiceKernel,
    settings: &DaemonSettings,
    acceptor: TcpAcceptor,
    client: PlatformClient,
) -> Result<(), LookupError> {
    let state = Arc::new(ControlState {
        settings: settings.clone(),
        client,
        config: kernel.find(crate::service::config::NAME)?,
        config_status: kernel.find(crate::service::config::NAME)?,
        fleet: kernel.find(crate::service::fleet::NAME)?,
        controller: kernel.find(crate::service::fleet::NAME)?,
        report: kernel.find(crate::service::fleet::NAME)?,
        peers: kernel.find(crate::service::peers::NAME)?,
        ejections: kernel.find(crate::service::entry::NAME)?,
        submissions: Semaphore::new(MAX_SUBMISSIONS),
        reports: Semaphore::new(MAX_REPORTS),
    });
    let operators = Router::with_path("v1")
        .hoop(affix_state::inject(state))
        .push(status::routes())
        .push(config::routes())
        .push(fleet::routes())
        .push(reports::routes());
    let router = Router::new()
        .push(operators)
        .push(crate::service::peers::routes(kernel)?)
        .push(Router::with_path("metrics").get(show_metrics))
        .push(
            Router::with_path("health")
                .hoop(affix_state::inject(kernel.phase()))
                .get(show_health),
        );
    let mut phase = kernel.phase();
    kernel.spawn(NAME, async move {
        let server = Server::new(acceptor);
        let handle = server.handle();
        let stop = async move {
            wait_for_phase(&mut phase, ShutdownPhase::Stopped).await;
            handle.stop_graceful(None);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = server.serve(router) => {}
            () = stop => {}
        }
    });
    Ok(())
}

/// Status and body of an error response.
struct ControlError {
    status: StatusCode,
    body: ErrorWire,
}

impl ControlError {
    fn new(status: StatusCode, error: impl fmt::Display) -> Self {
        // The text may quote the request, so its length is limited.
        let error = error.to_string();
        let error = error.chars().take(MAX_ERROR_CHARS).collect();
        Self {
            status,
            body: ErrorWire {
                error,
                ..ErrorWire::default()
            },
        }
    }

    /// Creates an error with status 503: the request cannot be served at the moment.
    fn unavailable(error: impl fmt::Display) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, error)
    }

    fn bad_request(error: impl fmt::Display) -> Self {
        Self::new(StatusCode::BAD_REQUEST, error)
    }
}

fn state_of(depot: &Depot) -> Result<Arc<ControlState>, ControlError> {
    let state = depot.get_typed::<Arc<ControlState>>().ok().cloned();
    state.ok_or_else(|| ControlError::new(StatusCode::INTERNAL_SERVER_ERROR, "no state"))
}

/// Writes a result to the response, as JSON.
fn respond<T: Serialize + Send>(response: &mut Response, result: Result<T, ControlError>) {
    match result {
        Ok(value) => response.render(Json(value)),
        Err(error) => {
            response.status_code(error.status);
            response.render(Json(error.body));
        }
    }
}

/// Waits for one of the permits that limit the concurrent requests of a kind; fails
/// after `PERMIT_LIMIT`.
async fn acquire_permit(permits: &Semaphore) -> Result<SemaphorePermit<'_>, ControlError> {
    let busy = || ControlError::unavailable("not accepted: too many calls of this kind at once");
    let permit = timeout(PERMIT_LIMIT, permits.acquire()).await;
    permit.map_err(|_| busy())?.map_err(|_| busy())
}

/// Reads a number from the query; returns `default` if it is absent.
fn query_number(request: &Request, name: &str, default: u64) -> Result<u64, ControlError> {
    let Some(text) = request.queries().get(name) else {
        return Ok(default);
    };
    let number = text.parse();
    number.map_err(|_| ControlError::bad_request(format!("{name}={text:?}: not a number")))
}

/// Health check of the load balancer: succeeds until the shutdown starts.
#[handler]
async fn show_health(depot: &mut Depot, response: &mut Response) {
    let phase = depot.get_typed::<watch::Receiver<ShutdownPhase>>();
    let running = phase.is_ok_and(|phase| *phase.borrow() == ShutdownPhase::Running);
    if running {
        response.render("running\n");
    } else {
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        response.render("shutting down\n");
    }
}

#[handler]
async fn show_metrics(response: &mut Response) {
    response.render(metrics::render());
}
