//! Retries idempotent calls to the platform until a deadline.

use serde::Deserialize;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::KeyValue;
use crate::platform::MalformedSnafu;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::platform::backoff::BackoffState;

/// A client that retries idempotent calls with backoff and jitter.
#[derive(Clone, Copy, Debug)]
pub struct RetryClient<'a> {
    /// Client that makes the calls.
    pub client: &'a PlatformClient,
    /// No call is retried after this time.
    pub deadline: Instant,
}

/// The field that all versioned values have in common.
#[derive(Deserialize)]
struct VersionedWire {
    version: u64,
}

impl RetryClient<'_> {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Fails with the last error if no usable response is received before the
    /// deadline, or immediately if a retry cannot succeed.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, PlatformError> {
        let mut backoff = BackoffState::default();
        loop {
            match self.client.get(key).await {
                Ok(value) => return Ok(value),
                Err(error) => self.wait_to_retry(error, &mut backoff).await?,
            }
        }
    }

    /// Reads all keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::get`] does.
    pub async fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, PlatformError> {
        let mut backoff = BackoffState::default();
        loop {
            match self.client.list(prefix).await {
                Ok(values) => return Ok(values),
                Err(error) => self.wait_to_retry(error, &mut backoff).await?,
            }
        }
    }

    /// Writes a versioned value unless the key already has this or a later version.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::get`] does, or if the stored value has no version.
    pub async fn put_newer(
        &self,
        key: &str,
        version: u64,
        value: &[u8],
    ) -> Result<(), PlatformError> {
        let mut backoff = BackoffState::default();
        loop {
            let stored = self.get(key).await?;
            let revision = stored.as_ref().map_or(0, |stored| stored.revision);
            if let Some(stored) = stored
                && self.version_of(&stored)? >= version
            {
                return Ok(());
            }
            let written = self.client.compare_and_swap(key, revision, value.to_vec());
            match written.await {
                Ok(true) => return Ok(()),
                // Another writer changed the key; the next iteration reads its value.
                Ok(false) => {}
                Err(error) => self.wait_to_retry(error, &mut backoff).await?,
            }
        }
    }

    /// Waits before a retry, or returns `error` if there is no time left for one.
    ///
    /// # Errors
    ///
    /// Fails if the deadline would pass, or if the error is permanent.
    pub async fn wait_to_retry(
        &self,
        error: PlatformError,
        backoff: &mut BackoffState,
    ) -> Result<(), PlatformError> {
        let pause = backoff.next_pause(rand::random());
        if error.is_permanent() || Instant::now() + pause >= self.deadline {
            return Err(error);
        }
        sleep(pause).await;
        Ok(())
    }

    fn version_of(&self, stored: &KeyValue) -> Result<u64, PlatformError> {
        let wire: Result<VersionedWire, _> = serde_json::from_slice(&stored.value);
        let wire = wire.map_err(|error| {
            let problem = format!("key={}: {error}", stored.key);
            let peer = self.client.address();
            let step = "number";
            MalformedSnafu {
                step,
                peer,
                problem,
            }
            .build()
        })?;
        Ok(wire.version)
    }
}
