//! One caller's connection.

use super::caller_connection::CallerConnection;
use super::forward;
use super::reply::{Reply, ReplyBody, plain};
use super::request_error::RequestError;
use crate::sidecar::caller::{HeadFault, Inbound, Traffic, client_left};
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
const LINGER: Duration = Duration::from_secs(1);
/// Read at once while it lingers.
const LINGER_BUFFER: usize = 16 << 10;
/// What hyper may have of a caller's unread: a head, and a piece of a body.
const READ_BUFFER: usize = 32 << 10;

/// What a connection does next.
#[derive(PartialEq)]
enum Next {
    /// It is served on.
    ServeOn,
    /// It closes once it is between requests.
    ShutDown,
    /// It is over.
    End,
}

/// Serves a connection until it ends; `close` asks it to.
pub async fn serve(caller: CallerConnection, stream: TcpStream, close: Rc<Notify>, once: bool) {
    let _ = stream.set_nodelay(true); // slower without, no worse
    let stream = Rc::new(stream);
    serve_requests(&caller, &stream, &close, once).await;
    let traffic = &caller.traffic;
    if !traffic.has_ended.get() && !traffic.is_closed_idle.get() {
        let _ = sockets::end(&stream); // the answer ends, also for one who reads to the end
        linger(&stream, traffic, &close).await;
    }
}

async fn serve_requests(
    caller: &CallerConnection,
    stream: &Rc<TcpStream>,
    close: &Notify,
    once: bool,
) {
    let traffic = &*caller.traffic;
    let service =
        service_fn(async |request| Ok::<Reply, Infallible>(caller.serve_one(request).await));
    let reader = Inbound::new(stream.clone(), caller.traffic.clone());
    let writer = ObservedSocket::new(stream.clone(), caller.traffic.clone());
    let mut builder = http1::Builder::new();
    builder.keep_alive(!once).max_buf_size(READ_BUFFER);
    let mut connection =
        pin!(builder.serve_connection(TokioIo::new(join(reader, writer)), service));
    let mut timer = pin!(sleep_until(traffic.first_head_due()));
    let mut client_left = pin!(client_left(stream, traffic));
    loop {
        let next = tokio::select! {
            // What has been read goes first: a request that has come is no longer between requests.
            biased;
            // A caller that breaks its connection off is no news beyond what its request makes of it.
            _ = connection.as_mut() => Next::End,
            () = client_left.as_mut() => {
                traffic.has_ended.set(true);
                Next::End
            }
            () = close.notified() => asked_to_close(stream, traffic),
            () = poll_fn(|context| poll_due(traffic, timer.as_mut(), context)) => time_is_up(traffic),
        };
        match next {
            Next::ServeOn => {}
            Next::ShutDown => connection.as_mut().graceful_shutdown(),
            Next::End => return,
        }
    }
}

/// Ready when the connection's time is up, as it now stands.
fn poll_due(traffic: &Traffic, mut timer: Pin<&mut Sleep>, context: &mut Context<'_>) -> Poll<()> {
    let Some(due) = traffic.due() else {
        return Poll::Pending;
    };
    if timer.deadline() != due {
        timer.as_mut().reset(due);
    }
    timer.as_mut().poll(context)
}

fn asked_to_close(stream: &TcpStream, traffic: &Traffic) -> Next {
    let is_closed_idle = traffic.is_closed_idle.get();
    if traffic.head_since.get().is_some() {
        if is_closed_idle {
            return Next::End;
        }
        traffic.is_last_request.set(true); // its request is on the way, and is answered
        return Next::ServeOn;
    }
    // One that was just accepted has not been read yet, or its request is on its way; what has come on it counts as taken.
    if !is_closed_idle && (traffic.is_fresh() || sockets::has_unread(stream)) {
        traffic.is_last_request.set(true);
        return Next::ServeOn;
    }
    Next::ShutDown
}

fn time_is_up(traffic: &Traffic) -> Next {
    if traffic.is_blocked() {
        return Next::End;
    }
    if traffic.head_since.get().is_some() {
        traffic.fault.set(Some(HeadFault::TooSlow));
        return Next::ServeOn;
    }
    traffic.is_closed_idle.set(true);
    Next::ShutDown
}

/// Reads on and throws away. A stop lets it read on, one that needs its descriptor does not.
async fn linger(stream: &TcpStream, traffic: &Traffic, close: &Notify) {
    let mut unread = vec![0; LINGER_BUFFER];
    let mut read_on = async || loop {
        let mut unread = ReadBuf::new(&mut unread);
        let read = poll_fn(|context| sockets::poll_read(stream, context, &mut unread)).await;
        if read.is_err() || unread.filled().is_empty() {
            break;
        }
    };
    let makes_room = async {
        while !traffic.is_closed_idle.get() {
            close.notified().await;
        }
    };
    tokio::select! {
        _ = timeout(LINGER, read_on()) => {}
        () = makes_room => {}
    }
}

impl CallerConnection {
    /// Answers one request, and settles whether the connection goes on.
    async fn serve_one(&self, request: Request<Incoming>) -> Reply {
        let traffic = &self.traffic;
        traffic.idle_since.set(None);
        let begun = traffic.head_since.take().unwrap_or_else(Instant::now);
        let mut reply = self.answer(request, begun).await;
        traffic.answered();
        if traffic.is_last_request.get() || self.node.borrow().callers.are_sent_away() {
            reply
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let ReplyBody::Whole(_) = reply.body() {
            traffic.set_idle();
        }
        reply
    }

    async fn answer(&self, request: Request<Incoming>, begun: Instant) -> Reply {
        if let Some(fault) = self.traffic.fault.get() {
            return RequestError::from(fault).reply();
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
                            self.traffic.is_last_request.set(true);
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
            node.settings
                .current()
                .classes
                .iter()
                .any(|class| class.name == **name)
        };
        if let Some(name) = name.filter(is_class) {
            node.metrics.begin(name).end(reply.status());
        }
        reply
    }
}
