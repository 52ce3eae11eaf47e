//! Serves one caller's connection from its acceptance to its end.

use super::caller_connection::CallerConnection;
use super::reply::Reply;
use crate::sidecar::caller::{ConnectionState, Persistence, RequestReader, client_disconnected};
use crate::sidecar::counters::CallerClose;
use crate::sidecar::sockets::{self, ObservedSocket};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{ReadBuf, join};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep_until, timeout};

/// The maximum time of a lingering close. If a connection were closed with unread bytes, as after an early response, it
/// would be reset, and the client could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The size of the buffer into which bytes are discarded during a lingering close.
const LINGER_BUFFER_SIZE: usize = 16 << 10;
/// The maximum number of unread bytes that hyper buffers, enough for a head and part of a body.
const READ_BUFFER_SIZE: usize = 32 << 10;

/// The action on a connection after an event.
#[derive(Debug, PartialEq, Eq)]
enum NextStep {
    /// Serving continues.
    Continue,
    /// The connection closes once it is idle.
    GracefulShutdown,
    /// The connection ends now.
    Terminate,
}

/// Serves a connection until it ends. A notification through `close` requests that it closes.
pub async fn serve(caller: CallerConnection, close: Rc<Notify>, persistence: Persistence) {
    let (stream, state) = (&caller.stream, &caller.state);
    let _ = stream.set_nodelay(true); // a failure only delays responses
    serve_requests(&caller, &close, persistence).await;
    if !state.has_peer_closed() && !state.is_closing_idle() {
        caller.begin_lingering();
        let _ = sockets::shutdown_write(stream); // sends FIN, because some clients read the response up to it
        lingering_close(stream, state, &close).await;
    }
}

async fn serve_requests(caller: &CallerConnection, close: &Notify, persistence: Persistence) {
    let (stream, state) = (&caller.stream, &*caller.state);
    let service =
        service_fn(async |request| Ok::<Reply, Infallible>(caller.serve_one(request).await));
    let memory = caller.node.borrow().process_memory().clone();
    let reader = RequestReader::new(stream.clone(), caller.state.clone(), memory);
    let writer = ObservedSocket::new(stream.clone(), caller.state.clone());
    let mut builder = http1::Builder::new();
    builder
        .keep_alive(persistence == Persistence::KeepAlive)
        .max_buf_size(READ_BUFFER_SIZE);
    let mut connection =
        pin!(builder.serve_connection(TokioIo::new(join(reader, writer)), service));
    let mut timer = pin!(sleep_until(state.first_head_deadline()));
    let mut client_disconnected = pin!(client_disconnected(stream, state));
    loop {
        let next = tokio::select! {
            // The connection is polled first, so that a request that has arrived is read before the other events are
            // handled. The connection is then no longer idle.
            biased;
            // An error means that the client closed the connection, or that the response broke off after its start was
            // written. Dropping an open request reports its client's disconnect to the node.
            _ = connection.as_mut() => NextStep::Terminate,
            () = client_disconnected.as_mut() => {
                state.peer_closed();
                NextStep::Terminate
            }
            () = close.notified() => on_close_request(caller),
            () = poll_fn(|context| poll_deadline(state, timer.as_mut(), context)) => on_deadline(caller),
        };
        match next {
            NextStep::Continue => {}
            NextStep::GracefulShutdown => connection.as_mut().graceful_shutdown(),
            NextStep::Terminate => return,
        }
    }
}

/// Polls the deadline of the connection's current state. Ready once it has passed.
fn poll_deadline(
    state: &ConnectionState,
    mut timer: Pin<&mut Sleep>,
    context: &mut Context<'_>,
) -> Poll<()> {
    let Some(deadline) = state.deadline() else {
        return Poll::Pending;
    };
    if timer.deadline() != deadline {
        timer.as_mut().reset(deadline);
    }
    timer.as_mut().poll(context)
}

/// Decides how a connection closes after a shutdown, a drain or an eviction has requested it.
fn on_close_request(caller: &CallerConnection) -> NextStep {
    let (stream, state) = (&caller.stream, &caller.state);
    let is_evicted = state.is_closing_idle();
    if is_evicted {
        caller.node.borrow().caller_closed(CallerClose::Evicted);
    }
    if state.is_receiving_head() {
        if is_evicted {
            return NextStep::Terminate;
        }
        state.set_persistence(Persistence::Close); // the request is arriving and is answered first
        return NextStep::Continue;
    }
    // The first request of a new connection may still be in transit. Bytes that have arrived but have not been read
    // belong to a request that must be answered.
    if !is_evicted && (state.is_awaiting_first_request() || sockets::has_unread(stream)) {
        state.set_persistence(Persistence::Close);
        return NextStep::Continue;
    }
    NextStep::GracefulShutdown
}

/// Decides what happens to a connection whose deadline has passed.
fn on_deadline(caller: &CallerConnection) -> NextStep {
    let state = &caller.state;
    let (reason, next) = if state.is_write_blocked() {
        (CallerClose::WriteTimeout, NextStep::Terminate)
    } else if state.is_receiving_head() {
        state.head_timed_out();
        (CallerClose::HeadTimeout, NextStep::Continue)
    } else {
        state.mark_closing_idle();
        (CallerClose::IdleTimeout, NextStep::GracefulShutdown)
    };
    caller.node.borrow().caller_closed(reason);
    next
}

/// Reads and discards until the client closes the connection, so that the client can read the response first. An
/// eviction ends this early. A graceful shutdown does not.
async fn lingering_close(stream: &TcpStream, state: &ConnectionState, close: &Notify) {
    let read_to_end = poll_fn(|context| poll_discard_all(stream, context));
    let evicted = async {
        while !state.is_closing_idle() {
            close.notified().await;
        }
    };
    tokio::select! {
        _ = timeout(LINGER_TIMEOUT, read_to_end) => {}
        () = evicted => {}
    }
}

/// Reads and discards what has arrived. Ready once the client has closed the connection. The buffer is on the stack, because
/// hundreds of connections may linger at once.
fn poll_discard_all(stream: &TcpStream, context: &mut Context<'_>) -> Poll<()> {
    let mut discarded = [0; LINGER_BUFFER_SIZE];
    loop {
        let mut discarded = ReadBuf::new(&mut discarded);
        let read = ready!(sockets::poll_read(stream, context, &mut discarded));
        if read.is_err() || discarded.filled().is_empty() {
            return Poll::Ready(());
        }
    }
}
