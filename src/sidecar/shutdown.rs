//! Serving until SIGTERM, and the graceful shutdown after it.
//!
//! A shutdown goes through three steps: callers go on as before, but are no longer sent here; then idle connections
//! close, while new ones still arrive; at last everything that was accepted is answered.

use super::node::NodeHandle;
use super::report;
use super::server;
use crate::task::Task;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::time::{Instant, timeout, timeout_at};

/// How long new connections are accepted after idle ones have closed: they arrive for up to 0.4 s after SIGTERM.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// The longest request deadline that a shutdown allows for. The process may be killed 0.7 s after the longest deadline.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(3);
/// The fraction of the request time in which callers keep their connections: another sidecar may be down at the same
/// time, so that they have nowhere else to go.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// How long after the longest deadline the process ends at the latest, ahead of the kill.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Serves callers until SIGTERM, and then shuts down. The listening socket is offered to a new process all the time.
pub async fn serve_until_shutdown(
    node: &NodeHandle,
    listener: TcpListener,
    mut listener_offer: Option<Task>,
    terminate: &mut Signal,
) {
    tokio::select! {
        () = server::accept(node.clone(), &listener) => {}
        _ = terminate.recv() => {}
    }
    let max_deadline = max_deadline(node);
    let request_time = max_deadline.min(MAX_REQUEST_TIME);
    let exit_at = Instant::now() + max_deadline + EXIT_MARGIN;
    report::write(node);
    node.borrow().begin_shutdown(request_time);
    node.announce_shutdown();
    accept_for(node, &listener, request_time.mul_f64(KEEP_ALIVE_FRACTION)).await;
    node.borrow().callers_mut().begin_shutdown();
    accept_for(node, &listener, FINAL_ACCEPT_TIME).await;
    close_listener(node, listener, &mut listener_offer).await;
    node.borrow().callers_mut().begin_shutdown(); // for connections accepted since
    if timeout_at(exit_at, all_closed(node)).await.is_err() {
        log!("shutdown: connections were still open at its deadline");
    }
}

/// Accepts connections for a time.
async fn accept_for(node: &NodeHandle, listener: &TcpListener, time: Duration) {
    // Accepting never ends by itself, so that this always times out.
    let _ = timeout(time, server::accept(node.clone(), listener)).await;
}

/// Closes this process's listening socket, and accepts what waits in its backlog unless another process does. While
/// there is a new process, the offer goes on: that one may end before this one does.
async fn close_listener(
    node: &NodeHandle,
    listener: TcpListener,
    listener_offer: &mut Option<Task>,
) {
    // Without a new process the descriptor on offer would keep the socket open, and callers waiting in its backlog.
    let has_new_process = node.borrow().has_new_process();
    if let Some(offer) = listener_offer.take_if(|_| !has_new_process) {
        offer.stop().await;
    }
    if node.borrow().callers().are_accepted_elsewhere() {
        return;
    }
    if let Ok(listener) = listener.into_std() {
        server::accept_backlog(node, listener);
    }
}

/// Returns the longest deadline of a request class.
fn max_deadline(node: &NodeHandle) -> Duration {
    let node = node.borrow();
    let classes = &node.configuration().settings().classes;
    let deadlines = classes.iter().map(|class| class.deadline);
    deadlines.max().unwrap_or_default()
}

/// Waits until the last connection of a caller has closed.
async fn all_closed(node: &NodeHandle) {
    let closed = node.borrow().callers().all_closed();
    while !node.borrow().callers().is_empty() {
        closed.notified().await;
    }
}
