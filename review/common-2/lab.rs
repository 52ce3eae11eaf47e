//! Stand-ins for the scripts of the second review: discovery, endpoints, clients and the platform.
//!
//! Only the standard library is used, so that nothing has to be fetched for the build. Each case is a module of its own beside this file; `main.rs` selects it.

#![allow(dead_code)] // each program uses some of it

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The record of one run: what was sent, answered and run, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// A record that keeps nothing.
    pub fn quiet() -> Record {
        Record::new(Path::new("/dev/null"))
    }

    pub fn new(path: &Path) -> Record {
        let file =
            File::create(path).unwrap_or_else(|error| unable(&format!("record.txt: {error}")));
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Sleeps until a time of the record.
    pub fn wait_until(&self, time: f64) {
        thread::sleep(Duration::from_secs_f64((time - self.now()).max(0.0)));
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now());
        let _ = file.flush();
    }
}

/// The processes that this run has started and that have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this run has started and that have not ended, then ends with an exit code.
pub fn finish(code: i32) -> ! {
    for process in STARTED.lock().unwrap().drain(..) {
        unsafe { kill(process as i32, SIGKILL) };
    }
    std::process::exit(code);
}

/// Ends the run with 2: the case could not run.
pub fn unable(text: &str) -> ! {
    eprintln!("the case could not run: {text}");
    finish(2);
}

/// Ends the run with 2 once it has taken too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        unable("it took too long");
    });
}

/// A port on 127.0.0.1 that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(&format!("bind: {e}")));
    listener.local_addr().unwrap()
}

// ---- Discovery ------------------------------------------------------------------------------------------------

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"gasan\",\"type\":\"front-2c\",\"group\":0,\
             \"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.status, self.since_ms
        )
    }
}

struct ListState {
    index: u64,
    /// All entries that are not deleted.
    entries: Vec<Entry>,
    /// Every change, with its version.
    changes: Vec<(u64, Entry)>,
    /// New connections are refused, and no watch is open.
    is_down: bool,
    /// The number of watches that were opened.
    watches: usize,
    /// Watches up to this number tell nothing more.
    silent_up_to: usize,
    /// The calls a second that are answered, if that is limited, and how long a call waits in turn.
    capacity: Option<(f64, Duration)>,
    /// The time at which the next call can be answered.
    free_at: Instant,
}

/// A discovery service. Heartbeats come every 2 s on a watch.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

