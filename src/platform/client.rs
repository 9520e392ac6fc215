//! HTTP client of the platform's key-value service, VM list and VM operations.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::OptionExt;
use snafu::ResultExt;

use crate::http::CallRequest;
use crate::http::CallResponse;
use crate::http::call;
use crate::metrics::PLATFORM_CALLS;
use crate::names::DcName;
use crate::names::OperationId;
use crate::names::VmName;
use crate::platform::KeyValue;
use crate::platform::ListedVm;
use crate::platform::MalformedSnafu;
use crate::platform::NoResponseSnafu;
use crate::platform::OperationKind;
use crate::platform::OperationState;
use crate::platform::PlatformError;
use crate::platform::RefusedSnafu;
use crate::platform::wire::INDEX_HEADER;
use crate::platform::wire::ListedVmWire;
use crate::platform::wire::OperationStateWire;
use crate::platform::wire::OperationWire;
use crate::platform::wire::SessionIdWire;
use crate::platform::wire::SessionWire;
use crate::platform::wire::ValueWire;

const JSON: &str = "application/json";

/// Address of the platform and timeouts of calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the platform's HTTP interface.
    pub address: SocketAddr,
    /// Timeout of a call; a watch may take `watch_wait` longer.
    pub call_limit: Duration,
    /// Time that a watch waits for a change.
    pub watch_wait: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 8500)),
            call_limit: Duration::from_secs(2),
            watch_wait: Duration::from_secs(5),
        }
    }
}

/// Client of the platform; makes each call once, without retries.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    settings: PlatformSettings,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchResponse {
    /// The value, if the key exists.
    pub value: Option<KeyValue>,
    /// Revision from which the next watch continues.
    pub index: u64,
}

impl PlatformClient {
    /// Returns a client; nothing is sent until the first call.
    #[must_use]
    pub fn new(settings: PlatformSettings) -> Self {
        Self { settings }
    }

    /// Returns the address of the platform.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.settings.address
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails if no usable response is received.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, PlatformError> {
        let path = format!("/v1/kv/{key}");
        Ok(self
            .read_values("get", &path, self.settings.call_limit)
            .await?
            .0
            .pop())
    }

