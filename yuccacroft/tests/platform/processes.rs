//! Processes that tests start while they also bind and release fixed addresses.
//!
//! A new process has copies of all sockets of the test process until it runs its program. A closed
//! socket keeps its address for as long as such a copy exists.

use std::{
    io::{self, Read},
    process::{Child, Command, ExitStatus},
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Locked while a process has copies of the sockets of the test process.
static STARTING: Mutex<()> = Mutex::new(());

/// Replaces its standard input, which is the write end of a pipe, and then itself by a program. The
/// end of the pipe shows that the shell runs and the copies of sockets are closed. The return of
/// [`Command::spawn`] does not show it: the system resumes the caller before it closes them.
const START_SCRIPT: &str = r#"exec "$0" "$@" </dev/null"#;

/// Starts a program without standard input. `configure` adds arguments, variables and outputs. The
/// process has no copies of sockets when this returns.
pub fn spawn(program: &str, configure: impl FnOnce(&mut Command)) -> Child {
    let (mut reader, writer) = io::pipe().unwrap();
    let mut command = Command::new("sh");
    command.args(["-c", START_SCRIPT, program]).stdin(writer);
    configure(&mut command);
    let _starting = lock();
    let child = command.spawn().unwrap();
    // The command holds a write end of the pipe.
    drop(command);
    reader.read_to_end(&mut Vec::new()).unwrap();
    child
}

/// Runs a command until it exits.
pub fn run(command: &mut Command) -> ExitStatus {
    let _starting = lock();
    command.status().unwrap()
}

/// Waits until no process has copies of sockets that were closed before the call, so that their
/// addresses are free.
pub fn wait_for_starts() {
    drop(lock());
}

fn lock() -> MutexGuard<'static, ()> {
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}