fn list_json(index: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        "{{\"index\":{index},\"snapshot\":{full},\"endpoints\":[{}]}}",
        entries.join(",")
    )
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Discovery {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(&format!("bind: {e}")));
        let state = ListState {
            index: 41,
            entries,
            changes: Vec::new(),
            is_down: false,
            watches: 0,
            silent_up_to: 0,
            capacity: None,
            free_at: Instant::now(),
        };
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let (served, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            let address = served.address;
            let mut listener = Some(listener);
            loop {
                if served.is_down() {
                    listener = None; // new connections are refused
                }
                thread::sleep(Duration::from_millis(1));
                let Some(open) = &listener else {
                    if !served.is_down() {
                        listener = TcpListener::bind(address).ok();
                    }
                    continue;
                };
                let _ = open.set_nonblocking(true);
                while let Ok((stream, _)) = open.accept() {
                    let _ = stream.set_nonblocking(false);
                    let (served, record) = (served.clone(), record.clone());
                    thread::spawn(move || {
                        let _ = served.serve(stream, &record);
                    });
                }
            }
        });
        discovery
    }

    pub fn full_list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.index, true, &state.entries)
    }

    /// Adds a change of the list, and tells it on all watches.
    pub fn change(&self, entry: Entry) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.entries.retain(|other| other.name != entry.name);
        if entry.status != "DELETED" {
            state.entries.push(entry.clone());
        }
        state.changes.push((index, entry));
        self.state.1.notify_all();
    }

    /// Answers so many calls a second, in turn. A call that would wait longer than `patience` ends in 503 after it.
    pub fn limit_calls(&self, calls_per_second: f64, patience: Duration) {
        self.state.0.lock().unwrap().capacity = Some((calls_per_second, patience));
    }

    /// Goes down for a time: its watches end, and new connections are refused.
    pub fn go_down_for(&self, time: Duration, record: &Record) {
        self.state.0.lock().unwrap().is_down = true;
        self.state.1.notify_all();
        record.line("discovery goes down: its watches end, and new connections are refused");
        let (discovery, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(time);
            discovery.state.0.lock().unwrap().is_down = false;
            record.line("discovery is back");
        });
    }

    fn is_down(&self) -> bool {
        self.state.0.lock().unwrap().is_down
    }

    /// All watches that are open fall silent. They stay open.
    pub fn silence_watches(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.silent_up_to = state.watches;
    }

    /// Waits until so many watches have been opened.
    pub fn await_watches(&self, count: usize) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while self.state.0.lock().unwrap().watches < count {
            if Instant::now() > deadline {
                unable("the watches were not open in 30 s");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits for a call's turn. Returns false if the call has waited too long.
    fn wait_for_turn(&self) -> bool {
        let (wait, is_served) = {
            let mut state = self.state.0.lock().unwrap();
            let Some((rate, patience)) = state.capacity else {
                return true;
            };
            let start = state.free_at.max(Instant::now());
            let end = start + Duration::from_secs_f64(1.0 / rate);
            let wait = end - Instant::now();
            if start - Instant::now() > patience {
                (patience, false)
            } else {
                state.free_at = end;
                (wait, true)
            }
        };
        thread::sleep(wait);
        is_served
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(head) = reader.head()? {
            let path = head.first.split(' ').nth(1).unwrap_or("").to_string();
            record.line(&format!("discovery is asked for {path}"));
            if !self.wait_for_turn() {
                record.line(&format!("discovery answers 503 to {path}"));
                stream
                    .write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            if !path.contains("follow=1") {
                let body = self.full_list();
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )?;
                continue;
            }
            let since = path
                .split("since=")
                .nth(1)
                .and_then(|text| text.split('&').next()?.parse().ok());
            return self.watch(stream, since.unwrap_or(0));
        }
        Ok(())
    }

    fn watch(&self, mut stream: TcpStream, mut known: u64) -> std::io::Result<()> {
        let number = {
            let mut state = self.state.0.lock().unwrap();
            state.watches += 1;
            state.watches
        };
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        loop {
            if number <= self.state.0.lock().unwrap().silent_up_to {
                let _ = stream.read(&mut [0; 16]); // until the sidecar closes it
                return Ok(());
            }
            let text = {
                let guard = self.state.0.lock().unwrap();
                let has_news = |state: &mut ListState| state.index <= known && !state.is_down;
                let (state, _) = self
                    .state
                    .1
                    .wait_timeout_while(guard, Duration::from_secs(2), has_news)
                    .unwrap();
                if state.is_down {
                    return Ok(());
                }
                if number <= state.silent_up_to {
                    continue;
                }
                let new = state.changes.iter().filter(|(index, _)| *index > known);
                let new: Vec<Entry> = new.map(|(_, entry)| entry.clone()).collect();
                if new.is_empty() {
                    "\n".to_string()
                } else {
                    known = state.index;
                    list_json(known, false, &new) + "\n"
                }
            };
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        }
    }
}

// ---- HTTP -----------------------------------------------------------------------------------------------------

pub struct Head {
    pub first: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A buffered reader that tells a reset from an end.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Returns the next head, or `None` if the peer has closed the connection between messages.
    pub fn head(&mut self) -> std::io::Result<Option<Head>> {
        loop {
            if let Some(end) = self
                .buffer
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_string();
                let pairs = lines.filter_map(|line| line.split_once(':'));
                let headers = pairs
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()));
                return Ok(Some(Head {
                    first,
                    headers: headers.collect(),
                }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Returns exactly `count` bytes, in parts: `on_part` gets the length of each part.
    fn exactly(&mut self, mut count: usize, on_part: &mut dyn FnMut(&[u8])) -> std::io::Result<()> {
        while count > 0 {
            if self.buffer.is_empty() && self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let part = count.min(self.buffer.len());
            on_part(&self.buffer[..part]);
            self.buffer.drain(..part);
            count -= part;
        }
        Ok(())
    }

    fn text_line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(text);
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body by its declared framing. A message without either framing has none here.
    pub fn body(&mut self, head: &Head, on_part: &mut dyn FnMut(&[u8])) -> std::io::Result<()> {
        if head
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let line = self.text_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
                self.exactly(size, on_part)?;
                if size == 0 {
                    while !self.text_line()?.is_empty() {}
                    return Ok(());
                }
                self.text_line()?;
            }
        }
        self.exactly(head.header("content-length").parse().unwrap_or(0), on_part)
    }
}

// ---- Endpoints ------------------------------------------------------------------------------------------------

/// A request that has come whole to an endpoint.
pub struct Arrived {
    pub id: String,
    pub head: Head,
    pub body_length: usize,
}

/// Answers one request on its connection. An error ends the connection.
pub type Answer = dyn Fn(&Arrived, &mut TcpStream) -> std::io::Result<()> + Send + Sync;

/// The process of an endpoint, which can end. Its connections then end, and new ones are refused.
#[derive(Clone, Default)]
pub struct EndpointProcess(Arc<ProcessState>);

#[derive(Default)]
struct ProcessState {
    has_ended: AtomicBool,
    address: Mutex<Option<SocketAddr>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl EndpointProcess {
    fn has_ended(&self) -> bool {
        self.0.has_ended.load(Ordering::SeqCst)
    }

    pub fn end(&self) {
        self.0.has_ended.store(true, Ordering::SeqCst);
        for stream in self.0.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        if let Some(address) = *self.0.address.lock().unwrap() {
            let _ = TcpStream::connect(address); // wakes the listener, which then closes
        }
    }
}

/// Starts an endpoint that answers every request by `answer` and never ends.
pub fn start_endpoint(name: &str, record: &Record, answer: Arc<Answer>) -> Entry {
    start_endpoint_process(name, record, &EndpointProcess::default(), answer)
}

/// Starts an endpoint that answers every request by `answer`. Probes get the report of an idle machine.
pub fn start_endpoint_process(
    name: &str,
    record: &Record,
    process: &EndpointProcess,
    answer: Arc<Answer>,
) -> Entry {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(&format!("bind: {e}")));
    let address = listener.local_addr().unwrap();
    *process.0.address.lock().unwrap() = Some(address);
    let (label, record, process) = (name.to_string(), record.clone(), process.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if process.has_ended() {
                break;
            }
            if let Ok(clone) = stream.try_clone() {
                process.0.connections.lock().unwrap().push(clone);
            }
            let (label, record, answer) = (label.clone(), record.clone(), answer.clone());
            thread::spawn(move || {
                let _ = serve_endpoint(&stream, &label, &record, &*answer);
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
        drop(listener); // new connections are refused
    });
    Entry {
        name: name.to_string(),
        address,
        status: "SERVING",
        since_ms: 0,
    }
}

fn serve_endpoint(
    stream: &TcpStream,
    name: &str,
    record: &Record,
    answer: &Answer,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = stream.try_clone()?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(head) = reader.head()? {
        if head.first.starts_with("GET /status/load") || head.first.starts_with("GET /health") {
            let body = "TEXT load_share=0.1, depth=0";
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            continue;
        }
        let mut body_length = 0;
        reader.body(&head, &mut |part| body_length += part.len())?;
        let id = head.header("x-request-id").to_string();
        let class = head.header("x-class");
        record.line(&format!(
            "endpoint {name} has request {id} ({class}) whole and runs it"
        ));
        answer(
            &Arrived {
                id,
                head,
                body_length,
            },
            &mut stream,
        )?;
    }
    Ok(())
}

/// Writes a whole answer at once.
pub fn answer_at_once(stream: &mut TcpStream, body: &[u8]) -> std::io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )?;
    stream.write_all(body)
}

