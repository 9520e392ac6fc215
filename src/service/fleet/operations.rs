//! Operations on VMs at the platform, and probes of VMs.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::names::OperationId;
use crate::names::VmName;
use crate::platform::OperationKind;
use crate::platform::OperationState;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Starts an operation, or queries its state if it has started. Returns none if the
/// platform rejects it, for example because it does not know the VM.
pub(super) async fn operate(
    client: &PlatformClient,
    vm: &VmName,
    operation: &OperationId,
    kind: OperationKind,
) -> Result<Option<OperationState>, PlatformError> {
    match client.operate(vm, operation, kind).await {
        Ok(state) => Ok(Some(state)),
        Err(error @ PlatformError::Refused { .. }) => {
            log::warn!(event = "operation_refused", vm:% = vm, operation:% = operation, error:% = error; "");
            Ok(None)
        }
        Err(error) => Err(error),
    }
}

/// Probes VMs in parallel, each by a TCP connection that must open within `limit`.
pub(super) async fn probe_all(
    vms: Vec<(VmName, SocketAddr)>,
    limit: Duration,
) -> Vec<(VmName, bool)> {
    let mut probes = JoinSet::new();
    for (vm, address) in vms {
        probes.spawn(async move {
            let connected = timeout(limit, TcpStream::connect(address)).await;
            (vm, matches!(connected, Ok(Ok(_))))
        });
    }
    probes.join_all().await
}
