//! Configuration of queues, pools and request limits, as decoded from the platform.

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::account::AccountConfig;

/// Response times and ticket validity of a queue's advice service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceTiming {
    /// Base response time of a request, in milliseconds.
    pub call_ms: u64,
    /// Additional response time for each worker in the request, in milliseconds.
    pub worker_ms: u64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: u64,
}

/// A queue: where it receives jobs and how their tasks are run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueueConfig {
    /// Unique name.
    pub name: String,
    /// Host name in the requests of callers, without a port.
    pub host: String,
    /// Path prefix of the queue's requests.
    pub prefix: String,
    /// Pool that runs the tasks.
    pub pool: String,
    /// Priority; tasks of queues with lower values are placed first.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails; 0 counts as 1.
    pub attempts: u32,
    /// Factor of a job's critical path in its objective; values below 1 count as 1.
    pub slack: f64,
    /// Constant part of a job's objective, in milliseconds.
    pub target_ms: u64,
    /// Advice service that must allow each placement; none if no advice is needed.
    pub advice: Option<AdviceTiming>,
    /// Whether calls need no API key. Not part of the encoding, which entry VMs of earlier
    /// versions read too; see [`AccountExtension`].
    #[serde(skip)]
    pub anonymous: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PoolConfig {
    /// Unique name.
    pub name: String,
    /// Whether workers refuse runs that exceed their free capacity.
    pub guarded: bool,
    /// Whether it is the standby pool, whose VMs are powered off until they are moved to
    /// another pool.
    pub standby: bool,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobConfig {
    /// Version; only a higher one replaces the current configuration.
    pub version: u64,
    /// All queues.
    pub queues: Vec<QueueConfig>,
    /// All pools, including the standby pool.
    pub pools: Vec<PoolConfig>,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the header of a request, in milliseconds; 0 for the default.
    pub head_ms: u64,
    /// Idle timeout of a connection, in milliseconds; 0 for the default.
    pub idle_ms: u64,
    /// Maximum size of the header of a request, in bytes; 0 for the default. Not part of the
    /// encoding, like [`QueueConfig::anonymous`].
    #[serde(skip)]
    pub head_bytes: usize,
    /// Client accounts; none if calls need no API keys. Not part of the encoding, like
    /// [`QueueConfig::anonymous`].
    #[serde(skip)]
    pub accounts: Option<Vec<AccountConfig>>,
}

/// The part of a configuration about client accounts, which is encoded after the rest.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountExtension {
    /// Client accounts; none if calls need no API keys.
    pub accounts: Option<Vec<AccountConfig>>,
    /// Names of the queues whose calls need no API key.
    pub anonymous_queues: Vec<String>,
}

impl From<&JobConfig> for AccountExtension {
    fn from(config: &JobConfig) -> Self {
        let anonymous = config.queues.iter().filter(|queue| queue.anonymous);
        Self {
            accounts: config.accounts.clone(),
            anonymous_queues: anonymous.map(|queue| queue.name.clone()).collect(),
        }
    }
}

impl JobConfig {
    /// Finds the queue of a request, that of the host with the longest matching path
    /// prefix, and returns it with the rest of the path.
    #[must_use]
    pub fn find_queue<'a, 'p>(
        &'a self,
        host: &str,
        path: &'p str,
    ) -> Option<(&'a QueueConfig, &'p str)> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self.queues.iter().filter(|queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
        });
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// Adds the part about client accounts, which was decoded apart.
    #[must_use]
    pub fn with_accounts(mut self, extension: AccountExtension) -> Self {
        for queue in &mut self.queues {
            queue.anonymous = extension.anonymous_queues.contains(&queue.name);
        }
        self.accounts = extension.accounts;
        self
    }

    /// Finds an account by name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&AccountConfig> {
        let mut accounts = self.accounts.iter().flatten();
        accounts.find(|account| account.name == name)
    }

    /// Finds a queue by name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&QueueConfig> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Finds a pool by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&PoolConfig> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