/// The byte at a position of the answer to a request. It differs from request to request.
pub fn answer_byte(id: &str, position: usize) -> u8 {
    let seed: usize = id.bytes().map(usize::from).sum();
    b'a' + ((seed + position / 7) % 26) as u8
}

pub fn answer_body(id: &str, length: usize) -> Vec<u8> {
    (0..length)
        .map(|position| answer_byte(id, position))
        .collect()
}

// ---- Clients --------------------------------------------------------------------------------------------------

/// What a client got for one request. Times are those of the record, in seconds.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub sent_at: f64,
    pub status: Option<u16>,
    pub first_byte_at: f64,
    pub ended_at: f64,
    pub body: Vec<u8>,
    pub is_whole: bool,
    pub how_ended: String,
}

pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub id: &'a str,
    pub class: &'a str,
    pub deadline: f64,
    pub body: &'a [u8],
}

/// A client that keeps its connection and sends one request at a time on it. If the close of a kept connection crosses a
/// request, it sends that request once more on a new connection.
#[derive(Default)]
pub struct KeptConnection(Option<Reader>);

impl KeptConnection {
    /// Returns the status of the answer, or `None` without a whole one.
    pub fn send(&mut self, to: SocketAddr, request: &ClientRequest<'_>) -> Option<u16> {
        let is_kept = self.0.is_some();
        match self.exchange(to, request) {
            Err(false) if is_kept => self.exchange(to, request).ok(),
            result => result.ok(),
        }
    }

