//! Hedged calls of discovery. A call without a response keeps its place in discovery's queue, and a further call is
//! made beside it.
//!
//! Discovery handles the calls of all sidecars in order of arrival and spends time on abandoned calls, too. Suppose
//! that all sidecars abandoned their calls before discovery reached them, and repeated them at the end of the queue.
//! Discovery would then handle only abandoned calls for as long as the overload lasts (congestion collapse).
//!
//! On the other hand, a call without a response may have been lost in the network. The oldest call is therefore kept
//! for its place in the queue, and the newest one tests whether discovery can be reached.

use super::backoff::Backoff;
use super::error::DiscoveryError;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// The maximum number of outstanding calls: the oldest, which is ahead in discovery's queue, and the newest.
const MAX_CONCURRENT_CALLS: usize = 2;
/// The maximum age of a call that is kept when a further call is made. An older call may have been lost in the network.
///
/// The limit is needed because each further call replaces the newer of two calls. If the older one has been lost, none
/// of the others may ever reach the front of a long queue.
///
/// The value exceeds the time that 500 sidecars wait for a discovery service that answers 20 calls per second.
const MAX_CALL_AGE: Duration = Duration::from_secs(30);

/// Sends a GET request to discovery and returns the body of the first successful response.
///
/// While there is no response, a further call is made after each [`Backoff::hedge_delay`]. Before each further call,
/// `on_hedge` is invoked. Its argument is true if discovery has accepted the connection of an outstanding call.
///
/// # Errors
/// Returns the last error once all outstanding calls have failed.
pub(super) async fn call_with_hedging(
    address: SocketAddr,
    path: &str,
    backoff: &mut Backoff,
    on_hedge: impl Fn(bool),
) -> Result<Incoming, DiscoveryError> {
    let mut calls = OutstandingCalls::default();
    loop {
        calls.start(address, path);
        let hedge_at = Instant::now() + backoff.hedge_delay();
        loop {
            tokio::select! {
                biased;
                response = calls.next_response() => match response {
                    Err(error) if calls.is_empty() => return Err(error),
                    Err(_) => {}
                    Ok(body) => return Ok(body),
                },
                () = sleep_until(hedge_at) => break,
            }
        }
        on_hedge(calls.is_any_connected());
    }
}

/// The calls without a response, oldest first.
#[derive(Default)]
struct OutstandingCalls(VecDeque<Call>);

impl OutstandingCalls {
    /// Starts a call. Of the outstanding calls, keeps only the oldest that may still have a place in discovery's queue.
    fn start(&mut self, address: SocketAddr, path: &str) {
        self.0.retain(Call::is_queued);
        self.0.truncate(MAX_CONCURRENT_CALLS - 1);
        self.0.push_back(Call::start(address, path));
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether discovery has accepted the connection of a call.
    fn is_any_connected(&self) -> bool {
        self.0.iter().any(|call| call.is_connected.get())
    }

    /// Waits until one of the calls completes, and removes it.
    async fn next_response(&mut self) -> Result<Incoming, DiscoveryError> {
        poll_fn(|context| self.poll_response(context)).await
    }

    fn poll_response(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Incoming, DiscoveryError>> {
        for index in 0..self.0.len() {
            if let Poll::Ready(response) = self.0[index].response.as_mut().poll(context) {
                self.0.remove(index);
                return Poll::Ready(response);
            }
        }
        Poll::Pending
    }
}

/// A call without a response. Dropping it closes its connection.
struct Call {
    started_at: Instant,
    is_connected: Rc<Cell<bool>>,
    response: Pin<Box<dyn Future<Output = Result<Incoming, DiscoveryError>>>>,
}

impl Call {
    fn start(address: SocketAddr, path: &str) -> Self {
        let is_connected = Rc::new(Cell::new(false));
        let response = Box::pin(send_request(address, path.to_owned(), is_connected.clone()));
        Call {
            started_at: Instant::now(),
            is_connected,
            response,
        }
    }

    /// Returns whether the call may still have a place in discovery's queue. A call without a connection has none, and
    /// an old call may have been lost.
    fn is_queued(&self) -> bool {
        self.is_connected.get() && self.started_at.elapsed() < MAX_CALL_AGE
    }
}

/// Sends a GET request on a new connection and returns the body of the response.
async fn send_request(
    address: SocketAddr,
    path: String,
    is_connected: Rc<Cell<bool>>,
) -> Result<Incoming, DiscoveryError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(DiscoveryError::Connect)?;
    is_connected.set(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The task ends once the sender and the body are dropped.
    tokio::task::spawn_local(connection);
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        status => Err(DiscoveryError::Status(status)),
    }
}
