//! Handlers for audit rows and for the report that [`crate::report`] builds.

use salvo::Depot;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::handler;

use crate::report;
use crate::report::ReportSpan;
use crate::report::wire::ReportWire;
use crate::service::evidence;
use crate::service::unix_ms;

use super::ControlError;
use super::acquire_permit;
use super::query_number;
use super::respond;
use super::state_of;
use super::wire::AuditListWire;

/// Length of the time range if the request gives no start, in milliseconds.
const DEFAULT_SPAN_MS: u64 = 24 * 3600 * 1000;

pub(super) fn routes() -> Router {
    Router::new()
        .push(Router::with_path("audit").get(show_audit))
        .push(Router::with_path("report").get(show_report))
}

#[handler]
async fn show_audit(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    respond(response, read_audit(request, depot).await);
}

async fn read_audit(request: &Request, depot: &Depot) -> Result<AuditListWire, ControlError> {
    let state = state_of(depot)?;
    let span = read_span(request)?;
    let _permit = acquire_permit(&state.reports).await?;
    let trails = evidence::read_trails(state.platform_client()).await;
    let trails = trails.map_err(ControlError::unavailable)?;
    Ok(AuditListWire::new(&trails, span))
}

#[handler]
async fn show_report(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    respond(response, make_report(request, depot).await);
}

async fn make_report(request: &Request, depot: &Depot) -> Result<ReportWire, ControlError> {
    let state = state_of(depot)?;
    let span = read_span(request)?;
    let _permit = acquire_permit(&state.reports).await?;
    let evidence = evidence::read(state.platform_client(), span).await;
    let evidence = evidence.map_err(ControlError::unavailable)?;
    Ok((&report::build(&evidence, span)).into())
}

fn read_span(request: &Request) -> Result<ReportSpan, ControlError> {
    let now_ms = unix_ms();
    let to_ms = query_number(request, "to", now_ms)?;
    let from_ms = query_number(request, "from", to_ms.saturating_sub(DEFAULT_SPAN_MS))?;
    if from_ms >= to_ms {
        return Err(ControlError::bad_request("the span ends before it starts"));
    }
    Ok(ReportSpan { from_ms, to_ms })
}