    /// Fails with true if a part of an answer has come.
    fn exchange(&mut self, to: SocketAddr, request: &ClientRequest<'_>) -> Result<u16, bool> {
        let mut reader = match self.0.take() {
            Some(reader) => reader,
            None => Reader::new(TcpStream::connect(to).map_err(|_| false)?),
        };
        let _ = reader.stream.set_nodelay(true);
        let _ = reader.stream.set_read_timeout(Some(Duration::from_secs(8)));
        reader
            .stream
            .write_all(&request.bytes())
            .map_err(|_| false)?;
        let Ok(Some(head)) = reader.head() else {
            return Err(false);
        };
        reader.body(&head, &mut |_| ()).map_err(|_| true)?;
        if !head.header("connection").eq_ignore_ascii_case("close") {
            self.0 = Some(reader);
        }
        head.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .ok_or(true)
    }
}

impl ClientRequest<'_> {
    fn bytes(&self) -> Vec<u8> {
        let length = match self.body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        let head = format!(
            "{} /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Deadline: {}\r\n{length}\r\n",
            self.method, self.id, self.class, self.deadline
        );
        [head.as_bytes(), self.body].concat()
    }
}

/// Sends one request on a new connection and reads its answer for up to `patience`.
pub fn send(
    record: &Record,
    to: SocketAddr,
    request: &ClientRequest<'_>,
    patience: Duration,
) -> Got {
    let mut got = Got::default();
    let result = exchange(record, to, request, patience, &mut got);
    got.ended_at = record.now();
    match result {
        Ok(()) => got.is_whole = true,
        Err(error) => got.how_ended = format!("{:?}", error.kind()),
    }
    let ending = if got.is_whole {
        "whole".to_string()
    } else {
        format!("NOT whole: {}", got.how_ended)
    };
    record.line(&format!(
        "client: request {} ({}) sent at {:.3}, status {:?}, first body byte at {:.3}, {} bytes of body, {ending}",
        request.id, request.class, got.sent_at, got.status, got.first_byte_at, got.body.len()
    ));
    got
}

fn exchange(
    record: &Record,
    to: SocketAddr,
    request: &ClientRequest<'_>,
    patience: Duration,
    got: &mut Got,
) -> std::io::Result<()> {
    got.sent_at = record.now();
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(&request.bytes())?;
    got.sent_at = record.now();
    let mut reader = Reader::new(stream);
    let Some(head) = reader.head()? else {
        return Err(ErrorKind::UnexpectedEof.into());
    };
    got.status = head
        .first
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok());
    let (first_byte_at, body) = (&mut got.first_byte_at, &mut got.body);
    reader.body(&head, &mut |part| {
        if body.is_empty() {
            *first_byte_at = record.now();
        }
        body.extend_from_slice(part);
    })
}

