//! Case 1: long answers of endpoints break off in their first piece.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The length of a long answer, and of the part of it that is written before it breaks off.
const LENGTH: usize = 100_000;
const FIRST_PIECE: usize = 4_000;
/// One long answer in so many breaks off.
const BREAKS_ONE_IN: usize = 3;
const WORK: Duration = Duration::from_millis(100);
const CLIENTS: usize = 4;
const REQUESTS: usize = 20;
/// The client's time, and half a second more, in which an answer only earns nothing.
const DEADLINE: Duration = Duration::from_millis(6_000);
const SLACK: Duration = Duration::from_millis(550);

/// What the endpoints have run: the ids of requests, in order.
#[derive(Clone, Default)]
struct Runs {
    ids: Arc<Mutex<Vec<String>>>,
    long_answers: Arc<AtomicUsize>,
}

fn start_endpoint(record: &Record, name: &'static str, breaks: bool, runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (record, runs) = (record.clone(), runs.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || serve(stream, &record, name, breaks, &runs));
        }
    });
    address
}

fn serve(mut stream: TcpStream, record: &Record, name: &str, breaks: bool, runs: &Runs) {
    let _ = stream.set_nodelay(true);
    while let Some(head) = read_head(&mut stream) {
        if answer_probe(&mut stream, &head) {
            continue;
        }
        let id = head.header("x-request-id").unwrap_or("none").to_string();
        if read_body(&mut stream, &head).is_none() {
            return;
        }
        thread::sleep(WORK);
        runs.ids.lock().expect("the lock").push(id.clone());
        let number = runs.long_answers.fetch_add(1, Ordering::SeqCst) + 1;
        let mut answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n").into_bytes();
        if breaks && number.is_multiple_of(BREAKS_ONE_IN) {
            answer.resize(answer.len() + FIRST_PIECE, b'.');
            let _ = stream.write_all(&answer);
            record.line(format!("endpoint {name}: {id} has run; its answer breaks off after {FIRST_PIECE} of {LENGTH} bytes"));
            return; // closes the connection
        }
        answer.resize(answer.len() + LENGTH, b'.');
        if stream.write_all(&answer).is_err() {
            return;
        }
        record.line(format!("endpoint {name}: {id} has run; its answer is written whole"));
    }
}

/// The result of one request, as the client sees it.
enum Outcome {
    /// A whole answer.
    Whole(u16),
    /// An answer whose beginning came, and that the client can tell is not whole.
    CutOff,
    /// The sidecar closed the connection without a byte of an answer.
    ClosedWithoutAnswer,
    /// Nothing came up to half a second after the client's time.
    Silence,
}

fn send(stream: &mut TcpStream, id: &str) -> bool {
    let body = "slot=7";
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: confirm\r\nX-Deadline: {:.3}\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_secs_f64(),
        body.len()
    );
    stream.write_all(request.as_bytes()).is_ok()
}

fn receive(stream: &mut TcpStream) -> Outcome {
    let _ = stream.set_read_timeout(Some(DEADLINE + SLACK));
    let mut first = [0; 1];
    match stream.peek(&mut first) {
        Ok(0) => return Outcome::ClosedWithoutAnswer,
        Ok(_) => {}
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return Outcome::ClosedWithoutAnswer,
        Err(_) => return Outcome::Silence,
    }
    read_answer(stream).map_or(Outcome::CutOff, |answer| Outcome::Whole(answer.status))
}

/// Sends requests one after another on a connection that it keeps. Returns the ids of those whose connection was closed
/// without an answer, or that got none in time.
fn run_client(listen: SocketAddr, record: &Record, number: usize) -> Vec<String> {
    let mut unanswered = Vec::new();
    let mut kept: Option<TcpStream> = None;
    for _ in 0..REQUESTS {
        let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(listen).ok()) else { continue };
        let id = new_id();
        // A close between requests may cross the request. It is then not known that the sidecar has read it.
        let mut byte = [0; 1];
        let _ = stream.set_nonblocking(true);
        let is_closed = matches!(stream.read(&mut byte), Ok(0));
        let _ = stream.set_nonblocking(false);
        if is_closed {
            let Ok(new) = TcpStream::connect(listen) else { continue };
            stream = new;
        }
        if !send(&mut stream, &id) {
            continue;
        }
        record.line(format!("client {number}: has sent request {id}: POST, class confirm"));
        match receive(&mut stream) {
            Outcome::Whole(status) => {
                record.line(format!("client {number}: whole answer {status} to {id}"));
                kept = Some(stream);
            }
            Outcome::CutOff => record.line(format!("client {number}: the answer to {id} is cut off; the client can tell: failed")),
            Outcome::ClosedWithoutAnswer => {
                record.line(format!("client {number}: the connection is closed without a byte of an answer to {id}"));
                unanswered.push(id);
            }
            Outcome::Silence => {
                record.line(format!("client {number}: no answer to {id}"));
                unanswered.push(id);
            }
        }
    }
    unanswered
}

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let runs = Runs::default();
    let endpoints = ["s-1", "s-2", "s-3", "s-4"].map(|name| (name, start_endpoint(&record, name, case.trouble, &runs)));
    let site = seoul_booking();
    let discovery = Discovery::start(&site, &endpoints);
    let (case, mut sidecar) = start_or_end(case, &site, discovery.address);
    thread::sleep(Duration::from_millis(500));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let (listen, record) = (sidecar.listen, record.clone());
            thread::spawn(move || run_client(listen, &record, number))
        })
        .collect();
    let unanswered: Vec<String> = clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    let has_ended = sidecar.has_ended();
    sidecar.record_log(&case);
    drop(sidecar);
    let ids = runs.ids.lock().expect("the lock").clone();
    // Only requests that an endpoint has run: the sidecar has read them and sent them on.
    let lost: Vec<&String> = unanswered.iter().filter(|id| ids.contains(id)).collect();
    for id in &lost {
        record.line(format!("request {id}: run by an endpoint, closed without an answer: lost"));
    }
    let broken = if case.trouble { ids.len() / BREAKS_ONE_IN } else { 0 };
    record.line(format!("requests run: {}; answers that broke off: {broken}; lost: {}", ids.len(), lost.len()));
    case.end(if has_ended || ids.is_empty() {
        Verdict::CouldNotRun
    } else if lost.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    });
}
