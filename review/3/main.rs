//! Case 3: one endpoint of twenty hangs while clients send bodies of over 64 KiB.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const BODY: usize = 100_000;
/// The client's time: 80% of the class's 4 s.
const DEADLINE: Duration = Duration::from_millis(3_200);
/// An answer that comes so long after the client's time only earns nothing; later, or never, the request is lost.
const SLACK: Duration = Duration::from_millis(550);
const WORK: Duration = Duration::from_millis(100);
const CLIENTS: usize = 8;
const ENDPOINTS: usize = 20;

/// An endpoint. While it hangs, its machine accepts connections and the process reads and answers nothing.
#[derive(Clone)]
struct Endpoint {
    name: String,
    address: SocketAddr,
    hangs: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
}

impl Endpoint {
    fn start(record: &Record, name: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let endpoint = Endpoint { name, address, hangs: Arc::default(), served: Arc::default() };
        let (record, accepting) = (record.clone(), endpoint.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, endpoint) = (record.clone(), accepting.clone());
                thread::spawn(move || endpoint.serve(stream, &record));
            }
        });
        endpoint
    }

    fn wait_while_hanging(&self) {
        while self.hangs.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        loop {
            self.wait_while_hanging();
            let Some(head) = read_head(&mut stream) else { return };
            self.wait_while_hanging();
            let id = head.header("x-request-id").unwrap_or("none").to_string();
            if read_body(&mut stream, &head).is_none() {
                return;
            }
            thread::sleep(WORK);
            self.wait_while_hanging();
            let text = format!("done {id}");
            let answer = format!("HTTP/1.1 200 OK\r\nX-Load: TEXT latency_ms=100, util=0.20\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            self.served.fetch_add(1, Ordering::SeqCst);
            record.line(format!("endpoint {}: has run and answered {id}", self.name));
        }
    }
}

/// Sends small requests, so that it shows which endpoints the sidecar uses.
fn warm_up(listen: SocketAddr, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(listen) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    for _ in 0..8 {
        let id = new_id();
        let request = format!(
            "GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: read-ledger\r\nX-Deadline: 3.500\r\n\r\n"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return;
        }
        record.line(format!("first client: has sent request {id}: GET, class read-ledger"));
        let Some(answer) = read_answer(&mut stream) else { return };
        record.line(format!("first client: whole answer {} to {id}", answer.status));
    }
}

/// Sends one request with a large body. Returns whether it was taken, and whether it was answered in time.
fn run_client(listen: SocketAddr, record: &Record, number: usize) -> (bool, bool) {
    let Ok(mut stream) = TcpStream::connect(listen) else { return (false, false) };
    let _ = stream.set_nodelay(true);
    let id = new_id();
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\nX-Class: post-entry\r\nX-Deadline: {:.3}\r\nContent-Length: {BODY}\r\n\r\n",
        DEADLINE.as_secs_f64()
    );
    let is_written = stream.write_all(head.as_bytes()).is_ok() && stream.write_all(&vec![b'x'; BODY]).is_ok();
    let last_byte_at = Instant::now();
    if !is_written || !wait_until_acknowledged(&stream) {
        record.line(format!("client {number}: the last byte of {id} could not be written"));
        return (false, false);
    }
    record.line(format!("client {number}: request {id} is written to its last byte and acknowledged: POST, {BODY} bytes, {:.1} s", DEADLINE.as_secs_f64()));
    let time_left = (last_byte_at + DEADLINE + SLACK).saturating_duration_since(Instant::now());
    let _ = stream.set_read_timeout(Some(time_left));
    let answer = read_answer(&mut stream);
    let waited = last_byte_at.elapsed().as_secs_f64();
    match &answer {
        Some(answer) => record.line(format!("client {number}: whole answer {} to {id} after {waited:.3} s", answer.status)),
        None => record.line(format!("client {number}: no answer to {id} after {waited:.3} s; the client waits on only to record what comes")),
    }
    let is_answered = answer.is_some();
    if !is_answered {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let late = read_answer(&mut stream);
        let waited = last_byte_at.elapsed().as_secs_f64();
        record.line(format!("client {number}: {} to {id} after {waited:.3} s", late.map_or("nothing".into(), |late| format!("answer {}", late.status))));
    }
    (true, is_answered)
}

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let endpoints: Vec<Endpoint> = (1..=ENDPOINTS).map(|number| Endpoint::start(&record, format!("s-{number}"))).collect();
    let list: Vec<_> = endpoints.iter().map(|endpoint| (&endpoint.name[..], endpoint.address)).collect();
    let site = harbour_ledger();
    let discovery = Discovery::start(&site, &list);
    let (case, sidecar) = start_or_end(case, &site, discovery.address);
    warm_up(sidecar.listen, &record);
    thread::sleep(Duration::from_millis(500));
    if case.trouble {
        // One of the endpoints that the sidecar uses. Any of them may hang.
        let hanging = endpoints.iter().max_by_key(|endpoint| endpoint.served.load(Ordering::SeqCst));
        if let Some(endpoint) = hanging {
            endpoint.hangs.store(true, Ordering::SeqCst);
            record.line(format!("endpoint {} hangs from now on: one of {ENDPOINTS}", endpoint.name));
        }
    }
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let (listen, record) = (sidecar.listen, record.clone());
            thread::spawn(move || run_client(listen, &record, number))
        })
        .collect();
    let results: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    sidecar.record_log(&case);
    drop(sidecar);
    let taken = results.iter().filter(|(is_taken, _)| *is_taken).count();
    let lost = results.iter().filter(|(is_taken, is_answered)| *is_taken && !*is_answered).count();
    record.line(format!("taken: {taken}; without an answer up to half a second after the client's time: {lost}"));
    case.end(match (taken, lost) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    });
}
