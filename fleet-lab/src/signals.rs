//! Handling of SIGINT and SIGTERM: kills the sidecars that fleet-lab has started, then ends the process.

use procfs::process::Process;
use rustix::process::{Pid, Signal, kill_process};
use std::io;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tracing::{error, info};

/// The exit code after a signal, as shells report it for SIGINT.
const SIGNAL_EXIT_CODE: i32 = 130;

/// True once a signal was received and the sidecars are being killed.
static IS_STOPPING: AtomicBool = AtomicBool::new(false);

/// Starts a thread that waits for the signals. The signals are handled as soon as this function has returned.
pub fn start_handler() {
    if let Err(cause) = catch_signals() {
        error!(%cause, "cannot install the handlers of SIGINT and SIGTERM");
    }
}

fn catch_signals() -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread().enable_io().build()?;
    let runtime_guard = runtime.enter();
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    drop(runtime_guard);
    thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                _ = interrupt.recv() => {}
                _ = terminate.recv() => {}
            }
        });
        kill_children_and_exit()
    });
    Ok(())
}

/// Blocks forever once a signal was received. An experiment that fails because its sidecars were killed has no
/// result to report.
pub fn wait_if_stopping() {
    while IS_STOPPING.load(Ordering::SeqCst) {
        thread::park();
    }
}

/// Kills the child processes, which are sidecars, and exits.
fn kill_children_and_exit() -> ! {
    IS_STOPPING.store(true, Ordering::SeqCst);
    let children = children();
    info!(
        sidecars = children.len(),
        "received a signal; killing the sidecars and exiting"
    );
    for child in children {
        if let Err(cause) = kill_process(child, Signal::KILL) {
            error!(%cause, child = child.as_raw_nonzero(), "cannot kill a sidecar");
        }
    }
    exit(SIGNAL_EXIT_CODE)
}

/// Returns the child processes of all threads of this process.
fn children() -> Vec<Pid> {
    let tasks = Process::myself().and_then(|process| process.tasks());
    let process_ids = tasks
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|task| task.children().ok());
    process_ids
        .flatten()
        .filter_map(|process_id| Pid::from_raw(i32::try_from(process_id).ok()?))
        .collect()
}
