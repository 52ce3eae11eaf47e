//! HTTP messages as the stubs read them, and waits for conditions.

use std::io::BufRead;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything here takes: where it runs out, what was awaited does not come.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether a connection has not ended so far, and nothing has come on it that was not read.
pub fn is_open_and_silent(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("an option");
    let silent = stream
        .peek(&mut [0])
        .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("an option");
    silent
}

/// Waits until something is so.
pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !is_so() {
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A request or an answer as it was read.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status line")
    }
}

/// Reads one message; none where the connection ends before it begins or breaks within it.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut text = String::new();
        from.read_line(&mut text).ok().filter(|n| *n > 0)?;
        Some(text.trim_end().to_string())
    };
    let start_line = line()?;
    let mut headers = Vec::new();
    loop {
        let text = line()?;
        let Some((name, value)) = text.split_once(':') else {
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
        .map_or(0, |n| n.parse().expect("a length"));
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}
