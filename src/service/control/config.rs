//! Handlers for the configuration: show a version, list versions, submit a patch.

use std::time::Duration;

use salvo::Depot;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use salvo::http::StatusCode;
use tokio::time::timeout;

use crate::config::patch::MAX_PATCH_BYTES;
use crate::config::patch::PatchRequest;
use crate::config::store;
use crate::config::store::StoreError;
use crate::config::submit::SubmitError;
use crate::config::submit::SubmitSettings;
use crate::config::submit::submit;
use crate::service::unix_ms;

use super::ControlError;
use super::acquire_permit;
use super::query_number;
use super::respond;
use super::state_of;
use super::wire::ConfigWire;
use super::wire::ErrorWire;
use super::wire::LogWire;
use super::wire::PatchResponseWire;
use super::wire::PatchWire;

/// Max body of a submission, in bytes. The limit on a patch applies to its compact
/// JSON; with whitespace it may take up to twice that size.
const MAX_BODY_BYTES: usize = 2 * MAX_PATCH_BYTES;
/// Time limit for receiving the body of a submission.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Max versions in one listing.
const MAX_LOG_VERSIONS: u64 = 1024;

pub(super) fn routes() -> Router {
    Router::with_path("config")
        .get(show)
        .push(Router::with_path("log").get(list))
        .push(Router::with_path("patch").post(submit_patch))
}

#[handler]
async fn show(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    respond(response, read(request, depot).await);
}

async fn read(request: &Request, depot: &Depot) -> Result<ConfigWire, ControlError> {
    let state = state_of(depot)?;
    let config = state.config.borrow().clone();
    let version = query_number(request, "version", config.version)?;
    if version == config.version {
        return Ok(config.as_ref().into());
    }
    match store::read_version(state.platform_client(), version).await {
        Ok(config) => Ok((&config).into()),
        Err(error @ StoreError::Missing { .. }) => {
            Err(ControlError::new(StatusCode::NOT_FOUND, error))
        }
        Err(error) => Err(ControlError::unavailable(error)),
    }
}

#[handler]
async fn list(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    respond(response, read_log(request, depot).await);
}

async fn read_log(request: &Request, depot: &Depot) -> Result<LogWire, ControlError> {
    let state = state_of(depot)?;
    let max = query_number(request, "most", 20)?.clamp(1, MAX_LOG_VERSIONS);
    let versions = store::read_latest(state.platform_client(), max as usize).await;
    let versions = versions.map_err(ControlError::unavailable)?;
    Ok(LogWire { versions })
}

#[handler]
async fn submit_patch(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    respond(response, handle_patch(request, depot).await);
}

async fn handle_patch(
    request: &mut Request,
    depot: &Depot,
) -> Result<PatchResponseWire, ControlError> {
    let state = state_of(depot)?;
    let _permit = acquire_permit(&state.submissions).await?;
    let wire = request.parse_json_with_max_size::<PatchWire>(MAX_BODY_BYTES);
    let wire = timeout(BODY_LIMIT, wire).await;
    let wire = wire.map_err(|_| ControlError::new(StatusCode::REQUEST_TIMEOUT, "body too slow"))?;
    let patch = PatchRequest::from(wire.map_err(ControlError::bad_request)?);
    if let Err(error) = patch.check() {
        return Err(rejection(SubmitError::Request { source: error }));
    }
    let in_force = state.config.borrow().clone();
    let limits = SubmitSettings::default();
    let submitted = submit(&state.client, &in_force, &patch, limits, unix_ms());
    match submitted.await {
        Ok(version) => {
            log::info!(
                event = "patch_accepted", version = version, patch_id = patch.patch_id,
                author = patch.author, reason = patch.reason; ""
            );
            Ok(PatchResponseWire { version })
        }
        Err(error) => {
            let error = rejection(error);
            log::warn!(
                event = "patch_failed", patch_id = patch.patch_id, author = patch.author,
                error = error.body.error; ""
            );
            Err(error)
        }
    }
}

/// Maps an error of a submission to the status and body of the response.
fn rejection(error: SubmitError) -> ControlError {
    let text = ControlError::bad_request(&error).body.error;
    let (status, body) = match error {
        SubmitError::Conflict {
            current, fields, ..
        } => {
            let current = Some(current);
            (
                StatusCode::CONFLICT,
                ErrorWire {
                    current,
                    fields,
                    ..ErrorWire::default()
                },
            )
        }
        SubmitError::Unknown { patch_id, .. } => {
            let unknown = Some(patch_id);
            (
                StatusCode::GATEWAY_TIMEOUT,
                ErrorWire {
                    unknown,
                    ..ErrorWire::default()
                },
            )
        }
        SubmitError::Invalid { .. }
        | SubmitError::Request { .. }
        | SubmitError::ReusedPatchId { .. } => {
            (StatusCode::UNPROCESSABLE_ENTITY, ErrorWire::default())
        }
        SubmitError::Store { .. } => (StatusCode::SERVICE_UNAVAILABLE, ErrorWire::default()),
    };
    let body = ErrorWire {
        error: text,
        ..body
    };
    ControlError { status, body }
}
