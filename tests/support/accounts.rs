//! Accounts in the simulation of [`World`].

use std::collections::BTreeSet;
use std::sync::Arc;

use chicorygauge::jobs::account::AccountConfig;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::types::ResourceVector;

use crate::world::World;

impl World {
    /// Queries a job on behalf of an account.
    pub fn query_as(&mut self, id: &str, queue: &str, account: Option<&str>, waiter: u64) {
        let scope = self.engine.caller_scope(queue, account.map(Into::into));
        self.engine.query(&id.into(), &scope, waiter);
        self.step();
    }

    /// Puts a configuration in force, changed by `change`.
    pub fn reconfigure(&mut self, change: impl FnOnce(&mut JobConfig)) {
        let mut config = JobConfig::clone(&self.engine.config);
        config.version += 1;
        change(&mut config);
        self.engine.set_config(Arc::new(config));
        self.step();
    }

    /// Configures accounts with these CPU limits in millicores, 0 for none, and no others.
    pub fn set_accounts(&mut self, limits: &[(&str, u64)]) {
        let account = |(name, cpu): &(&str, u64)| AccountConfig {
            name: (*name).to_owned(),
            weight: 1.0,
            limit: ResourceVector {
                cpu: *cpu,
                ..ResourceVector::default()
            },
            ..AccountConfig::default()
        };
        let now = self.now;
        let configured = |name: &str| limits.iter().any(|(own, _)| *own == name);
        let known: BTreeSet<String> = self.accounts.values().cloned().collect();
        let removed = known.into_iter().filter(|name| !configured(name));
        let removed = removed.map(|name| (now, name, 0));
        let rows = limits
            .iter()
            .map(|(name, cpu)| (now, (*name).to_owned(), *cpu));
        let rows: Vec<_> = removed.chain(rows).collect();
        self.limits.extend(rows);
        let accounts: Vec<AccountConfig> = limits.iter().map(account).collect();
        self.reconfigure(|config| config.accounts = Some(accounts));
    }

    /// Makes the runs in progress at the workers take `factor` times as long.
    pub fn slow_down(&mut self, factor: u64) {
        for worker in self.workers.values_mut() {
            for run in worker.runs.values_mut() {
                run.work_ms *= factor;
            }
        }
    }
}
