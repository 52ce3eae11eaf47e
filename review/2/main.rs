//! Case 2: a planned restart while clients send bodies of over 64 KiB at 64 kB a second.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Each client sends its body in parts that make 64 kB a second.
const PART: usize = 6_400;
const PART_INTERVAL: Duration = Duration::from_millis(100);
/// The lengths of the bodies in parts: their last bytes are written 1.0, 2.0, 2.8 and 3.2 s after SIGTERM.
const PARTS: [usize; 4] = [20, 30, 38, 42];
/// SIGTERM comes so long after the start of the uploads.
const TERM_AFTER: Duration = Duration::from_millis(1_000);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s where it is longer, plus 0.7 s. The
/// case waits 0.1 s longer.
const KILL_AFTER: Duration = Duration::from_millis(3_800);
/// A request that came later than this after SIGTERM is lost if SIGKILL finds it unanswered.
const EXCUSED: Duration = Duration::from_millis(700);
/// The time from a request's last byte at an endpoint to its answer.
const WORK: Duration = Duration::from_millis(1_200);
const DEADLINE: Duration = Duration::from_millis(6_000);
/// An answer that comes so long after the client's time only earns nothing; later, or never, the request is lost.
const SLACK: Duration = Duration::from_millis(550);

/// The ids of the requests that have come to an endpoint whole.
type Forwarded = Arc<Mutex<Vec<String>>>;

/// An endpoint that answers each complete request with 200 after `WORK`.
fn start_endpoint(record: &Record, name: &'static str, forwarded: &Forwarded) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (record, forwarded) = (record.clone(), forwarded.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, forwarded) = (record.clone(), forwarded.clone());
            thread::spawn(move || serve(stream, &record, name, &forwarded));
        }
    });
    address
}

fn serve(mut stream: TcpStream, record: &Record, name: &str, forwarded: &Forwarded) {
    while let Some(head) = read_head(&mut stream) {
        if answer_probe(&mut stream, &head) {
            continue;
        }
        let id = head.header("x-request-id").unwrap_or("none").to_string();
        let Some(body) = read_body(&mut stream, &head) else {
            record.line(format!("endpoint {name}: request {id} broke off before its last byte"));
            return;
        };
        forwarded.lock().expect("the lock").push(id.clone());
        record.line(format!("endpoint {name}: request {id} has come whole ({} bytes) and runs", body.len()));
        thread::sleep(WORK);
        let text = format!("done {id}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        let is_written = stream.write_all(answer.as_bytes()).is_ok();
        record.line(format!("endpoint {name}: request {id} has run; its answer is written: {is_written}"));
        if !is_written {
            return;
        }
    }
}

/// What a client has seen of its request.
#[derive(Default)]
struct Seen {
    id: String,
    /// The last byte was written, and the sidecar's machine has acknowledged it.
    last_byte_at: Option<Instant>,
    /// The status of the whole answer, and when its last byte came.
    answer: Option<(u16, Instant)>,
}

/// Sends one request whose body has `parts` parts, and reads the answer.
fn run_client(listen: SocketAddr, record: &Record, number: usize, parts: usize, seen: &Mutex<Seen>) {
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = stream.set_nodelay(true);
    let id = new_id();
    seen.lock().expect("the lock").id.clone_from(&id);
    let length = parts * PART;
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: confirm\r\nX-Deadline: {:.3}\r\nContent-Length: {length}\r\n\r\n",
        DEADLINE.as_secs_f64()
    );
    record.line(format!("client {number}: sends request {id}: POST, class confirm, {length} bytes at 64 kB a second"));
    let begun_at = Instant::now();
    let mut is_written = stream.write_all(head.as_bytes()).is_ok();
    for part in 1..=parts {
        thread::sleep((begun_at + PART_INTERVAL * part as u32).saturating_duration_since(Instant::now()));
        is_written = is_written && stream.write_all(&[b'x'; PART]).is_ok();
    }
    if !is_written || !wait_until_acknowledged(&stream) {
        record.line(format!("client {number}: the connection ended before the last byte of {id} was written"));
        return;
    }
    let last_byte_at = Instant::now();
    seen.lock().expect("the lock").last_byte_at = Some(last_byte_at);
    record.line(format!("client {number}: the last byte of {id} is written and acknowledged"));
    let _ = stream.set_read_timeout(Some(DEADLINE + SLACK));
    match read_answer(&mut stream) {
        Some(Answer { status, body }) => {
            record.line(format!("client {number}: whole answer {status} to {id}: {}", String::from_utf8_lossy(&body)));
            seen.lock().expect("the lock").answer = Some((status, Instant::now()));
        }
        None => record.line(format!("client {number}: the connection has ended, or the time is over, without a whole answer to {id}")),
    }
}

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let forwarded = Forwarded::default();
    let endpoints = ["s-1", "s-2", "s-3", "s-4"].map(|name| (name, start_endpoint(&record, name, &forwarded)));
    let site = seoul_booking();
    let discovery = Discovery::start(&site, &endpoints);
    let (case, mut sidecar) = start_or_end(case, &site, discovery.address);
    thread::sleep(Duration::from_millis(1_000));

    let seen: Vec<Arc<Mutex<Seen>>> = PARTS.iter().map(|_| Arc::default()).collect();
    let begun_at = Instant::now();
    let clients: Vec<_> = PARTS
        .iter()
        .enumerate()
        .map(|(number, parts)| {
            let (listen, record, seen, parts) = (sidecar.listen, record.clone(), seen[number].clone(), *parts);
            thread::spawn(move || run_client(listen, &record, number + 1, parts, &seen))
        })
        .collect();
    let mut term_at = None;
    if case.trouble {
        thread::sleep((begun_at + TERM_AFTER).saturating_duration_since(Instant::now()));
        sidecar.signal(SIGTERM);
        let at = Instant::now();
        term_at = Some(at);
        if !sidecar.wait_for_end((at + KILL_AFTER).saturating_duration_since(Instant::now())) {
            sidecar.signal(SIGKILL);
            sidecar.wait_for_end(Duration::from_secs(2));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    sidecar.record_log(&case);
    drop(sidecar);

    let forwarded = forwarded.lock().expect("the lock").clone();
    let (mut taken, mut lost) = (0, 0);
    for (number, seen) in seen.iter().enumerate() {
        let seen = seen.lock().expect("the lock");
        let Some(last_byte_at) = seen.last_byte_at else { continue };
        // Two excuses: a request that came early, and the first one on a connection that was not sent on.
        let is_excused = term_at.is_some_and(|at| last_byte_at < at + EXCUSED) || !forwarded.contains(&seen.id);
        if is_excused {
            continue;
        }
        taken += 1;
        if seen.answer.is_none_or(|(_, at)| at > last_byte_at + DEADLINE + SLACK) {
            lost += 1;
            record.line(format!("request of client {}: taken and never answered: lost", number + 1));
        }
    }
    record.line(format!("taken and not excused: {taken}; lost: {lost}"));
    case.end(match (taken, lost) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    });
}
