//! Daemons that a test has stopped survive what happens to the shell that started the
//! test.

mod support;

use std::env;
use std::fs;
use std::os::unix::process::parent_id;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use support::DaemonPlan;
use support::DaemonProcess;
use tokio::time::sleep;

/// Environment variable with the folder in which the two test processes exchange files.
const FOLDER: &str = "PROCESS_GROUP_FOLDER";
/// Starts the arguments in a process group of their own, and exits once the daemon there
/// is stopped.
const SHELL_SCRIPT: &str = "set -m; \"$0\" \"$@\" & \
     until [ -e \"$PROCESS_GROUP_FOLDER/shell\" ]; do sleep 0.05; done";
/// Time for the signals of an orphaned process group to take effect.
const SIGNAL_TIME: Duration = Duration::from_millis(500);

fn write(path: &Path, text: &str) {
    let new = path.with_extension("new");
    fs::write(&new, text).expect("file");
    fs::rename(&new, path).expect("file");
}

/// The part of `daemon_group_orphaned` that runs in the process that the shell starts.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "started by daemon_group_orphaned"]
async fn daemon_stopped() {
    let folder = PathBuf::from(env::var_os(FOLDER).expect("folder"));
    let platform = support::start_platform().await;
    let plan = DaemonPlan::new("e-1", "dc-1");
    let daemon = DaemonProcess::start(&plan, &[], platform.server.address);
    support::eventually("daemon answers", || async {
        daemon.get("/v1/status").await.is_some()
    })
    .await;
    daemon.signal("STOP");
    support::eventually("daemon stopped", || async {
        daemon.process_state().starts_with('T')
    })
    .await;
    let shell = parent_id();
    write(&folder.join("shell"), "");
    support::eventually("shell gone", || async { parent_id() != shell }).await;
    sleep(SIGNAL_TIME).await;
    write(&folder.join("state"), &daemon.process_state());
}

/// A stopped daemon was ended by `SIGHUP` when the shell of a test run exited, and its
/// test then waited for it in vain.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_group_orphaned() {
    let folder = env::temp_dir().join(format!("process-group-{}", std::process::id()));
    fs::create_dir(&folder).expect("folder");
    let mut shell = Command::new("bash")
        .args(["-c", SHELL_SCRIPT])
        .arg(env::current_exe().expect("test program"))
        .args(["--ignored", "--exact", "daemon_stopped"])
        .env(FOLDER, &folder)
        .spawn()
        .expect("shell");
    let state = folder.join("state");
    support::eventually("state of the daemon", || async { state.exists() }).await;
    let state = fs::read_to_string(state).expect("state");
    shell.wait().expect("shell");
    fs::remove_dir_all(&folder).expect("folder");
    assert!(state.starts_with('T'), "{state}");
}
