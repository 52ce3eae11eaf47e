//! Serves one caller's connection from its acceptance to its close.

use super::caller_connection::CallerConnection;
use super::reply::Reply;
use crate::sidecar::caller::{ConnectionState, Persistence, RequestReader, client_disconnected};
use crate::sidecar::sockets::{self, ObservedSocket};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{ReadBuf, join};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep_until, timeout};

/// Limit for the lingering close of a connection that ended with an early response. Closed with bytes unread it would be
/// reset, and the response lost with it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The size of the buffer into which bytes are discarded during a lingering close.
const LINGER_BUFFER_SIZE: usize = 16 << 10;
/// The maximum number of unread bytes that hyper buffers: a head and a piece of a body.
const READ_BUFFER_SIZE: usize = 32 << 10;

/// What a connection does after an event.
#[derive(Debug, PartialEq, Eq)]
enum NextStep {
    /// It is served on.
    Continue,
    /// It closes once it is idle.
    GracefulShutdown,
    /// It ends now.
    Terminate,
}

/// Serves a connection until it ends. `close` is notified when it is to close.
pub async fn serve(
    caller: CallerConnection,
    stream: TcpStream,
    close: Rc<Notify>,
    persistence: Persistence,
) {
    let _ = stream.set_nodelay(true); // without it responses are slower, not wrong
    let stream = Rc::new(stream);
    serve_requests(&caller, &stream, &close, persistence).await;
    let state = &caller.state;
    if !state.has_peer_closed() && !state.is_closing_idle() {
        let _ = sockets::shutdown_write(&stream); // for clients that read the response until FIN
        lingering_close(&stream, state, &close).await;
    }
}

async fn serve_requests(
    caller: &CallerConnection,
    stream: &Rc<TcpStream>,
    close: &Notify,
    persistence: Persistence,
) {
    let state = &*caller.state;
    let service =
        service_fn(async |request| Ok::<Reply, Infallible>(caller.serve_one(request).await));
    let reader = RequestReader::new(stream.clone(), caller.state.clone());
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
            // The connection is polled first: once a request has been read, the connection is no longer idle.
            biased;
            // An error means that the client broke the connection off, of which its request was notified.
            _ = connection.as_mut() => NextStep::Terminate,
            () = client_disconnected.as_mut() => {
                state.peer_closed();
                NextStep::Terminate
            }
            () = close.notified() => on_close_request(stream, state),
            () = poll_fn(|context| poll_deadline(state, timer.as_mut(), context)) => on_deadline(state),
        };
        match next {
            NextStep::Continue => {}
            NextStep::GracefulShutdown => connection.as_mut().graceful_shutdown(),
            NextStep::Terminate => return,
        }
    }
}

/// Ready when the deadline of the connection's present state has passed.
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

/// Decides how a connection closes that a shutdown, a drain or an eviction has notified.
fn on_close_request(stream: &TcpStream, state: &ConnectionState) -> NextStep {
    let is_evicted = state.is_closing_idle();
    if state.is_receiving_head() {
        if is_evicted {
            return NextStep::Terminate;
        }
        state.set_persistence(Persistence::Close); // the request is on the way, and is answered
        return NextStep::Continue;
    }
    // A connection that was just accepted has not been read yet, or its request is on the way; what has arrived on it counts
    // as taken.
    if !is_evicted && (state.is_awaiting_first_request() || sockets::has_unread(stream)) {
        state.set_persistence(Persistence::Close);
        return NextStep::Continue;
    }
    NextStep::GracefulShutdown
}

fn on_deadline(state: &ConnectionState) -> NextStep {
    if state.is_write_blocked() {
        return NextStep::Terminate;
    }
    if state.is_receiving_head() {
        state.head_timed_out();
        return NextStep::Continue;
    }
    state.close_idle();
    NextStep::GracefulShutdown
}

/// Reads on and discards, so that the client can read the response first. Graceful shutdown does not cut this short; an
/// eviction does.
async fn lingering_close(stream: &TcpStream, state: &ConnectionState, close: &Notify) {
    let mut discarded = vec![0; LINGER_BUFFER_SIZE];
    let mut read_to_end = async || loop {
        let mut discarded = ReadBuf::new(&mut discarded);
        let read = poll_fn(|context| sockets::poll_read(stream, context, &mut discarded)).await;
        if read.is_err() || discarded.filled().is_empty() {
            break;
        }
    };
    let evicted = async {
        while !state.is_closing_idle() {
            close.notified().await;
        }
    };
    tokio::select! {
        _ = timeout(LINGER_TIMEOUT, read_to_end()) => {}
        () = evicted => {}
    }
}
