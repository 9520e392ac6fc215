//! Service `control`: the HTTP interface for operators and peers.

use std::sync::Arc;

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
use tokio::sync::watch;

use crate::config::store;
use crate::config::store::PatchRequest;
use crate::config::store::StoreError;
use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::reached;
use crate::metrics;
use crate::platform::PlatformClient;
use crate::service::config::ConfigView;
use crate::service::fleet::FleetView;
use crate::service::unix_ms;
use crate::settings::DaemonSettings;

pub mod wire;

use wire::ErrorWire;
use wire::PatchAnswerWire;
use wire::PatchWire;
use wire::StatusWire;

/// Name of the service.
pub const NAME: ServiceName = "control";
/// Largest patch, in bytes.
const MAX_PATCH_BYTES: usize = 1 << 20;

/// What the handlers share.
struct ControlState {
    settings: DaemonSettings,
    client: PlatformClient,
    config: ConfigView,
    fleet: FleetView,
}

/// Starts the service on a bound socket.
pub fn start(
    kernel: &ServiceKernel,
    settings: &DaemonSettings,
    acceptor: TcpAcceptor,
    client: PlatformClient,
    config: ConfigView,
    fleet: FleetView,
) {
    let state = Arc::new(ControlState {
        settings: settings.clone(),
        client,
        config,
        fleet,
    });
    let operators = Router::with_path("v1")
        .hoop(affix_state::inject(state))
        .push(Router::with_path("status").get(show_status))
        .push(Router::with_path("config").get(show_config))
        .push(Router::with_path("config/patch").post(patch_config));
    let router = Router::new()
        .push(operators)
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
            reached(&mut phase, ShutdownPhase::Stopped).await;
            handle.stop_graceful(None);
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = server.serve(router) => {}
            () = stop => {}
        }
    });
}

fn state_of(depot: &Depot) -> Option<Arc<ControlState>> {
    depot.get_typed::<Arc<ControlState>>().ok().cloned()
}

fn fail(response: &mut Response, status: StatusCode, error: impl ToString) {
    response.status_code(status);
    response.render(Json(ErrorWire {
        error: error.to_string(),
    }));
}

/// Tells the balancer whether to send callers here.
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

#[handler]
async fn show_status(depot: &mut Depot, response: &mut Response) {
    let Some(state) = state_of(depot) else {
        return;
    };
    let fleet = state.fleet.borrow().clone();
    response.render(Json(StatusWire {
        name: state.settings.name.to_string(),
        dc: state.settings.dc.to_string(),
        config_version: state.config.borrow().version,
        fleet_sequence: fleet.as_ref().map_or(0, |fleet| fleet.sequence),
        vms: fleet.as_ref().map_or(0, |fleet| fleet.vms.len()),
    }));
}

#[handler]
async fn show_config(depot: &mut Depot, response: &mut Response) {
    let Some(state) = state_of(depot) else {
        return;
    };
    let config = state.config.borrow().clone();
    response.render(Json(&config.document));
}

#[handler]
async fn patch_config(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(state) = state_of(depot) else {
        return;
    };
    let patch = request.parse_json_with_max_size::<PatchWire>(MAX_PATCH_BYTES);
    let patch = match patch.await {
        Ok(patch) => PatchRequest::from(patch),
        Err(error) => return fail(response, StatusCode::BAD_REQUEST, error),
    };
    let known = state.config.borrow().clone();
    match store::submit(&state.client, &known, &patch, unix_ms()).await {
        Ok(next) => {
            log::info!(
                event = "patch_accepted", version = next.version,
                author = patch.author, reason = patch.reason; ""
            );
            response.render(Json(PatchAnswerWire {
                version: next.version,
            }));
        }
        Err(error) => {
            log::warn!(event = "patch_failed", author = patch.author, error:% = error; "");
            fail(response, status_of(&error), error);
        }
    }
}

fn status_of(error: &StoreError) -> StatusCode {
    match error {
        StoreError::Conflict { .. } => StatusCode::CONFLICT,
        StoreError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
