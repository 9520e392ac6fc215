//! A data centre with daemons, backend servers and a platform, for tests of maintenance
//! waves and drains.

use std::thread;
use std::time::Duration;

use chicorygauge::service::unix_ms;
use serde_json::Value;
use serde_json::json;
use standin::backend::RunningBackend;
use standin::call;
use standin::call::LoadRecord;
use standin::call::LoadSettings;
use standin::call::LoadSummary;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;
use tokio::task::JoinHandle;

use super::DaemonPlan;
use super::DaemonProcess;

pub const VMS: [&str; 4] = ["vm-1", "vm-2", "vm-3", "vm-4"];
/// Duration of a reboot, in milliseconds.
pub const REBOOT_MS: u64 = 300;

pub struct TestFleet {
    pub platform: RunningPlatform,
    pub backends: Vec<RunningBackend>,
    pub plans: Vec<DaemonPlan>,
    pub daemons: Vec<DaemonProcess>,
}

impl Drop for TestFleet {
    /// Prints what a failed test does not show: the state of each process and the roster.
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for daemon in &self.daemons {
            eprintln!(
                "entry VM {}: process {}",
                daemon.name,
                daemon.process_state()
            );
        }
        eprintln!("roster: {}", self.value("entries/dc-1"));
        eprintln!("fleet record: {}", self.record());
    }
}

impl TestFleet {
    /// Starts all processes and waits until all VMs serve and every entry VM knows them.
    pub async fn start(entries: usize, maintenance: Value, budget: u32) -> Self {
        let platform = super::start_platform().await;
        let backends = super::start_backends(&platform, "dc-1", &VMS).await;
        let plans: Vec<_> = (1..=entries)
            .map(|number| DaemonPlan::new(&format!("e-{number}"), "dc-1"))
            .collect();
        let address = platform.server.address;
        let daemons = plans
            .iter()
            .map(|plan| DaemonProcess::start(plan, &plans, address));
        let fleet = Self {
            daemons: daemons.collect(),
            plans,
            backends,
            platform,
        };
        fleet.set_faults(PlatformFaults::default());
        let pools = json!({"intake": {"budget": budget, "vms": VMS}});
        fleet
            .patch(json!({"pools": pools, "maintenance": maintenance}))
            .await;
        fleet.wait_until_serving().await;
        for daemon in &fleet.daemons {
            super::eventually("entry VM knows all VMs and shares their slots", || async {
                let status = daemon.get("/v1/status").await.unwrap_or_default();
                status["vms"] == VMS.len() && status["sharing"] == entries
            })
            .await;
        }
        fleet
    }

    /// Sets the platform's faults; reboots always take [`REBOOT_MS`].
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.platform.state.set_faults(PlatformFaults {
            reboot_ms: REBOOT_MS,
            ..faults
        });
    }

    /// Submits a patch to the daemons in turn, until one accepts it.
    pub async fn patch(&self, patch: Value) {
        super::eventually("patch accepted", || async {
            let head = self.value("config/head");
            let base = head["version"].as_u64().unwrap_or(0);
            for daemon in &self.daemons {
                let answer = super::patch(daemon.control, base, patch.clone()).await;
                if answer.is_some_and(|(status, _)| status == 200) {
                    return true;
                }
            }
            false
        })
        .await;
    }

    pub async fn start_wave(&self, id: &str) {
        let started_ms = unix_ms();
        let wave = json!({"id": id, "running": true, "started_ms": started_ms});
        self.patch(json!({"wave": wave})).await;
    }

    pub fn start_load(&self, entries: &[usize], length: Duration) -> JoinHandle<LoadRecord> {
        let entries = entries.iter().map(|index| self.plans[*index].entry);
        tokio::spawn(call::run(LoadSettings {
            entries: entries.collect(),
            pool: "intake".to_owned(),
            rate: 150.0,
            length,
            service: Some(Duration::from_millis(40)),
            resends: super::MAX_RESENDS,
            ..LoadSettings::default()
        }))
    }

    /// Waits until a load ends and checks its record against those of the backend servers.
    pub async fn check_load(&self, load: JoinHandle<LoadRecord>) -> LoadSummary {
        let record = load.await.expect("load");
        let summary = call::compare(&record, &super::records(&self.backends));
        assert!(!summary.has_violations(), "{summary}");
        summary
    }

    /// Reads a stored value directly, unaffected by the platform's faults.
    pub fn value(&self, key: &str) -> Value {
        let value = self.platform.state.peek(key).unwrap_or_default();
        serde_json::from_slice(&value).unwrap_or_default()
    }

    pub fn record(&self) -> Value {
        self.value("fleet/dc-1")
    }

    pub fn state_of(&self, vm: &str) -> Value {
        self.record()["vms"][vm]["state"].clone()
    }

    /// Returns the index of the daemon that holds the controller lease.
    pub async fn controller(&self) -> usize {
        let holder = || self.platform.state.peek("controller/dc-1");
        super::eventually("controller elected", || async { holder().is_some() }).await;
        let name = String::from_utf8(holder().unwrap_or_default()).expect("name");
        let mut plans = self.plans.iter();
        plans
            .position(|plan| plan.name == name)
            .expect("known name")
    }

    pub async fn wait_until_serving(&self) {
        super::eventually("all VMs serving", || async {
            let vms = self.record()["vms"].clone();
            let vms = vms.as_object().cloned().unwrap_or_default();
            vms.len() == VMS.len() && vms.values().all(|vm| vm["state"] == "serving")
        })
        .await;
    }

    /// Waits until a backend server has begun a reboot.
    pub async fn wait_for_first_reboot(&self) {
        super::eventually("first reboot", || async { self.reboots() > 0 }).await;
    }

    pub fn reboots(&self) -> u64 {
        let records = super::records(&self.backends);
        records.iter().map(|record| record.reboots).sum()
    }

    /// Waits until the wave has ended and checks that each VM was rebooted exactly once.
    pub async fn wait_for_wave_end(&self) {
        super::eventually("wave ended", || async {
            self.record()["wave"]["ended"] == true
        })
        .await;
        self.wait_until_serving().await;
        for record in super::records(&self.backends) {
            assert_eq!(record.reboots, 1);
        }
    }

    /// Reads the audit rows of the first segment and of the outbox, oldest first.
    pub fn audit(&self) -> Vec<Value> {
        let segment = self.value("audit/dc-1/00000000");
        let mut rows = segment.as_array().cloned().unwrap_or_default();
        let last = rows
            .last()
            .map_or(0, |row| row["sequence"].as_u64().unwrap_or(0));
        let outbox = self.record()["outbox"]["rows"].clone();
        let outbox = outbox.as_array().cloned().unwrap_or_default();
        let new = outbox
            .into_iter()
            .filter(|row| row["sequence"].as_u64().unwrap_or(0) > last);
        rows.extend(new);
        rows
    }
}