// ---- The platform ---------------------------------------------------------------------------------------------

pub struct ClassSettings {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim_s: f64,
    pub deadline_s: f64,
    pub worth: f64,
}

pub struct SidecarOptions<'a> {
    pub discovery: &'a Discovery,
    /// The list that the configuration has as `known`.
    pub known: String,
    pub classes: &'a [ClassSettings],
    pub memory_mb: u32,
    pub sockets: u32,
    /// The position of the tier that the sidecar sends to, the sidecar's number, and how many there are in its tier.
    pub tier: usize,
    pub number: usize,
    pub balancers: usize,
}

/// Two classes of seoul-booking: one that is safe to repeat, and the one that must never run twice.
pub const SEOUL_BOOKING: [ClassSettings; 2] = [
    ClassSettings {
        name: "clinic-list",
        effect: "free",
        aim_s: 1.2,
        deadline_s: 3.0,
        worth: 1.0,
    },
    ClassSettings {
        name: "confirm",
        effect: "single_shot",
        aim_s: 2.5,
        deadline_s: 6.0,
        worth: 10.0,
    },
];

impl<'a> SidecarOptions<'a> {
    /// The classes of seoul-booking, the present list as `known`, and the limits of the operators' reports.
    pub fn of_seoul_booking(discovery: &'a Discovery) -> Self {
        SidecarOptions {
            discovery,
            known: discovery.full_list(),
            classes: &SEOUL_BOOKING,
            memory_mb: 48,
            sockets: 384,
            tier: 0,
            number: 0,
            balancers: 1,
        }
    }
}

/// One sidecar: its addresses, its folder, and the process that `run` of the deploy file started.
pub struct Sidecar {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub child: Child,
    pub log: PathBuf,
}

/// The settings of the page WIRE, with other classes.
fn settings(options: &SidecarOptions<'_>) -> String {
    let nanos = |seconds: f64| (seconds * 1e9) as u64;
    let class = |class: &ClassSettings| {
        format!(
            "{{\"effect\":\"{}\",\"hardLimitNs\":{},\"keyScope\":\"all\",\"lateShare\":0.0,\"memorySpanNs\":5000000000,\
             \"name\":\"{}\",\"objectiveNs\":{},\"stream\":false,\"worth\":{:.1}}}",
            class.effect,
            nanos(class.deadline_s),
            class.name,
            nanos(class.aim_s),
            class.worth
        )
    };
    let classes: Vec<String> = options.classes.iter().map(class).collect();
    format!(
        "{{\"balancers\":{},\"bounds\":{{\"cancel\":true,\"connIdleNs\":30000000000,\"connectTimeoutNs\":150000000,\
         \"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,\"maxOpen\":20000,\"maxRetryAfterNs\":2000000000,\"maxStreams\":1,\
         \"mayTell\":false,\"parallelTries\":true,\"probes\":true,\"retryAfter\":true,\"sendCap\":6}},\
         \"categories\":[{}],\"clientHabits\":{{\"marksRetry\":true}},\"customers\":[],\"dcs\":[\"gasan\"],\
         \"discovery\":\"subscribe\",\"family\":\"chain\",\"familyInfo\":{{\"passesDeadline\":true}},\
         \"fees\":{{\"connection\":0.0,\"crossZone\":0.0,\"discovery\":0.0,\"handshake\":0.0,\"lateFail\":0.02,\
         \"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.01,\"waste\":0.13}},\"granularityNs\":5000000,\
         \"models\":[\"{}\"],\"myNumber\":{},\"overShareWorth\":0.1,\
         \"report\":{{\"fields\":[\"load_share\",\"depth\"],\"how\":\"on_probe\"}},\
         \"rules\":{{\"answerSlackNs\":20000000,\"askWithinNs\":10000000000,\"coldFrom\":0.16,\
         \"drainGraceNs\":2000000000,\"fallMultiple\":3.0,\"fallNs\":2000000000,\"warmWithinNs\":24000000000}},\
         \"scoringMix\":{{\"whole\":0.55,\"worstClass\":0.3,\"worstTenant\":0.0,\"worstWindow\":0.15}},\
         \"stages\":[\"front\",\"slots\"],\"tier\":{},\"weightSource\":\"off\",\"worthBy\":\"work\",\"zone\":\"gasan\"}}",
        options.balancers,
        classes.join(","),
        ["front-2c", "slots-2c"][options.tier],
        options.number,
        options.tier
    )
}

