//! What the cases share: the sidecar's process, a stand-in for discovery, the record, and small HTTP helpers. Only the
//! standard library is used, and every address is a loopback address.

#![allow(dead_code)]

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicI32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// A case that runs longer than this ends itself and the sidecar.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// The process id of the sidecar, or 0.
static SIDECAR: AtomicI32 = AtomicI32::new(0);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The verdict of a case, as the exit code of its script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// Seconds since the start of the case, and the lines of `record.txt`.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("the record cannot be created: {error}");
            exit(Verdict::CouldNotRun as i32)
        });
        Record {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.started_at.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().expect("the lock").write_all(line.as_bytes());
        print!("{line}");
    }
}

/// The folder of a case, its record and a temporary folder, which is removed at the end.
pub struct Case {
    pub folder: PathBuf,
    pub record: Record,
    pub temporary: PathBuf,
    /// False with `TROUBLE=0`: the disruption is left out.
    pub trouble: bool,
}

impl Case {
    /// The first argument is the folder of the case. The working folder is the root of the repository.
    pub fn begin() -> Self {
        let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let record = Record::create(&folder.join("record.txt"));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let temporary = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        if let Err(error) = std::fs::create_dir_all(&temporary) {
            record.line(format!("could not run: no temporary folder: {error}"));
            exit(Verdict::CouldNotRun as i32);
        }
        record.line(format!("the disruption is {}", if trouble { "on" } else { "off (TROUBLE=0)" }));
        let late = record.clone();
        thread::spawn(move || {
            thread::sleep(LONGEST_RUN);
            let sidecar = SIDECAR.load(Ordering::SeqCst);
            if sidecar > 0 {
                unsafe { kill(sidecar, SIGKILL) };
            }
            late.line("could not run: the case takes too long");
            exit(Verdict::CouldNotRun as i32)
        });
        Case { folder, record, temporary, trouble }
    }

    pub fn end(self, verdict: Verdict) -> ! {
        let text = match verdict {
            Verdict::Held => "the rule held",
            Verdict::Broken => "the rule was broken",
            Verdict::CouldNotRun => "the case could not run",
        };
        self.record.line(format!("verdict {}: {text}", verdict as i32));
        let _ = std::fs::remove_dir_all(&self.temporary);
        exit(verdict as i32)
    }
}

/// A free port on loopback.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}

// ---- The sidecar ------------------------------------------------------------------------------------------------

