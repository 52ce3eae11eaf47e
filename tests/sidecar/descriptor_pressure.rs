//! A sidecar that is short of descriptors: many idle clients and pending requests hold as many descriptors as they may.

use crate::stubs::*;
use serde_json::{Value, json};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// The limit on the process's descriptors, both in its configuration and in the system.
const DESCRIPTOR_LIMIT: usize = 256;
/// The number of requests that stay in flight. Each holds its caller's connection and the one to the endpoint.
const OPEN_REQUESTS: usize = 100;
/// The number of endpoints, enough for each to get only a few of the open requests.
const ENDPOINTS: usize = 50;
/// The minimum number of queued requests, which is most of what the callers' limit allows.
const MIN_QUEUED_REQUESTS: usize = 120;
/// The number of descriptors in use at which the sidecar is saturated: idle clients hold all that the open requests
/// leave.
const SATURATED_DESCRIPTORS: usize = 205;
/// The number of clients that connect, send one request and stay. It exceeds the number of descriptors for them.
const IDLE_CLIENTS: usize = 150;
/// The number of clients that connect and send nothing.
const SILENT_CLIENTS: usize = 50;
/// The number of connections to the operators' address with an incomplete call. If they used up the limit on such
/// connections, each new one would evict another, possibly one with a complete call that is written slowly.
const INCOMPLETE_OPERATOR_CALLS: usize = 12;
/// The number of reconnects after which clients have certainly taken every freed descriptor again.
const SATURATION_RECONNECTS: usize = 300;
/// The pause between two rounds over the connections, which leaves processor time to the sidecar.
const ROUND_PAUSE: Duration = Duration::from_millis(5);
/// The body of a request that stays open.
const OPEN_REQUEST_BODY: &[u8] = b"stays";

/// A client that connects again whenever the sidecar closes its connection.
struct ReconnectingClient {
    address: SocketAddr,
    request: &'static str,
    stream: Option<TcpStream>,
}

impl ReconnectingClient {
    fn new(address: SocketAddr, request: &'static str) -> Self {
        ReconnectingClient {
            address,
            request,
            stream: None,
        }
    }

