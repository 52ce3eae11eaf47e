//! An end by SIGINT or SIGTERM, which takes the processes along that the lab started.

use procfs::process::Process;
use rustix::process::{Pid, Signal, kill_process};
use std::io;
use std::process::exit;
use std::thread;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tracing::{error, info};

/// Exit code of a run that was stopped, as shells have it for SIGINT.
const STOPPED: i32 = 130;

/// Has a thread wait for the signals for as long as the lab runs.
pub fn watch_signals() {
    thread::spawn(|| match wait_for_signal() {
        Ok(()) => stop(),
        Err(cause) => error!(%cause, "cannot wait for signals"),
    });
}

fn wait_for_signal() -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread().enable_io().build()?;
    runtime.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = interrupt.recv() => Ok(()),
            _ = terminate.recv() => Ok(()),
        }
    })
}

fn stop() -> ! {
    let children = children();
    info!(sidecars = children.len(), "stopped by a signal; ends its sidecars");
    for child in children {
        if let Err(cause) = kill_process(child, Signal::KILL) {
            error!(%cause, child = child.as_raw_nonzero(), "could not end a sidecar");
        }
    }
    exit(STOPPED)
}

/// The processes that any thread of this one has started.
fn children() -> Vec<Pid> {
    let tasks = Process::myself().and_then(|process| process.tasks());
    let numbers = tasks.into_iter().flatten().flatten().filter_map(|task| task.children().ok());
    numbers.flatten().filter_map(|number| Pid::from_raw(i32::try_from(number).ok()?)).collect()
}
