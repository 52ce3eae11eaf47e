//! A call of discovery that keeps its place in discovery's queue while it is late.
//!
//! Discovery handles calls in turn, and its turns are spent also on calls that were given up. A fleet whose calls are
//! all given up before their turn, and made again at the end of the queue, keeps discovery busy for nothing for as long
//! as it lasts (congestion collapse). A call that is late may on the other hand have been lost on the network, so
//! another is made beside it: the oldest keeps its place, and the newest finds out whether discovery can be reached.

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
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// Calls that are out at once: the oldest, which is the next in turn, and the newest.
const MAX_CONCURRENT_CALLS: usize = 2;
/// A call without an answer gives its place to the next after this long. One that was lost on the network is never
/// answered, and while it is kept the newest is made anew before a long queue comes to its turn. A queue in which 500
/// sidecars wait for a discovery that answers 20 calls a second is shorter.
const MAX_CALL_AGE: Duration = Duration::from_secs(30);

/// Asks discovery for a path until a call is answered, or every call that is out has failed. `late` is told of each
/// further call that is made because none was answered in time.
pub(super) async fn fetch_with_hedging(
    address: SocketAddr,
    path: &str,
    backoff: &mut Backoff,
    late: impl Fn(),
) -> Result<Incoming, DiscoveryError> {
    let mut calls = OutstandingCalls::default();
    loop {
        calls.begin(address, path);
        let next_call = Instant::now() + backoff.hedge_delay();
        loop {
            tokio::select! {
                biased;
                answer = calls.next_answer() => match answer {
                    Err(failure) if calls.are_over() => return Err(failure),
                    Err(_) => {}
                    answered => return answered,
                },
                () = sleep_until(next_call) => break,
            }
        }
        late();
    }
}

/// The calls that are out, oldest first.
#[derive(Default)]
struct OutstandingCalls(VecDeque<Call>);

/// A call without an answer. Dropped, it closes its connection.
struct Call {
    begun: Instant,
    /// Its connection is up. Without one it has no place in discovery's queue.
    is_connected: Rc<Cell<bool>>,
    answer: Pin<Box<dyn Future<Output = Result<Incoming, DiscoveryError>>>>,
}

impl OutstandingCalls {
    /// Begins a call and drops those that it replaces: all but the oldest that waits for its turn.
    fn begin(&mut self, address: SocketAddr, path: &str) {
        let keeps_place =
            |call: &Call| call.is_connected.get() && call.begun.elapsed() < MAX_CALL_AGE;
        self.0.retain(keeps_place);
        self.0.truncate(MAX_CONCURRENT_CALLS - 1);
        self.0.push_back(Call::begin(address, path));
    }

    fn are_over(&self) -> bool {
        self.0.is_empty()
    }

    /// The next answer or failure of a call, which is out no longer.
    async fn next_answer(&mut self) -> Result<Incoming, DiscoveryError> {
        poll_fn(|context| {
            for position in 0..self.0.len() {
                if let Poll::Ready(answer) = self.0[position].answer.as_mut().poll(context) {
                    self.0.remove(position);
                    return Poll::Ready(answer);
                }
            }
            Poll::Pending
        })
        .await
    }
}

impl Call {
    fn begin(address: SocketAddr, path: &str) -> Self {
        let is_connected = Rc::new(Cell::new(false));
        let answer = Box::pin(call(address, path.to_owned(), is_connected.clone()));
        Call {
            begun: Instant::now(),
            is_connected,
            answer,
        }
    }
}

/// One call on a connection of its own.
async fn call(
    address: SocketAddr,
    path: String,
    is_connected: Rc<Cell<bool>>,
) -> Result<Incoming, DiscoveryError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(DiscoveryError::Connect)?;
    is_connected.set(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Ends with the call: once the body or its reader is gone, and the sender with it.
    tokio::task::spawn_local(connection);
    let request = Request::get(path).header(header::HOST, address.to_string());
    let response = sender
        .send_request(request.body(Empty::<Bytes>::new())?)
        .await?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        status => Err(DiscoveryError::Status(status)),
    }
}
