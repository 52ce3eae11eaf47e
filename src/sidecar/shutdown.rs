//! Serving until SIGTERM, and the graceful shutdown after it.
//!
//! A shutdown has three steps:
//!
//! 1. Connections are served as before, while the front end, which sends callers to the sidecars that are ready, stops
//!    sending new ones.
//! 2. Idle connections close, and new connections are still accepted.
//! 3. The listener closes, and all requests on accepted connections are answered. The process ends once every
//!    connection has closed. Each connection has limits of its own. There is none for all of them together, because it
//!    would cut off answers that are still being streamed; the platform decides how long they may take.

use super::node::NodeHandle;
use super::report;
use super::server;
use crate::task::Task;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::time::{Instant, timeout, timeout_at};

/// The time for which new connections are accepted after idle ones have closed. Connections may arrive for up to 0.4 s
/// after SIGTERM.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// The maximum time for requests that arrive during a shutdown. The process may be killed 0.7 s after the longest
/// deadline.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(3);
/// The fraction of the request time for which callers keep their connections. Another sidecar may be down at the same
/// time, and callers could then not connect elsewhere.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// The time after the longest deadline at which connections that are still open are logged, before the process may be
/// killed.
const OPEN_CONNECTIONS_LOG_DELAY: Duration = Duration::from_millis(400);

/// Serves callers until SIGTERM, then shuts down. `listener_offer` is the task that offers the listening socket to new
/// processes.
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
    let log_open_at = Instant::now() + max_deadline + OPEN_CONNECTIONS_LOG_DELAY;
    report::write(node);
    node.borrow().begin_shutdown(request_time);
    node.announce_shutdown();
    accept_for(node, &listener, request_time.mul_f64(KEEP_ALIVE_FRACTION)).await;
    node.borrow().callers_mut().begin_shutdown();
    accept_for(node, &listener, FINAL_ACCEPT_TIME).await;
    close_listener(node, listener, &mut listener_offer).await;
    node.borrow().callers_mut().begin_shutdown(); // for connections accepted since
    if timeout_at(log_open_at, all_closed(node)).await.is_err() {
        log_open_connections(node);
        all_closed(node).await;
    }
}

/// Logs how many connections the process still waits for.
fn log_open_connections(node: &NodeHandle) {
    let node = node.borrow();
    let callers = node.callers();
    log!(
        "shutdown: {open} connections are still open after the longest deadline, {streaming} of them with a streamed \
         answer; the process ends when they close",
        open = callers.len(),
        streaming = callers.streaming(),
    );
}

/// Accepts connections for the given time.
async fn accept_for(node: &NodeHandle, listener: &TcpListener, time: Duration) {
    // Accepting never ends by itself, so this always times out.
    let _ = timeout(time, server::accept(node.clone(), listener)).await;
}

/// Closes this process's listening socket, after accepting the connections in its backlog unless another process
/// accepts them. If there is a new process, the offer continues, because that process may end before this one does.
async fn close_listener(
    node: &NodeHandle,
    listener: TcpListener,
    listener_offer: &mut Option<Task>,
) {
    // Without a new process, the descriptor of the offer would keep the socket open, and callers would wait in its
    // backlog.
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

/// Waits until all callers' connections have closed.
async fn all_closed(node: &NodeHandle) {
    let closed = node.borrow().callers().all_closed();
    while !node.borrow().callers().is_empty() {
        closed.notified().await;
    }
}
