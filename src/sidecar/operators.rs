//! The second address: one call a connection, in one line, for those who run the sidecar day by day.
//!
//! It shares nothing with the callers' side but the node: its connections are its own, few and short, so that a crowd there
//! is no crowd here, and one that holds a connection without a call gives way to the next that comes.

use super::admin_state::AdminState;
use super::node::NodeHandle;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Connections at once. A call takes some milliseconds of one.
pub const MAX_CONNECTIONS: usize = 16;
/// The longest line: a call with an id of 256 bytes, and a little.
const LONGEST_LINE: usize = 320;
/// From a connection's start to its line's end.
const LINE_TIME: Duration = Duration::from_secs(3);
/// For the answer, and for the other side to close after it: closed with bytes unread, the connection would be reset and
/// the answer lost with it.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Pause after an accept that failed, as it does while the process is out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// The last line of the figures.
const METRICS_END: &str = "END\n";

/// A call that the operators may make.
#[derive(Debug, PartialEq)]
enum Call<'a> {
    Ready,
    Stats,
    Drain,
    Undrain,
    Disable(&'a str),
    Enable(&'a str),
}

/// Why a line is no call.
#[derive(Debug, PartialEq, thiserror::Error)]
enum CallError {
    #[error("this is no call of one line")]
    NoLine,
    #[error("this call takes one endpoint's id")]
    NeedsEndpoint,
    #[error("this call stands alone")]
    StandsAlone,
    #[error("unknown call")]
    Unknown,
}

/// Connections whose line has not come yet, the oldest first. Each holds the other end of a channel: dropped here, it
/// closes.
#[derive(Clone, Default)]
struct WaitingConnections(Rc<RefCell<VecDeque<WaitingConnection>>>);

struct WaitingConnection {
    number: u64,
    _keep_open: oneshot::Sender<()>,
}

impl WaitingConnections {
    fn add(&self, number: u64) -> oneshot::Receiver<()> {
        let (keep_open, closed) = oneshot::channel();
        self.0.borrow_mut().push_back(WaitingConnection {
            number,
            _keep_open: keep_open,
        });
        closed
    }

    /// Closes the oldest; false where none waits.
    fn close_oldest(&self) -> bool {
        self.0.borrow_mut().pop_front().is_some()
    }

    fn remove(&self, number: u64) {
        self.0
            .borrow_mut()
            .retain(|connection| connection.number != number);
    }
}

/// Listens at the second address.
///
/// # Errors
/// The address cannot be had.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Answers calls for as long as it is polled.
pub async fn serve(node: NodeHandle, listener: TcpListener) {
    let waiting = WaitingConnections::default();
    // One beside this, for each connection: the line's and the answer's part alike.
    let open = Rc::new(());
    for number in 0.. {
        let stream = accept(&listener).await;
        while Rc::strong_count(&open) > MAX_CONNECTIONS && waiting.close_oldest() {
            yield_now().await; // it closes
        }
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            continue; // all are being answered: closed unread
        }
        let closed = waiting.add(number);
        let (node, waiting, open) = (node.clone(), waiting.clone(), open.clone());
        spawn_local(async move {
            let _open = open;
            let mut stream = stream;
            let line = tokio::select! {
                line = timeout(LINE_TIME, read_line(&mut stream)) => line.unwrap_or(None),
                _ = closed => return,
            };
            waiting.remove(number);
            let answer = answer(&node, line.as_deref());
            let _ = timeout(ANSWER_TIME, write_answer(&mut stream, &answer)).await;
        });
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(failure) => {
                log!("a call could not be accepted: {failure}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// One whole line of text; none where it is cut off, too long or not UTF-8.
async fn read_line(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = [0; LONGEST_LINE];
    let mut received = 0;
    loop {
        let read = stream
            .read(&mut bytes[received..])
            .await
            .ok()
            .filter(|read| *read > 0)?;
        let end = bytes[received..received + read]
            .iter()
            .position(|b| *b == b'\n');
        if let Some(end) = end {
            return std::str::from_utf8(&bytes[..received + end])
                .ok()
                .map(str::to_string);
        }
        received += read;
    }
}

async fn write_answer(stream: &mut TcpStream, answer: &str) {
    if stream.write_all(answer.as_bytes()).await.is_err() || stream.shutdown().await.is_err() {
        return;
    }
    let mut unread = [0; LONGEST_LINE];
    while stream.read(&mut unread).await.is_ok_and(|read| read > 0) {}
}

impl<'a> Call<'a> {
    fn parse(line: &'a str) -> Result<Self, CallError> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["READY"] => Ok(Call::Ready),
            ["STATS"] => Ok(Call::Stats),
            ["DRAIN"] => Ok(Call::Drain),
            ["UNDRAIN"] => Ok(Call::Undrain),
            ["DISABLE", endpoint] => Ok(Call::Disable(endpoint)),
            ["ENABLE", endpoint] => Ok(Call::Enable(endpoint)),
            ["DISABLE" | "ENABLE", ..] => Err(CallError::NeedsEndpoint),
            ["READY" | "STATS" | "DRAIN" | "UNDRAIN", ..] => Err(CallError::StandsAlone),
            _ => Err(CallError::Unknown),
        }
    }
}

/// What a call is answered.
fn answer(node: &NodeHandle, line: Option<&str>) -> String {
    match line.ok_or(CallError::NoLine).and_then(Call::parse) {
        Ok(Call::Ready) => yes_if(node.borrow().is_ready(), "not ready to serve"),
        Ok(Call::Stats) => metrics(node),
        Ok(Call::Drain) => {
            node.drain();
            yes()
        }
        Ok(Call::Undrain) => {
            node.undrain();
            yes()
        }
        Ok(Call::Disable(endpoint)) => set_admin_state(node, endpoint, AdminState::Disabled),
        Ok(Call::Enable(endpoint)) => set_admin_state(node, endpoint, AdminState::Enabled),
        Err(error) => format!("NO {error}\n"),
    }
}

fn set_admin_state(node: &NodeHandle, endpoint: &str, state: AdminState) -> String {
    match node.set_admin_state(endpoint.into(), state) {
        Ok(()) => yes(),
        Err(error) => format!("NO {error}\n"),
    }
}

fn metrics(node: &NodeHandle) -> String {
    let mut text = String::new();
    node.borrow().write_metrics(&mut text);
    text.push_str(METRICS_END);
    text
}

fn yes() -> String {
    "YES\n".into()
}

fn yes_if(is_so: bool, otherwise: &str) -> String {
    if is_so {
        yes()
    } else {
        format!("NO {otherwise}\n")
    }
}
