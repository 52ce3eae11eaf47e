//! HTTP messages that the stubs read, and waits for conditions.

use std::io::{BufRead, ErrorKind};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// The maximum time of a wait, far longer than any step of a test takes. A wait that times out fails the test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which a condition is checked while it is waited for.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Returns whether a connection is open and has no unread bytes.
pub fn is_open_and_silent(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("the option is set");
    let is_silent = stream
        .peek(&mut [0])
        .is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("the option is set");
    is_silent
}

/// Waits until a condition is met; fails the test with its description after [`TEST_TIMEOUT`].
pub fn wait_until(description: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out: {description}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// A request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header with this name, in any letter case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("a status line")
    }
}

/// Reads a message that has a `Content-Length` or no body. Returns `None` if the connection ends before the message is
/// complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut read_line = || {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        Some(line.trim_end().to_string())
    };
    let start_line = read_line()?;
    let mut headers = Vec::new();
    loop {
        let line = read_line()?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        headers.push((name.to_string(), value.trim().to_string()));
    }
    let mut message = Message {
        start_line,
        headers,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .map_or(0, |length| length.parse().expect("a length"));
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}
