//! One caller's connection.

use super::caller_connection::CallerConnection;
use super::forward;
use super::reply::{Reply, ReplyBody, plain};
use super::request_error::RequestError;
use crate::sidecar::caller::{ConnectionState, HeadError, RequestReader, client_disconnected};
use crate::sidecar::sockets::{self, ObservedSocket};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
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
use tokio::time::{Instant, Sleep, sleep_until, timeout};

/// A connection that ended with an early answer is read on for so long, unless its descriptor is needed: closed with bytes
/// unread, it would be reset, and the answer lost with it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Read at once while it lingers.
const LINGER_BUFFER_SIZE: usize = 16 << 10;
/// What hyper may have of a caller's unread: a head, and a piece of a body.
const READ_BUFFER_SIZE: usize = 32 << 10;

/// What a connection does next.
#[derive(PartialEq)]
enum NextStep {
    /// It is served on.
    Continue,
    /// It closes once it is between requests.
    GracefulShutdown,
    /// It is over.
    Terminate,
}

/// Serves a connection until it ends; `close` asks it to.
pub async fn serve(caller: CallerConnection, stream: TcpStream, close: Rc<Notify>, once: bool) {
    let _ = stream.set_nodelay(true); // slower without, no worse
    let stream = Rc::new(stream);
    serve_requests(&caller, &stream, &close, once).await;
    let state = &caller.state;
    if !state.peer_has_ended.get() && !state.is_closing_idle.get() {
        let _ = sockets::end(&stream); // the answer ends, also for one who reads to the end
        lingering_close(&stream, state, &close).await;
    }
}

async fn serve_requests(
    caller: &CallerConnection,
    stream: &Rc<TcpStream>,
    close: &Notify,
    once: bool,
) {
    let state = &*caller.state;
    let service =
        service_fn(async |request| Ok::<Reply, Infallible>(caller.serve_one(request).await));
    let reader = RequestReader::new(stream.clone(), caller.state.clone());
    let writer = ObservedSocket::new(stream.clone(), caller.state.clone());
    let mut builder = http1::Builder::new();
    builder.keep_alive(!once).max_buf_size(READ_BUFFER_SIZE);
    let mut connection =
        pin!(builder.serve_connection(TokioIo::new(join(reader, writer)), service));
    let mut timer = pin!(sleep_until(state.first_head_deadline()));
    let mut client_disconnected = pin!(client_disconnected(stream, state));
    loop {
        let next = tokio::select! {
            // What has been read goes first: a request that has come is no longer between requests.
            biased;
            // A caller that breaks its connection off is no news beyond what its request makes of it.
            _ = connection.as_mut() => NextStep::Terminate,
            () = client_disconnected.as_mut() => {
                state.peer_has_ended.set(true);
                NextStep::Terminate
            }
            () = close.notified() => close_requested(stream, state),
            () = poll_fn(|context| poll_deadline(state, timer.as_mut(), context)) => deadline_reached(state),
        };
        match next {
            NextStep::Continue => {}
            NextStep::GracefulShutdown => connection.as_mut().graceful_shutdown(),
            NextStep::Terminate => return,
        }
    }
}

/// Ready when the connection's time is up, as it now stands.
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

fn close_requested(stream: &TcpStream, state: &ConnectionState) -> NextStep {
    let is_closing_idle = state.is_closing_idle.get();
    if state.head_since.get().is_some() {
        if is_closing_idle {
            return NextStep::Terminate;
        }
        state.is_last_request.set(true); // its request is on the way, and is answered
        return NextStep::Continue;
    }
    // One that was just accepted has not been read yet, or its request is on its way; what has come on it counts as taken.
    if !is_closing_idle && (state.is_awaiting_first_request() || sockets::has_unread(stream)) {
        state.is_last_request.set(true);
        return NextStep::Continue;
    }
    NextStep::GracefulShutdown
}

fn deadline_reached(state: &ConnectionState) -> NextStep {
    if state.is_blocked() {
        return NextStep::Terminate;
    }
    if state.head_since.get().is_some() {
        state.head_error.set(Some(HeadError::TooSlow));
        return NextStep::Continue;
    }
    state.is_closing_idle.set(true);
    NextStep::GracefulShutdown
}

/// Reads on and throws away. A stop lets it read on, one that needs its descriptor does not.
async fn lingering_close(stream: &TcpStream, state: &ConnectionState, close: &Notify) {
    let mut unread = vec![0; LINGER_BUFFER_SIZE];
    let mut read_on = async || loop {
        let mut unread = ReadBuf::new(&mut unread);
        let read = poll_fn(|context| sockets::poll_read(stream, context, &mut unread)).await;
        if read.is_err() || unread.filled().is_empty() {
            break;
        }
    };
    let makes_room = async {
        while !state.is_closing_idle.get() {
            close.notified().await;
        }
    };
    tokio::select! {
        _ = timeout(LINGER_TIMEOUT, read_on()) => {}
        () = makes_room => {}
    }
}

impl CallerConnection {
    /// Answers one request, and settles whether the connection goes on.
    async fn serve_one(&self, request: Request<Incoming>) -> Reply {
        let state = &self.state;
        state.idle_since.set(None);
        let begun = state.head_since.take().unwrap_or_else(Instant::now);
        let mut reply = self.answer(request, begun).await;
        state.answered();
        if state.is_last_request.get() || self.node.borrow().callers().close_after_responses() {
            reply
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let ReplyBody::Whole(_) = reply.body() {
            state.set_idle();
        }
        reply
    }

    async fn answer(&self, request: Request<Incoming>, begun: Instant) -> Reply {
        if let Some(head_error) = self.state.head_error.get() {
            return RequestError::from(head_error).reply();
        }
        match (request.uri().path(), request.method()) {
            ("/ready", &Method::GET | &Method::HEAD) => self.readiness(),
            ("/ready", _) => RequestError::method("GET, HEAD").reply(),
            ("/api", &Method::GET | &Method::POST) if self.is_rejected_early => {
                self.reject_early_counted(&request)
            }
            ("/api", &Method::GET | &Method::POST) => {
                forward::answer(self, request, begun)
                    .await
                    .unwrap_or_else(|error| {
                        // With a body that was not read to its end the next request's start is not known.
                        if error.body_is_unread {
                            self.state.is_last_request.set(true);
                        }
                        error.reply()
                    })
            }
            ("/api", _) => RequestError::method("GET, POST").reply(),
            _ => plain(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn readiness(&self) -> Reply {
        let is_ready = self.node.borrow().is_ready();
        plain(
            if is_ready {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            },
            "",
        )
    }

    /// Refuses a request that is not read any further, and counts it for its class.
    fn reject_early_counted(&self, request: &Request<Incoming>) -> Reply {
        let reply = self.reject_early();
        let name = request
            .headers()
            .get("x-class")
            .and_then(|value| value.to_str().ok());
        let mut node = self.node.borrow();
        let is_class = |name: &&str| {
            node.configuration()
                .settings()
                .classes
                .iter()
                .any(|class| class.name == **name)
        };
        if let Some(name) = name.filter(is_class) {
            node.begin_request(name).end(reply.status());
        }
        reply
    }
}