/// A request class, in the words of the settings. Times are in milliseconds.
pub struct Class {
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`.
    pub effect: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub worth: u64,
}

impl Class {
    fn json(&self) -> String {
        let Class { name, effect, aim_ms, deadline_ms, worth } = self;
        format!(
            r#"{{"name":"{name}","effect":"{effect}","keyScope":"all","memorySpanNs":5000000000,"worth":{worth}.0,
   "objectiveNs":{aim_ms}000000,"hardLimitNs":{deadline_ms}000000,"lateShare":0.0,"stream":false}}"#
        )
    }
}

/// The settings of a site, as its site file gives them.
pub struct Site {
    pub classes: Vec<Class>,
    pub zone: &'static str,
    pub zones: &'static [&'static str],
    /// `subscribe` or `automatic`.
    pub discovery: &'static str,
    pub connect_timeout_ms: u64,
    pub idle_ms: u64,
    pub cancel: bool,
    pub parallel_tries: bool,
    pub send_cap: u64,
    pub probes: bool,
    pub marks_retry: bool,
    pub passes_deadline: bool,
    /// The settings `report`, `fees`, `stages` and `models`, as JSON.
    pub report: &'static str,
    pub fees: &'static str,
    pub stages: &'static str,
    pub models: &'static str,
    pub drain_grace_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub memory_mb: u64,
    pub sockets: u64,
}

/// The site of the kit, with the limits that the operators' reports show.
pub fn seoul_booking() -> Site {
    Site {
        classes: vec![
            Class { name: "clinic-list", effect: "free", aim_ms: 1_200, deadline_ms: 3_000, worth: 1 },
            Class { name: "slot-search", effect: "free", aim_ms: 2_500, deadline_ms: 6_000, worth: 1 },
            Class { name: "hold-slot", effect: "free", aim_ms: 2_500, deadline_ms: 6_000, worth: 5 },
            Class { name: "confirm", effect: "single_shot", aim_ms: 2_500, deadline_ms: 6_000, worth: 10 },
        ],
        zone: "gasan",
        zones: &["gasan"],
        discovery: "subscribe",
        connect_timeout_ms: 150,
        idle_ms: 30_000,
        cancel: true,
        parallel_tries: true,
        send_cap: 6,
        probes: true,
        marks_retry: true,
        passes_deadline: true,
        report: r#"{"fields":["load_share","depth"],"how":"on_probe"}"#,
        fees: r#"{"crossZone":0.0,"waste":0.13,"probe":0.01,"peer":0.0,"lateFail":0.02}"#,
        stages: r#"["front","slots"]"#,
        models: r#"["front-2c"]"#,
        drain_grace_ms: 2_000,
        fall_multiple: 3.0,
        fall_ms: 2_000,
        memory_mb: 48,
        sockets: 384,
    }
}

/// The deployment in `deploy/sites/harbour-ledger.toml`.
pub fn harbour_ledger() -> Site {
    Site {
        classes: vec![
            Class { name: "read-ledger", effect: "free", aim_ms: 1_500, deadline_ms: 3_500, worth: 1 },
            Class { name: "post-entry", effect: "single_shot", aim_ms: 1_200, deadline_ms: 4_000, worth: 6 },
        ],
        zone: "north-quay",
        zones: &["north-quay", "south-quay", "dry-dock"],
        discovery: "automatic",
        connect_timeout_ms: 300,
        idle_ms: 15_000,
        cancel: false,
        parallel_tries: false,
        send_cap: 2,
        probes: false,
        marks_retry: false,
        passes_deadline: false,
        report: r#"{"fields":["mean_ms","load_share"],"how":"inline"}"#,
        fees: r#"{"crossZone":0.12,"waste":0.1,"probe":0.01,"peer":0.0,"lateFail":0.08,"handshake":0.05}"#,
        stages: r#"["gate","ledger"]"#,
        models: r#"["gate-a","gate-b","gate-c"]"#,
        drain_grace_ms: 2_500,
        fall_multiple: 2.5,
        fall_ms: 3_000,
        memory_mb: 48,
        sockets: 384,
    }
}

pub struct Sidecar {
    pub listen: SocketAddr,
    pub configuration: PathBuf,
    child: Child,
    record: Record,
}

/// The command `run` of the deploy file.
fn run_command() -> Option<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = text.lines().find(|line| line.trim_start().starts_with("run"))?;
    let (_, value) = line.split_once('=')?;
    Some(value.trim().trim_matches('"').to_string())
}

pub fn configuration(site: &Site, listen: SocketAddr, discovery: SocketAddr) -> String {
    let classes: Vec<String> = site.classes.iter().map(Class::json).collect();
    let zones: Vec<String> = site.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
 "settings":{{"balancers":1,"myNumber":0,"zone":"{zone}","dcs":[{zones}],"tier":0,"stages":{stages},
  "granularityNs":5000000,"discovery":"{mode}","weightSource":"off","worthBy":"work","overShareWorth":0.1,
  "customers":[],"fees":{fees},"family":"chain","familyInfo":{{"passesDeadline":{passes_deadline}}},
  "clientHabits":{{"marksRetry":{marks_retry}}},"models":{models},"report":{report},
  "scoringMix":{{"whole":0.55,"worstClass":0.3,"worstTenant":0.0,"worstWindow":0.15}},
  "bounds":{{"cancel":{cancel},"connIdleNs":{idle}000000,"connectTimeoutNs":{connect}000000,"cpuUsPerRequest":0.0,
   "cpuUsPerS":500000,"maxOpen":20000,"maxRetryAfterNs":2000000000,"maxStreams":1,"mayTell":false,
   "parallelTries":{parallel},"probes":{probes},"retryAfter":true,"sendCap":{send_cap}}},
  "rules":{{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldFrom":0.16,"drainGraceNs":{grace}000000,
   "fallMultiple":{fall_multiple:?},"fallNs":{fall}000000,"warmWithinNs":24000000000}},
  "categories":[{classes}]}}}}"#,
        memory = site.memory_mb,
        sockets = site.sockets,
        zone = site.zone,
        zones = zones.join(","),
        mode = site.discovery,
        stages = site.stages,
        fees = site.fees,
        passes_deadline = site.passes_deadline,
        marks_retry = site.marks_retry,
        models = site.models,
        report = site.report,
        probes = site.probes,
        fall_multiple = site.fall_multiple,
        fall = site.fall_ms,
        cancel = site.cancel,
        idle = site.idle_ms,
        connect = site.connect_timeout_ms,
        parallel = site.parallel_tries,
        send_cap = site.send_cap,
        grace = site.drain_grace_ms,
        classes = classes.join(",\n   "),
    )
}

impl Sidecar {
    /// Starts a sidecar by the command of the deploy file, as the platform does.
    pub fn start(case: &Case, site: &Site, discovery: SocketAddr) -> io::Result<Self> {
        let command = run_command().ok_or_else(|| io::Error::other("no run command in the deploy file"))?;
        let listen = free_address();
        let path = case.temporary.join("config.json");
        std::fs::write(&path, configuration(site, listen, discovery))?;
        let temporary = case.temporary.join("tmp");
        std::fs::create_dir_all(&temporary)?;
        let log = File::create(case.temporary.join("sidecar.log"))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &path)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0)
            .spawn()?;
        SIDECAR.store(child.id() as i32, Ordering::SeqCst);
        case.record.line(format!("started the sidecar with `{command}`, pid {}, callers' address {listen}", child.id()));
        Ok(Sidecar { listen, configuration: path, child, record: case.record.clone() })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(format!("signal {signal} to the sidecar"));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until `GET /ready` answers 200.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let request = "GET /ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
                let mut answer = [0; 64];
                if stream.write_all(request.as_bytes()).is_ok()
                    && let Ok(length) = stream.read(&mut answer)
                    && answer[..length].starts_with(b"HTTP/1.1 200")
                {
                    self.record.line("GET /ready answers 200");
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits for the end of the process. Returns whether it has ended by then.
    pub fn wait_for_end(&mut self, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                SIDECAR.store(0, Ordering::SeqCst);
                self.record.line(format!("the sidecar has ended: {status}"));
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns a figure of `/proc/PID/status` in kB, such as `VmHWM` or `VmRSS`.
    pub fn memory_kb(&self, name: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Copies the end of the sidecar's log into the record.
    pub fn record_log(&self, case: &Case) {
        let text = std::fs::read_to_string(case.temporary.join("sidecar.log")).unwrap_or_default();
        for line in text.lines() {
            case.record.line(format!("sidecar's log: {line}"));
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        SIDECAR.store(0, Ordering::SeqCst);
    }
}

// ---- Discovery --------------------------------------------------------------------------------------------------

/// A stand-in for discovery: full lists and watches of one list, which does not change.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    /// Lists these endpoints as serving since long ago.
    pub fn start(site: &Site, endpoints: &[(&str, SocketAddr)]) -> Self {
        let zone = site.zone;
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let entries: Vec<String> = endpoints
            .iter()
            .map(|(name, address)| {
                format!(r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"front-2c","group":0,"status":"SERVING","weight":1.0,"since_ms":0}}"#)
            })
            .collect();
        let list = format!(r#"{{"index":41,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                thread::spawn(move || serve_discovery(stream, &list));
            }
        });
        Discovery { address }
    }
}

fn serve_discovery(mut stream: TcpStream, list: &str) {
    while let Some(request) = read_head(&mut stream) {
        if !request.head.contains("follow=1") {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let line = format!("{list}\n");
        let start = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
        if stream.write_all(start.as_bytes()).is_err() {
            return;
        }
        loop {
            thread::sleep(Duration::from_secs(2));
            if stream.write_all(b"1\r\n\n\r\n").is_err() {
                return;
            }
        }
    }
}

// ---- HTTP -------------------------------------------------------------------------------------------------------

/// A message's head, and the bytes of its body that came with it.
pub struct Head {
    pub head: String,
    pub rest: Vec<u8>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn content_length(&self) -> usize {
        self.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.head.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// Reads one head. Returns `None` at the end of the stream, at an error or at the stream's read timeout.
pub fn read_head(stream: &mut TcpStream) -> Option<Head> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return Some(Head { head: String::from_utf8_lossy(&bytes).into_owned(), rest });
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    }
}

/// Reads the rest of a body of a known length. Returns it if it is complete.
pub fn read_body(stream: &mut TcpStream, head: &Head) -> Option<Vec<u8>> {
    let mut body = head.rest.clone();
    let length = head.content_length();
    let mut buffer = vec![0; 64 << 10];
    while body.len() < length {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => body.extend_from_slice(&buffer[..read]),
            _ => return None,
        }
    }
    Some(body)
}

/// Answers a health check with a load report, as an endpoint does where probes are allowed. Returns false for another
/// request.
pub fn answer_probe(stream: &mut TcpStream, head: &Head) -> bool {
    if !head.head.starts_with("GET /status/load ") {
        return false;
    }
    let report = "TEXT util=0.20, queue=0";
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{report}", report.len());
    let _ = stream.write_all(answer.as_bytes());
    true
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request id that was not used before.
pub fn new_id() -> String {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    format!("{:016x}", nanos.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// An answer that a client has received whole.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reads one answer, whose body has a length or is chunked. Returns `None` if it does not come whole.
pub fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let head = read_head(stream)?;
    let status = head.status();
    let is_chunked = head.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let body = if is_chunked { read_chunks(stream, head.rest)? } else { read_body(stream, &head)? };
    Some(Answer { status, body })
}

fn read_chunks(stream: &mut TcpStream, mut bytes: Vec<u8>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        let mut rest = &bytes[..];
        while let Some(end) = rest.windows(2).position(|window| window == b"\r\n") {
            let size = std::str::from_utf8(&rest[..end]).ok()?.split(';').next()?.trim();
            let size = usize::from_str_radix(size, 16).ok()?;
            let Some(chunk) = rest.get(end + 2..end + 2 + size + 2) else { break };
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
            rest = &rest[end + 2 + size + 2..];
        }
        bytes = rest.to_vec();
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
            _ => return None,
        }
    }
}

/// Returns whether the sidecar's machine has acknowledged every byte that was written to this connection, as the
/// kernel's table of connections says.
pub fn is_acknowledged(stream: &TcpStream) -> bool {
    let Ok(address) = stream.local_addr() else { return false };
    let Ok(table) = std::fs::read_to_string("/proc/net/tcp") else { return false };
    let port = format!(":{:04X}", address.port());
    table.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_this = fields.next().is_some_and(|local| local.ends_with(&port));
        is_this && fields.nth(2).is_some_and(|queues| queues.starts_with("00000000:"))
    })
}

/// Waits until the sidecar's machine has acknowledged every byte. Returns whether it has done so within 2 s.
pub fn wait_until_acknowledged(stream: &TcpStream) -> bool {
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        if is_acknowledged(stream) {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Starts a sidecar and waits until it is ready. Ends the case if that fails.
pub fn start_or_end(case: Case, site: &Site, discovery: SocketAddr) -> (Case, Sidecar) {
    match Sidecar::start(&case, site, discovery) {
        Ok(sidecar) if sidecar.wait_until_ready() => (case, sidecar),
        Ok(sidecar) => {
            case.record.line("the sidecar does not become ready");
            sidecar.record_log(&case);
            drop(sidecar);
            case.end(Verdict::CouldNotRun)
        }
        Err(error) => {
            case.record.line(format!("the sidecar could not be started: {error}"));
            case.end(Verdict::CouldNotRun)
        }
    }
}
