//! The open-loop callers against a stub server.

use fleet_lab::caller::{LoadPlan, LoadTarget, TargetResult, run};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long a test waits for anything at most.
const TIMEOUT: Duration = Duration::from_secs(20);
const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

/// A received request, with its number on its connection and over all connections.
#[derive(Clone, Debug)]
struct Request {
    on_connection: usize,
    overall: usize,
    head: String,
    body: String,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        let line = self
            .head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.expect("the header is there")
    }
}

/// The reaction of the server to a request.
enum Reaction {
    Answer(String),
    AnswerAndClose(String),
    Close,
    NoAnswer,
}

/// All requests that the server has received.
#[derive(Default)]
struct Requests {
    list: Mutex<Vec<Request>>,
    changed: Condvar,
}

impl Requests {
    fn wait_for(&self, count: usize) {
        let list = self.list.lock().expect("the list");
        let (_list, timeout) = self
            .changed
            .wait_timeout_while(list, TIMEOUT, |list| list.len() < count)
            .expect("the list");
        assert!(!timeout.timed_out(), "{count} requests were not received");
    }
}

struct StubServer {
    address: SocketAddr,
    requests: Arc<Requests>,
    stop: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl StubServer {
    fn start(react: impl Fn(&Request, &Requests) -> Reaction + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (requests, stop) = (
            Arc::new(Requests::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let (react, received, stop_flag) = (Arc::new(react), requests.clone(), stop.clone());
        let acceptor = thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if stop_flag.load(Ordering::Relaxed) {
                    return;
                }
                let (react, received) = (react.clone(), received.clone());
                thread::spawn(move || serve_connection(stream, &*react, &received));
            }
        });
        StubServer {
            address,
            requests,
            stop,
            acceptor: Some(acceptor),
        }
    }

    fn received(&self) -> Vec<Request> {
        self.requests.list.lock().expect("the list").clone()
    }
}

impl Drop for StubServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address); // wakes the acceptor
        let _ = self.acceptor.take().expect("it is joined once").join();
    }
}