/// A folder of its own below the system's temporary folder, removed by `run.sh`.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::var_os("CASE_FOLDER").map(PathBuf::from);
    folder.unwrap_or_else(|| unable("CASE_FOLDER is not set"))
}

fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| unable(&format!("deploy file: {e}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command
        .unwrap_or_else(|| unable("no `run` in the deploy file"))
        .to_string()
}

fn write_configuration(
    folder: &Path,
    name: &str,
    listen: SocketAddr,
    admin: SocketAddr,
    options: &SidecarOptions<'_>,
) -> PathBuf {
    let seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as u64;
    let text = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"admin_addr\":\"{admin}\",\"discovery\":\"{}\",\"seed\":\"{seed:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}\n",
        options.discovery.address,
        options.memory_mb,
        options.sockets,
        options.known,
        settings(options)
    );
    let path = folder.join(format!("config-{}.json", admin.port()));
    std::fs::write(&path, text).unwrap_or_else(|e| unable(&format!("configuration: {e}")));
    path
}

impl Sidecar {
    /// Starts a sidecar by `run` of the deploy file and waits until it is ready.
    pub fn start(record: &Record, options: &SidecarOptions<'_>) -> Sidecar {
        Sidecar::start_at(record, options, free_address())
    }

    /// Starts a process of the sidecar at a given address, with an operators' address of its own.
    pub fn start_at(record: &Record, options: &SidecarOptions<'_>, listen: SocketAddr) -> Sidecar {
        let folder = temporary_folder();
        let admin = free_address();
        let name = format!("n{}", options.number);
        let shared = folder.join(format!("tmp-{}", listen.port()));
        std::fs::create_dir_all(&shared).unwrap_or_else(|e| unable(&format!("TMPDIR: {e}")));
        let configuration = write_configuration(&folder, &name, listen, admin, options);
        let log = folder.join(format!("log-{}.txt", admin.port()));
        let output = File::create(&log).unwrap_or_else(|e| unable(&format!("log: {e}")));
        let mut command = Command::new("/bin/sh");
        // PR_SET_PDEATHSIG of Linux: the sidecar ends with this program, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command
            .arg("-c")
            .arg(run_command())
            .env("ROUTER_NAME", &name)
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", options.discovery.address.to_string())
            .env("ROUTER_ADMIN_ADDR", admin.to_string())
            .env("ROUTER_CONFIG", &configuration)
            .env("TMPDIR", &shared)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap_or_else(|e| unable(&format!("the sidecar: {e}")));
        STARTED.lock().unwrap().push(child.id());
        let sidecar = Sidecar {
            listen,
            admin,
            child,
            log,
        };
        let deadline = Instant::now() + Duration::from_secs(10);
        while !sidecar.operator("READY").starts_with("YES") {
            if Instant::now() > deadline {
                unable("the sidecar was not ready in 10 s");
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!(
            "platform: the sidecar is ready, process started at operators' port {}",
            admin.port()
        ));
        sidecar
    }

    /// Sends one line to the operators' address and returns the answer; empty if there is none.
    pub fn operator(&self, line: &str) -> String {
        let mut answer = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.admin) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ = stream.write_all(format!("{line}\n").as_bytes());
            let _ = stream.read_to_string(&mut answer);
        }
        answer
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory without mapped files, and the peak of all resident memory, in kB.
    pub fn memory_kb(&self) -> (u64, u64) {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let value = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.split_whitespace().next()?.parse().ok())
                .unwrap_or(0)
        };
        (value("RssAnon:") + value("RssShmem:"), value("VmHWM:"))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED
            .lock()
            .unwrap()
            .retain(|process| *process != self.child.id());
    }
}
