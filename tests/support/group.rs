//! The process group of the daemons that a test process starts.
//!
//! The daemons are not in the group of the test process. If the parent of that group
//! exits, for example the shell that started the tests in the background, the group is
//! orphaned, and a process in it that is stopped at that moment is sent `SIGHUP`, which
//! ends it. The parent of this group is the test process itself.

use std::os::unix::process::CommandExt;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::OnceLock;

/// Kills the group when the test process ends, however it ends: that closes the pipe.
const LEADER_SCRIPT: &str = "read -r _; kill -KILL 0";

/// Returns the identifier of the group; the first call starts its leader.
pub fn daemon_group() -> i32 {
    static LEADER: OnceLock<Child> = OnceLock::new();
    let leader = LEADER.get_or_init(|| {
        let mut command = Command::new("sh");
        command.args(["-c", LEADER_SCRIPT]).process_group(0);
        let leader = command.stdin(Stdio::piped()).spawn();
        leader.expect("leader of the process group")
    });
    i32::try_from(leader.id()).expect("process identifier")
}