fn serve_connection(
    stream: TcpStream,
    react: &dyn Fn(&Request, &Requests) -> Reaction,
    received: &Requests,
) {
    let mut reader = BufReader::new(stream);
    for on_connection in 0.. {
        let Some((head, body)) = read_request(&mut reader) else {
            return;
        };
        let mut list = received.list.lock().expect("the list");
        let request = Request {
            on_connection,
            overall: list.len(),
            head,
            body,
        };
        list.push(request.clone());
        received.changed.notify_all();
        drop(list);
        let (answer, closes) = match react(&request, received) {
            Reaction::Answer(answer) => (answer, false),
            Reaction::AnswerAndClose(answer) => (answer, true),
            Reaction::Close => return,
            Reaction::NoAnswer => continue, // the next read returns at the end of the connection
        };
        if reader.get_mut().write_all(answer.as_bytes()).is_err() || closes {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        reader
            .read_line(&mut head)
            .ok()
            .filter(|length| *length > 0)?;
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a length"))];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).expect("text")))
}

fn target(address: SocketAddr) -> LoadTarget {
    LoadTarget {
        address,
        calls_per_second: 200.0,
        class: "browse".into(),
        is_unsafe: false,
        deadline: Duration::from_secs(10),
    }
}

fn run_load(targets: Vec<LoadTarget>) -> Vec<TargetResult> {
    let plan = LoadPlan {
        targets,
        warm_up: Duration::ZERO,
        duration: Duration::from_millis(300),
        seed: 7,
    };
    let results = run(&plan).expect("the load runs");
    for result in &results {
        assert!(result.sent > 0);
        assert_eq!(
            result.sent,
            result.served + result.rejected + result.failed + result.unanswered
        );
        assert_eq!(result.latencies.len(), result.served);
    }
    results
}

/// Runs a load on one target and returns its result.
fn run_one(target: LoadTarget) -> TargetResult {
    run_load(vec![target]).remove(0)
}

#[test]
fn answers_are_counted_by_their_status() {
    let statuses = [
        "200 OK",
        "503 Service Unavailable",
        "429 Too Many Requests",
        "500 Internal Server Error",
    ];
    let server = StubServer::start(move |request, _| {
        let status = statuses[request.overall % statuses.len()];
        Reaction::Answer(format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok"))
    });
    let always = StubServer::start(|_, _| Reaction::Answer(SERVED.into()));
    let results = run_load(vec![target(server.address), target(always.address)]);
    let received = server.received().len();
    assert_eq!(results[0].sent as usize, received);
    assert_eq!(results[0].served as usize, received.div_ceil(4));
    assert_eq!(results[0].failed as usize, received / 4);
    assert_eq!(results[0].unanswered, 0);
    assert_eq!(results[1].served, results[1].sent);
    assert_eq!(results[1].sent as usize, always.received().len());
}

#[test]
fn requests_have_the_published_form() {
    let server = StubServer::start(|_, _| Reaction::Answer(SERVED.into()));
    let mut order = target(server.address);
    order.class = "order".into();
    order.is_unsafe = true;
    order.deadline = Duration::from_millis(2500);
    run_load(vec![target(server.address), order]);
    let received = server.received();
    let ids: BTreeSet<&str> = received
        .iter()
        .map(|request| request.header("X-Request-Id"))
        .collect();
    assert_eq!(ids.len(), received.len(), "each id is there once");
    let (orders, browses): (Vec<_>, Vec<_>) = received
        .iter()
        .partition(|request| request.header("X-Class") == "order");
    for order in orders {
        assert!(order.head.starts_with("POST /api HTTP/1.1\r\n"));
        assert_eq!(
            (order.header("X-Deadline"), order.body.len()),
            ("2.500000", 32)
        );
    }
    for browse in browses {
        assert!(browse.head.starts_with("GET /api HTTP/1.1\r\n"));
        assert_eq!(
            (browse.header("X-Deadline"), browse.body.len()),
            ("10.000000", 0)
        );
    }
}

#[test]
fn loads_with_the_same_seed_have_the_same_arrivals() {
    let server = StubServer::start(|_, _| Reaction::Answer(SERVED.into()));
    let counts = [(); 2].map(|()| {
        let results = run_load(vec![target(server.address), target(server.address)]);
        results.iter().map(|result| result.sent).collect::<Vec<_>>()
    });
    assert_eq!(counts[0], counts[1]);
    let ids: BTreeSet<String> = server
        .received()
        .iter()
        .map(|request| request.header("X-Request-Id").into())
        .collect();
    assert_eq!(ids.len(), server.received().len(), "ids are not used again");
}

#[test]
fn requests_of_the_warm_up_are_not_counted() {
    let server = StubServer::start(|_, _| Reaction::Answer(SERVED.into()));
    let targets = vec![target(server.address)];
    let (warm_up, duration) = (Duration::from_millis(300), Duration::from_millis(100));
    let results = run(&LoadPlan {
        targets,
        warm_up,
        duration,
        seed: 7,
    })
    .expect("the load runs");
    assert!(results[0].sent > 0);
    assert!((results[0].sent as usize) < server.received().len());
    assert_eq!(results[0].served, results[0].sent);
}

#[test]
fn a_slow_answer_does_not_delay_other_requests() {
    const OTHERS: usize = 20;
    let server = StubServer::start(|request, received| {
        if request.overall == 0 {
            received.wait_for(1 + OTHERS);
        }
        Reaction::Answer(SERVED.into())
    });
    let result = run_one(target(server.address));
    assert!(
        result.sent as usize > OTHERS,
        "the schedule has drawn {}",
        result.sent
    );
    assert_eq!(result.served, result.sent);
    assert!(result.connections >= 2);
}

#[test]
fn an_answer_that_closes_its_connection_is_served() {
    let closing = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone";
    let server = StubServer::start(move |_, _| Reaction::AnswerAndClose(closing.into()));
    let result = run_one(target(server.address));
    assert_eq!(
        (result.served, result.connections),
        (result.sent, result.sent)
    );
}

#[test]
fn a_request_on_a_reused_connection_that_is_closed_is_sent_again() {
    let server = StubServer::start(|request, _| match request.on_connection {
        0 => Reaction::Answer(SERVED.into()),
        _ => Reaction::Close,
    });
    let result = run_one(target(server.address));
    assert_eq!(result.served, result.sent);
    let received = server.received();
    let ids: BTreeSet<&str> = received
        .iter()
        .map(|request| request.header("X-Request-Id"))
        .collect();
    assert_eq!(ids.len() as u64, result.sent);
    assert!(received.len() > ids.len(), "no request was sent again");
    assert_eq!(
        result.connections as usize,
        received
            .iter()
            .filter(|request| request.on_connection == 0)
            .count()
    );
}

#[test]
fn a_request_on_a_new_connection_that_is_closed_fails() {
    let server = StubServer::start(|_, _| Reaction::Close);
    let result = run_one(target(server.address));
    assert_eq!(result.failed, result.sent);
    assert_eq!(server.received().len() as u64, result.sent);
}

#[test]
fn requests_without_an_answer_expire() {
    let server = StubServer::start(|_, _| Reaction::NoAnswer);
    let mut target = target(server.address);
    target.deadline = Duration::from_millis(50);
    let result = run_one(target);
    assert_eq!(
        (result.unanswered, result.connections),
        (result.sent, result.sent)
    );
}

#[test]
fn refused_connections_and_chunked_answers_are_failures() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let refusing_address = listener.local_addr().expect("an address");
    drop(listener);
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
    let server = StubServer::start(move |_, _| Reaction::Answer(chunked.into()));
    let results = run_load(vec![target(refusing_address), target(server.address)]);
    assert!(results.iter().all(|result| result.failed == result.sent));
}