    fn is_open(&mut self) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        match stream.read(&mut [0; 512]) {
            Ok(length) => length > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    fn connect(&mut self) {
        let mut stream = TcpStream::connect(self.address).expect("the backlog has room");
        let _ = stream.write_all(self.request.as_bytes()); // the sidecar may have closed it already
        stream.set_nonblocking(true).expect("the option is set");
        self.stream = Some(stream);
    }
}

/// Clients that take every descriptor that they can get from the sidecar. They end when this is dropped.
struct IdleClients {
    stop: Arc<AtomicBool>,
    connected: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl IdleClients {
    fn start(sidecar: &Sidecar) -> Self {
        let readiness_check = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
        let kinds = [
            (IDLE_CLIENTS, sidecar.address, readiness_check),
            (SILENT_CLIENTS, sidecar.address, ""),
            (INCOMPLETE_OPERATOR_CALLS, sidecar.admin_address(), "STA"),
        ];
        let clients = kinds.into_iter().flat_map(|(count, address, request)| {
            (0..count).map(move |_| ReconnectingClient::new(address, request))
        });
        let mut clients: Vec<ReconnectingClient> = clients.collect();
        let (stop, connected) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let (stop_requested, count) = (stop.clone(), connected.clone());
        let thread = spawn(move || {
            while !stop_requested.load(Ordering::Relaxed) {
                for client in clients
                    .iter_mut()
                    .filter_map(|client| (!client.is_open()).then_some(client))
                {
                    client.connect();
                    count.fetch_add(1, Ordering::Relaxed);
                }
                sleep(ROUND_PAUSE);
            }
        });
        IdleClients {
            stop,
            connected,
            thread: Some(thread),
        }
    }

    /// Waits until every descriptor that clients can have is taken.
    fn wait_until_saturated(&self, sidecar: &Sidecar) {
        let before = self.connected.load(Ordering::Relaxed);
        wait_until("clients hold every descriptor", || {
            self.connected.load(Ordering::Relaxed) >= before + SATURATION_RECONNECTS
                && sidecar.descriptor_count() >= SATURATED_DESCRIPTORS
        });
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Starts a sidecar with [`DESCRIPTOR_LIMIT`] descriptors.
fn start_limited(discovery: &ManualDiscovery, endpoints: &[&Endpoint], mode: &str) -> Sidecar {
    let mut config = with_admin_address(config(discovery.address(), &serving_entries(endpoints)));
    config["limits"]["sockets"] = json!(DESCRIPTOR_LIMIT);
    config["settings"]["discovery"] = json!(mode);
    for class in config["settings"]["categories"]
        .as_array_mut()
        .expect("classes")
    {
        class["objectiveNs"] = json!(120_000_000_000u64);
        class["hardLimitNs"] = json!(120_000_000_000u64);
    }
    let path = temporary_file(&config.to_string());
    let sidecar = Sidecar::start_with_descriptor_limit(&path, DESCRIPTOR_LIMIT);
    std::fs::remove_file(path).expect("the file is removed");
    sidecar
}

/// Sends requests that the endpoints do not answer, and waits until all have arrived there.
fn open_requests(sidecar: &Sidecar, endpoints: &[Endpoint]) -> Vec<Client> {
    let text = std::str::from_utf8(OPEN_REQUEST_BODY).expect("text");
    let open = |_| {
        let mut client = sidecar.client();
        client.write(&post_request("unsafe", "100", text));
        client
    };
    let clients = (0..OPEN_REQUESTS).map(open).collect();
    let mut seen = 0;
    wait_until("the requests are at their endpoints", || {
        seen += endpoints
            .iter()
            .map(Endpoint::take_request_count)
            .sum::<usize>();
        seen == OPEN_REQUESTS
    });
    clients
}

/// Asserts that a request is served. Like other clients, sends it again on a new connection if one was closed before
/// the request was read.
fn assert_request_is_served(sidecar: &Sidecar) {
    wait_until("a request is served", || {
        let mut stream = TcpStream::connect(sidecar.address).expect("the sidecar accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is set");
        let is_written = stream.write_all(get_request("20").as_bytes()).is_ok();
        let answer = read_message(&mut BufReader::new(stream));
        is_written && answer.is_some_and(|answer| answer.status() == 200)
    });
}

/// Asserts that operators' calls are answered while the open requests are pending.
fn assert_operators_are_answered(sidecar: &Sidecar) {
    assert!(sidecar.admin_answers_yes("READY"));
    assert_eq!(sidecar.metric("pending"), Some(OPEN_REQUESTS as u64));
}

/// Asserts that the descriptors that are reserved from callers suffice for all other uses. While discovery is down,
/// clients take all that is not reserved, also the descriptor that the watch had. Operators' calls, requests and
/// endpoints get descriptors throughout, and the watch gets one once discovery is back.
fn assert_reserved_descriptors_suffice(network_address: &str, mode: &str) {
    // No other test uses this network address: the port stays free while discovery is down.
    let start = format!("{network_address}:0").parse().expect("an address");
    let respond = |message: &Message| {
        if message.body == OPEN_REQUEST_BODY {
            EndpointAction::Hang
        } else {
            respond_ok("")
        }
    };
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(|_| Endpoint::start(respond)).collect();
    let discovery = ManualDiscovery::start_at(start);
    let sidecar = start_limited(&discovery, &endpoints.iter().collect::<Vec<_>>(), mode);
    let mut watch = discovery.next_call();
    watch.open_watch();
    let _open = open_requests(&sidecar, &endpoints);
    let idle_clients = IdleClients::start(&sidecar);
    idle_clients.wait_until_saturated(&sidecar);
    let address = discovery.address();
    drop((discovery, watch));
    sidecar.wait_for_log("the watch on discovery");
    idle_clients.wait_until_saturated(&sidecar);
    assert_operators_are_answered(&sidecar);
    assert_request_is_served(&sidecar);
    let new_endpoint = Endpoint::start(|_| respond_ok(""));
    let changed: Vec<Value> = vec![list_entry("started", new_endpoint.address, "SERVING")];
    let discovery = ManualDiscovery::start_at(address);
    let mut watch = discovery.next_open_call();
    assert!(watch.is_watch_since(41), "{}", watch.request_line);
    watch.open_watch();
    watch.write_line(&endpoint_list(42, true, &changed));
    wait_until("the list is current", || {
        sidecar.metric("members") == Some(1)
    });
    idle_clients.wait_until_saturated(&sidecar);
    assert_operators_are_answered(&sidecar);
    assert_request_is_served(&sidecar);
    new_endpoint.next_request();
    let log = sidecar.log().join("\n");
    assert!(!log.contains("Too many open files"), "{log}");
}

/// Guards the descriptors of a sidecar to which an agent pushes lists.
#[test]
fn reserved_descriptors_suffice_in_pushed_mode() {
    assert_reserved_descriptors_suffice("127.21.0.1", "automatic");
}

/// Guards the descriptors of a sidecar that fetches lists on request.
#[test]
fn reserved_descriptors_suffice_in_on_request_mode() {
    assert_reserved_descriptors_suffice("127.21.0.2", "subscribe");
}

/// Guards the descriptors of attempts against queued requests: with as many queued as the callers' limit allows, each
/// is served once endpoints are listed.
#[test]
fn attempts_get_descriptors_while_callers_hold_theirs() {
    let discovery = ManualDiscovery::start();
    let sidecar = start_limited(&discovery, &[], "automatic");
    let mut watch = discovery.next_call();
    watch.open_watch();
    let connect = |_| {
        let mut client = sidecar.client();
        client.write(&get_request("100"));
        client
    };
    // All requests arrive before the sidecar reads the first.
    sidecar.pause();
    let mut clients: Vec<Client> = (0..DESCRIPTOR_LIMIT).map(connect).collect();
    sidecar.resume();
    // By then each client is queued, or was rejected or closed.
    wait_until("all requests have been read", || {
        let silent = clients.iter().filter(|client| client.is_silent()).count();
        sidecar.metric("pending") == Some(silent as u64)
    });
    clients.retain(Client::is_silent);
    assert!(clients.len() >= MIN_QUEUED_REQUESTS, "{}", clients.len());
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|_| Endpoint::start(|_| respond_ok("")))
        .collect();
    if !watch.is_open() {
        watch = discovery.next_open_call();
        watch.open_watch();
    }
    watch.write_line(&endpoint_list(
        42,
        false,
        &serving_entries(&endpoints.iter().collect::<Vec<_>>()),
    ));
    for client in &mut clients {
        assert_eq!(client.read().map(|answer| answer.status()), Some(200));
    }
}

/// Guards the descriptors against connections in a lingering close after an early response: they are evicted like
/// others. All requests arrive before the sidecar reads the first, and no client closes.
#[test]
fn connections_in_lingering_close_are_evicted() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = ManualDiscovery::start();
    let sidecar = start_limited(&discovery, &[&endpoint], "automatic");
    let connect = |_| {
        let mut client = sidecar.client();
        client.write(&post_request("no-class", "5", "half").replace("Length: 4", "Length: 50"));
        client
    };
    sidecar.pause();
    let clients: Vec<Client> = (0..2 * DESCRIPTOR_LIMIT).map(connect).collect();
    sidecar.resume();
    wait_until("all clients are answered or closed", || {
        clients.iter().all(|client| !client.is_silent())
    });
    assert!(sidecar.admin_answers_yes("READY"));
    assert!(sidecar.descriptor_count() < DESCRIPTOR_LIMIT);
    let log = sidecar.log().join("\n");
    assert!(!log.contains("Too many open files"), "{log}");
}
