//! The second address: one call a connection, in one line, for those who run the sidecar day by day.
//!
//! It shares nothing with the callers' side but the node: its connections are its own, few and short, so that a
//! crowd there is no crowd here, and one that holds a connection without a call gives way to the next that comes.

use crate::node::Handle;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Connections at once. A call takes some milliseconds of one.
pub const MOST_CONNECTIONS: usize = 16;
/// The longest line: a call with an id of 256 bytes, and a little.
const LONGEST_LINE: usize = 320;
/// From a connection's start to its line's end.
const LINE_TIME: Duration = Duration::from_secs(3);
/// For the answer, and for the other side to close after it: closed with bytes unread, the connection would be reset and
/// the answer lost with it.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Pause after an accept that failed, as it does while the process is out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Connections whose line has not come yet, the oldest first. Each holds the other end of a channel: dropped here, it
/// closes.
type Waiting = Rc<RefCell<VecDeque<(u64, oneshot::Sender<()>)>>>;

/// Listens at the second address.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("the second address, {address}: {e}"))
}

/// Answers calls for as long as it is polled.
pub async fn serve(node: Handle, listener: TcpListener) {
    let waiting = Waiting::default();
    let open = Rc::new(());
    for number in 0.. {
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(failure) => {
                    log!("a call could not be accepted: {failure}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        };
        // One beside its owner, for each connection: the line's and the answer's part alike.
        while Rc::strong_count(&open) > MOST_CONNECTIONS {
            if waiting.borrow_mut().pop_front().is_none() {
                break;
            }
            yield_now().await; // it closes
        }
        if Rc::strong_count(&open) > MOST_CONNECTIONS {
            continue; // all are being answered: closed unread
        }
        let (hold, given_up) = oneshot::channel();
        waiting.borrow_mut().push_back((number, hold));
        let (node, waiting, open) = (node.clone(), waiting.clone(), open.clone());
        spawn_local(async move {
            let _open = open;
            let mut stream = stream;
            let line = tokio::select! {
                line = timeout(LINE_TIME, read_line(&mut stream)) => line.unwrap_or(None),
                _ = given_up => return,
            };
            waiting.borrow_mut().retain(|(n, _)| *n != number);
            let answer = line.map_or_else(|| "NO this is no call of one line\n".into(), |l| node.call(&l));
            let _ = timeout(ANSWER_TIME, write_answer(&mut stream, &answer)).await;
        });
    }
}

/// One whole line of text; none where it is cut off, too long or not UTF-8.
async fn read_line(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = [0; LONGEST_LINE];
    let mut seen = 0;
    loop {
        let n = stream.read(&mut bytes[seen..]).await.ok().filter(|n| *n > 0)?;
        let end = bytes[seen..seen + n].iter().position(|b| *b == b'\n');
        if let Some(end) = end {
            return std::str::from_utf8(&bytes[..seen + end]).ok().map(str::to_string);
        }
        seen += n;
    }
}

async fn write_answer(stream: &mut TcpStream, answer: &str) {
    if stream.write_all(answer.as_bytes()).await.is_err() || stream.shutdown().await.is_err() {
        return;
    }
    let mut unread = [0; LONGEST_LINE];
    while stream.read(&mut unread).await.is_ok_and(|n| n > 0) {}
}

impl Handle {
    /// What a call is answered.
    fn call(&self, line: &str) -> String {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["READY"] => yes_if(self.borrow().takes_callers(), "not ready to serve"),
            ["STATS"] => self.stats(),
            ["DRAIN" | "UNDRAIN"] => {
                self.drain(words[0] == "DRAIN");
                yes_if(true, "")
            }
            ["DISABLE", endpoint] => yes_if(self.ban(endpoint.into(), true), "no such endpoint is listed"),
            ["ENABLE", endpoint] => yes_if(self.ban(endpoint.into(), false), "no such endpoint is listed"),
            ["DISABLE" | "ENABLE", ..] => "NO this call takes one endpoint's id\n".into(),
            ["READY" | "STATS" | "DRAIN" | "UNDRAIN", ..] => "NO this call stands alone\n".into(),
            _ => "NO unknown call\n".into(),
        }
    }

    fn stats(&self) -> String {
        let node = self.borrow();
        let mut text = String::new();
        let (members, unavailable) = node.members();
        node.figures.write(members, unavailable, &mut text);
        text.push_str("END\n");
        text
    }
}

fn yes_if(so: bool, otherwise: &str) -> String {
    if so { "YES\n".into() } else { format!("NO {otherwise}\n") }
}
