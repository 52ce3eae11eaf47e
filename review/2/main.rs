//! Case 2: endpoints that write their long answers slowly, in small pieces and with no length in the head.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An answer has 64 pieces of 2,000 bytes, which makes 128 kB.
const PIECES: usize = 64;
const PIECE: usize = 2_000;
/// The time between two pieces: at 64 kB a second with the disruption, at once without it.
const SLOW: Duration = Duration::from_micros(31_250);
/// The time from a request's last byte at an endpoint to the first byte of its answer.
const WORK: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_millis(4_000);
const CLIENTS: usize = 4;

/// What an endpoint has done with a request.
#[derive(Clone, Debug)]
struct Run {
    id: String,
    /// Pieces of the answer that were written before the sidecar ended the connection.
    pieces: usize,
}

type Runs = Arc<Mutex<Vec<Run>>>;

fn start_endpoint(record: &Record, name: &'static str, interval: Duration, runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (record, runs) = (record.clone(), runs.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || serve(stream, &record, name, interval, &runs));
        }
    });
    address
}

fn piece(id: &str, number: usize) -> Vec<u8> {
    let mut text = format!("{id} {number} ").into_bytes();
    text.resize(PIECE, b'.');
    text
}

fn whole_body(id: &str) -> Vec<u8> {
    (0..PIECES).flat_map(|number| piece(id, number)).collect()
}

fn serve(mut stream: TcpStream, record: &Record, name: &str, interval: Duration, runs: &Runs) {
    let _ = stream.set_nodelay(true);
    while let Some(head) = read_head(&mut stream) {
        let id = head.header("x-request-id").unwrap_or("none").to_string();
        if read_body(&mut stream, &head).is_none() {
            return;
        }
        thread::sleep(WORK);
        record.line(format!("endpoint {name}: request {id} has run; its answer of {} bytes begins", PIECES * PIECE));
        let begun_at = Instant::now();
        let mut pieces = 0;
        let mut is_open = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_ok();
        while is_open && pieces < PIECES {
            let mut chunk = format!("{PIECE:x}\r\n").into_bytes();
            chunk.extend_from_slice(&piece(&id, pieces));
            chunk.extend_from_slice(b"\r\n");
            is_open = stream.write_all(&chunk).is_ok();
            if is_open {
                pieces += 1;
                thread::sleep((begun_at + interval * pieces as u32).saturating_duration_since(Instant::now()));
            }
        }
        is_open = is_open && stream.write_all(b"0\r\n\r\n").is_ok();
        runs.lock().expect("the lock").push(Run { id: id.clone(), pieces });
        if !is_open {
            record.line(format!("endpoint {name}: the sidecar cut the answer to {id} off after {pieces} of {PIECES} pieces"));
            return;
        }
        record.line(format!("endpoint {name}: the answer to {id} is written whole"));
    }
}

/// Sends one request. Returns its id and the whole answer, if it came.
fn run_client(listen: SocketAddr, record: &Record, number: usize) -> Option<(String, Option<Answer>)> {
    let mut stream = TcpStream::connect(listen).ok()?;
    let id = new_id();
    let body = "account=7&amount=1";
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: post-entry\r\nX-Deadline: {:.3}\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_secs_f64(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    record.line(format!("client {number}: has sent request {id}: POST, class post-entry, {:.1} s", DEADLINE.as_secs_f64()));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let answer = read_answer(&mut stream);
    match &answer {
        Some(answer) => record.line(format!("client {number}: whole answer {} to {id}, {} bytes", answer.status, answer.body.len())),
        None => record.line(format!("client {number}: no whole answer to {id}")),
    }
    Some((id, answer))
}

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let interval = if case.trouble { SLOW } else { Duration::ZERO };
    let runs = Runs::default();
    let endpoints = ["s-1", "s-2", "s-3", "s-4"].map(|name| (name, start_endpoint(&record, name, interval, &runs)));
    let site = harbour_ledger();
    let discovery = Discovery::start(&site, &endpoints);
    let (case, sidecar) = start_or_end(case, &site, discovery.address);
    thread::sleep(Duration::from_millis(1_000));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let (listen, record) = (sidecar.listen, record.clone());
            thread::spawn(move || run_client(listen, &record, number))
        })
        .collect();
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    thread::sleep(Duration::from_millis(500)); // the endpoints notice the ends of their connections
    sidecar.record_log(&case);
    drop(sidecar);

    let runs = runs.lock().expect("the lock").clone();
    let (mut begun, mut lost) = (0, 0);
    for (id, answer) in &answers {
        let Some(run) = runs.iter().find(|run| run.id == *id) else { continue };
        begun += 1;
        let is_served = answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.body == whole_body(id));
        if !is_served && run.pieces < PIECES {
            lost += 1;
            let status = answer.as_ref().map_or("none".into(), |answer| answer.status.to_string());
            record.line(format!("request {id}: run, cut off after {} of {PIECES} pieces, answer to the client {status}: lost", run.pieces));
        }
    }
    record.line(format!("requests whose answers had begun: {begun}; cut off and lost: {lost}"));
    case.end(match (begun, lost) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    });
}