    /// Reads all keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if no usable response is received.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, PlatformError> {
        let path = format!("/v1/kv/{prefix}?recurse");
        Ok(self
            .read_values("list", &path, self.settings.call_limit)
            .await?
            .0)
    }

    /// Reads a key once it has changed after revision `index`, or after the watch's wait
    /// without a change.
    ///
    /// # Errors
    ///
    /// Fails if no usable response is received.
    pub async fn watch(&self, key: &str, index: u64) -> Result<WatchResponse, PlatformError> {
        let wait = self.settings.watch_wait;
        let path = format!("/v1/kv/{key}?index={index}&wait={}ms", wait.as_millis());
        let limit = wait + self.settings.call_limit;
        let (mut values, index) = self.read_values("watch", &path, limit).await?;
        Ok(WatchResponse {
            value: values.pop(),
            index,
        })
    }

    /// Writes a key if its revision is still `revision`; 0 creates the key. Returns
    /// false if the revision has changed.
    ///
    /// # Errors
    ///
    /// Fails if no usable response is received; unless the error is
    /// [permanent](PlatformError::is_permanent), the write may have taken effect.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        revision: u64,
        value: Vec<u8>,
    ) -> Result<bool, PlatformError> {
        let path = format!("/v1/kv/{key}?cas={revision}");
        self.send_conditional("cas", Method::PUT, &path, value)
            .await
    }

    /// Deletes a key if its revision is still `revision`; returns false if it has
    /// changed.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::compare_and_swap`] does.
    pub async fn compare_and_delete(
        &self,
        key: &str,
        revision: u64,
    ) -> Result<bool, PlatformError> {
        let path = format!("/v1/kv/{key}?cas={revision}");
        self.send_conditional("delete", Method::DELETE, &path, Vec::new())
            .await
    }

    /// Creates a lease that expires unless it is renewed within `ttl`; returns its
    /// identifier.
    ///
    /// # Errors
    ///
    /// Fails if no usable response is received.
    pub async fn create_lease(&self, name: &str, ttl: Duration) -> Result<String, PlatformError> {
        let session = SessionWire {
            name: name.to_owned(),
            ttl: format!("{}ms", ttl.as_millis()),
            behavior: "delete".to_owned(),
            lock_delay: "0s".to_owned(),
        };
        let body = encode(&session);
        let step = "lease_create";
        let response = self.put(step, "/v1/session/create", body).await?;
        let id: SessionIdWire = self.decode(step, &response.body)?;
        Ok(id.id)
    }

    /// Renews a lease; returns false if it has expired.
    ///
    /// # Errors
    ///
    /// Fails if no usable response is received.
    pub async fn renew_lease(&self, lease: &str) -> Result<bool, PlatformError> {
        let path = format!("/v1/session/renew/{lease}");
        match self.put("lease_renew", &path, Vec::new()).await {
            Ok(_) => Ok(true),
            Err(PlatformError::Refused { status: 404, .. }) => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Ends a lease.
    ///
    /// # Errors
    ///
    /// Fails if no usable response is received.
    pub async fn destroy_lease(&self, lease: &str) -> Result<(), PlatformError> {
        let path = format!("/v1/session/destroy/{lease}");
        self.put("lease_destroy", &path, Vec::new()).await.map(drop)
    }

    /// Writes a key and locks it for a lease; returns false if another lease holds it.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::compare_and_swap`] does.
    pub async fn acquire(
        &self,
        key: &str,
        lease: &str,
        value: Vec<u8>,
    ) -> Result<bool, PlatformError> {
        let path = format!("/v1/kv/{key}?acquire={lease}");
        self.send_conditional("acquire", Method::PUT, &path, value)
            .await
    }

    /// Reads the list of VMs of a data centre; the list may be out of date.
    ///
    /// # Errors
    ///
    /// Fails if no usable response is received.
    pub async fn list_vms(&self, dc: &DcName) -> Result<Vec<ListedVm>, PlatformError> {
        let step = "list_vms";
        let path = format!("/v1/vms?dc={dc}");
        let request = CallRequest {
            path: &path,
            limit: self.settings.call_limit,
            ..CallRequest::default()
        };
        let response = self.send(step, request).await?;
        let listed: Vec<ListedVmWire> = self.decode(step, &response.body)?;
        let listed = listed.into_iter().map(TryInto::try_into);
        let listed = listed.collect::<Result<_, _>>();
        listed.map_err(|error| self.malformed(step, &error))
    }

    /// Starts an operation on a VM, or returns its state if it was started before.
    /// Idempotent for the same operation identifier.
    ///
    /// # Errors
    ///
    /// Fails if no usable response is received; the operation may have started.
    pub async fn operate(
        &self,
        vm: &VmName,
        operation: &OperationId,
        kind: OperationKind,
    ) -> Result<OperationState, PlatformError> {
        let step = "operate";
        let path = format!("/v1/vms/{vm}/operations/{operation}");
        let body = encode(&OperationWire {
            kind: kind.as_str().to_owned(),
        });
        let response = self.put(step, &path, body).await?;
        let state: OperationStateWire = self.decode(step, &response.body)?;
        Ok(state.state.into())
    }

    async fn read_values(
        &self,
        step: &'static str,
        path: &str,
        limit: Duration,
    ) -> Result<(Vec<KeyValue>, u64), PlatformError> {
        let request = CallRequest {
            path,
            limit,
            ..CallRequest::default()
        };
        let response = self.call(step, request).await?;
        let index = response.headers.get(INDEX_HEADER);
        let index = index.and_then(|index| index.to_str().ok()?.parse().ok());
        if response.status == StatusCode::NOT_FOUND {
            return Ok((Vec::new(), index.unwrap_or(0)));
        }
        self.check_status(step, &response)?;
        let index = index.context(MalformedSnafu {
            step,
            peer: self.settings.address,
            problem: "no index",
        })?;
        let values: Vec<ValueWire> = self.decode(step, &response.body)?;
        let values = values.into_iter().map(TryInto::try_into);
        let values = values.collect::<Result<_, _>>();
        Ok((values.map_err(|error| self.malformed(step, &error))?, index))
    }

    async fn send_conditional(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<bool, PlatformError> {
        let request = CallRequest {
            method,
            path,
            body: Bytes::from(body),
            limit: self.settings.call_limit,
            ..CallRequest::default()
        };
        let response = self.send(step, request).await?;
        self.decode(step, &response.body)
    }

    async fn put(
        &self,
        step: &'static str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<CallResponse, PlatformError> {
        let request = CallRequest {
            method: Method::PUT,
            path,
            content_type: JSON,
            body: Bytes::from(body),
            limit: self.settings.call_limit,
            ..CallRequest::default()
        };
        self.send(step, request).await
    }

    async fn send(
        &self,
        step: &'static str,
        request: CallRequest<'_>,
    ) -> Result<CallResponse, PlatformError> {
        let response = self.call(step, request).await?;
        self.check_status(step, &response)?;
        Ok(response)
    }

    /// Makes one call and counts it by step and result.
    async fn call(
        &self,
        step: &'static str,
        request: CallRequest<'_>,
    ) -> Result<CallResponse, PlatformError> {
        let response = call(self.settings.address, request).await;
        let result = match &response {
            Ok(response) if response.status.is_server_error() => "refused",
            Ok(_) => "answered",
            Err(_) => "no_answer",
        };
        metrics::counter!(PLATFORM_CALLS, "step" => step, "result" => result).increment(1);
        response.context(NoResponseSnafu { step })
    }

    fn check_status(
        &self,
        step: &'static str,
        response: &CallResponse,
    ) -> Result<(), PlatformError> {
        if response.status.is_success() {
            return Ok(());
        }
        RefusedSnafu {
            step,
            peer: self.settings.address,
            status: response.status.as_u16(),
        }
        .fail()
    }

    fn decode<T: DeserializeOwned>(
        &self,
        step: &'static str,
        body: &[u8],
    ) -> Result<T, PlatformError> {
        serde_json::from_slice(body).map_err(|error| self.malformed(step, &error))
    }

    fn malformed(&self, step: &'static str, error: &dyn std::error::Error) -> PlatformError {
        PlatformError::Malformed {
            step,
            peer: self.settings.address,
            problem: error.to_string(),
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialization cannot fail: the wire types contain only strings, numbers and lists.
    serde_json::to_vec(value).unwrap_or_default()
}
