//! The sidecar: one program that balances its callers' requests over endpoints, as the decision module says.

/// Writes a line of the log, at once and whole. One that nobody reads any more is no reason to stop.
macro_rules! log {
    ($($text:tt)*) => {{
        let line = format!("rowanway: {}\n", format_args!($($text)*));
        let _ = std::io::Write::write_all(&mut std::io::stderr(), line.as_bytes());
    }};
}

mod admin;
mod bodies;
mod config;
mod counters;
mod descriptors;
mod dial;
mod endpoints;
mod inbound;
mod node;
mod server;
mod sockets;
mod upgrade;

use config::Config;
use node::{Handle, Task};
use std::os::fd::AsFd;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, timeout, timeout_at};
use upgrade::{Folder, Word};

/// New connections go on coming for up to 0.4 s after the word to stop.
const STILL_COMING: Duration = Duration::from_millis(600);
/// A sidecar may be killed 0.7 s after the longest deadline, of which no more than this counts.
const COUNTED: Duration = Duration::from_secs(3);
/// Part of that in which callers keep their connections: another sidecar may be down just then, and they have
/// nowhere else to go.
const KEPT_PART: f64 = 0.7;
/// The sidecar is gone this long after the longest deadline, as it may be killed 0.7 s after it.
const LAST_MOMENT: Duration = Duration::from_millis(400);

fn main() -> ExitCode {
    // Its scheduler polls local tasks itself. A `LocalSet` on top of it is woken through the event descriptor.
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    let end = runtime.map_err(|e| format!("the runtime: {e}")).and_then(|runtime| runtime.block_on(run()));
    match end {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            log!("{problem}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    // Heard from the first moment on: not yet caught, either would end the process on the spot.
    let mut stop = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let config = Config::from_environment()?;
    let (name, listen, admin) = (config.name.clone(), config.listen, config.admin);
    let admin = match admin {
        Some(address) => Some(admin::listen(address).await?),
        None => None,
    };
    // Only one that is run day by day is replaced while it serves.
    let folder = admin.as_ref().and_then(|_| Folder::from_environment());
    let folder = folder.map(Rc::new);
    let before = folder.as_deref().and_then(upgrade::ask);
    let failed = |e| format!("{listen}: {e}");
    let listener = upgrade::listen(listen, admin.is_some(), before.as_ref()).map_err(failed)?;
    let listen = listener.local_addr().map_err(failed)?;
    let node =
        Handle::start(config, folder.clone(), before.is_some()).map_err(|e| format!("settings: {e}"))?;
    let _reloads = Task::spawn(reload_on(node.clone(), reload));
    let _calls = admin.map(|listener| {
        match listener.local_addr() {
            Ok(address) => log!("{name} is called at {address}"),
            Err(failure) => log!("{name} is called at an address unknown: {failure}"),
        }
        Task::spawn(admin::serve(node.clone(), listener))
    });
    log!("{name} listens on {listen}");
    if let Some(before) = before {
        let taken = tokio::select! {
            taken = upgrade::take_over(&node, before) => taken,
            _ = stop.recv() => {
                log!("{name} stops before it has taken over");
                return Ok(());
            }
        };
        taken.map_err(|e| format!("the process before: {e}"))?;
        log!("{name} takes over from the process before");
    }
    let offer = match folder.map(|folder| Ok((folder, listener.as_fd().try_clone_to_owned()?))).transpose() {
        Ok(offer) => offer.map(|(folder, fd)| Task::spawn(upgrade::offer(node.clone(), folder, fd.into()))),
        Err(failure) => return Err(failed(failure)),
    };
    serve(&node, listener, offer, &mut stop).await;
    counters::tell(&node);
    log!("{name} has stopped");
    Ok(())
}

/// Reads the configuration again at each SIGHUP, also while the sidecar stops: discovery may move then too. What
/// is wrong with it is one line of the log, and all stays as it was.
async fn reload_on(node: Handle, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        if let Err(problem) = Config::from_environment().and_then(|config| node.reload(config)) {
            node.borrow().figures.reload_errors += 1;
            log!("the configuration stays as it was: {problem}");
        }
    }
}

/// Serves until SIGTERM, for a while longer on the connections that callers have, and then until all that was taken
/// is answered. The listening socket is on offer to the next process for as long.
async fn serve(node: &Handle, listener: TcpListener, mut offer: Option<Task>, stop: &mut Signal) {
    tokio::select! {
        () = server::accept(node.clone(), &listener) => {}
        _ = stop.recv() => {}
    }
    let longest = node.borrow().terms.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let end = Instant::now() + longest + LAST_MOMENT;
    let counted = longest.min(COUNTED);
    counters::tell(node);
    node.borrow().leave(counted);
    node.borrow().twins.tell(&Word::Stopping, None);
    let _ = timeout(counted.mul_f64(KEPT_PART), server::accept(node.clone(), &listener)).await;
    node.borrow().callers.stop();
    // It never ends by itself, so this only ever times out.
    let _ = timeout(STILL_COMING, server::accept(node.clone(), &listener)).await;
    // With nobody to take it, the part of it on offer would keep it open, and callers waiting there.
    let nobody_has_it = !node.borrow().twins.has_one_after();
    if let Some(offer) = offer.take_if(|_| nobody_has_it) {
        offer.end().await;
    }
    let is_last = !node.borrow().callers.are_let_in_elsewhere();
    if let Some(listener) = listener.into_std().ok().filter(|_| is_last) {
        server::accept_last(node, listener);
    }
    let gone = {
        let mut node = node.borrow();
        node.callers.stop(); // also those that have come since
        node.callers.gone()
    };
    let all_gone = async {
        while !node.borrow().callers.are_gone() {
            gone.notified().await;
        }
    };
    if timeout_at(end, all_gone).await.is_err() {
        log!("some connections were still open at the last moment");
    }
}
