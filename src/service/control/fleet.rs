//! Handler for the VMs of this data centre.

use salvo::Depot;
use salvo::Response;
use salvo::Router;
use salvo::handler;

use crate::fleet::wire::VmWire;

use super::ControlError;
use super::respond;
use super::state_of;
use super::wire::VmStatusWire;
use super::wire::VmsWire;

pub(super) fn routes() -> Router {
    Router::with_path("vms").get(show)
}

#[handler]
async fn show(depot: &mut Depot, response: &mut Response) {
    respond(response, read(depot));
}

fn read(depot: &Depot) -> Result<VmsWire, ControlError> {
    let state = state_of(depot)?;
    let Some(fleet) = state.fleet.borrow().clone() else {
        return Err(ControlError::unavailable("no fleet record yet"));
    };
    let vms = fleet.vms.iter();
    let vms = vms.map(|(name, vm)| VmStatusWire {
        name: name.to_string(),
        record: VmWire::from(vm),
    });
    Ok(VmsWire {
        dc: state.settings.dc.to_string(),
        sequence: fleet.sequence,
        vms: vms.collect(),
        wave: fleet.wave.as_ref().map(Into::into),
    })
}
