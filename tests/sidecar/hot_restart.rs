//! Hot restarts: a new process takes the listener over from the old one, under load.

use crate::stubs::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// The resources that the processes of one sidecar share: the shared directory, discovery and the cached list of
/// endpoints.
struct Deployment {
    shared_directory: PathBuf,
    discovery: Discovery,
    cached_entries: Vec<Value>,
}

impl Deployment {
    fn with_endpoints(endpoints: &[&Endpoint]) -> Self {
        Deployment {
            shared_directory: temporary_directory(),
            discovery: Discovery::start(),
            cached_entries: serving_entries(endpoints),
        }
    }

    /// Starts a process. One that replaces an old process listens on the old one's address.
    fn start(&self, address_of_old_process: Option<SocketAddr>) -> Sidecar {
        let mut config = with_admin_address(config(self.discovery.address, &self.cached_entries));
        if let Some(address) = address_of_old_process {
            config["listen"] = json!(address.to_string());
        }
        Sidecar::start_in_directory(&self.shared_directory, &config)
    }

    /// Sends the full list on the next watch.
    fn send_full_list(&self) {
        let mut watch = self.discovery.next_call();
        watch.write_line(&endpoint_list(41, true, &self.cached_entries));
        watch.finish();
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.shared_directory);
    }
}

/// Sends requests until `done`. Like most clients, it reuses its connection until a response closes it.
fn send_requests_until(address: SocketAddr, done: &AtomicBool, served: &AtomicUsize) {
    let mut client = Client::connect(address);
    while !done.load(Ordering::Relaxed) {
        let response = client.exchange(&get_request("10"));
        assert_eq!(response.status(), 200);
        served.fetch_add(1, Ordering::Relaxed);
        if response.header("connection") == Some("close") {
            client = Client::connect(address);
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Two hot restarts in a row under load: every request is answered, and after SIGTERM the old process ends once its
/// callers have moved to the new one.
#[test]
fn new_process_takes_over_under_load() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let deployment = Deployment::with_endpoints(&[&endpoint]);
    let mut serving_process = deployment.start(None);
    let address = serving_process.address;
    let (done, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| send_requests_until(address, &done, &served));
        }
        for _ in 0..2 {
            let new_process = deployment.start(Some(address));
            wait_until("the new process is ready", || {
                new_process.admin_answers_yes("READY")
            });
            wait_until("callers come to the new process", || {
                new_process
                    .ended_request_count("completed", "safe")
                    .is_some_and(|count| count > 20)
            });
            serving_process.wait_for_log("the new process accepts callers");
            serving_process.terminate();
            assert!(serving_process.wait().success());
            new_process.wait_for_log("the old process has ended");
            serving_process = new_process;
        }
        done.store(true, Ordering::Relaxed);
    });
    assert!(served.into_inner() > 40);
}

/// The cached list may be outdated, so a new process is ready neither before it has a list from discovery, nor while
/// that list has no endpoint that serves. Callers stay with the old process. A new process that is terminated before it
/// is ready ends without a take-over.
#[test]
fn new_process_is_not_ready_before_its_first_list() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let mut deployment = Deployment::with_endpoints(&[&endpoint]);
    let mut old_process = deployment.start(None);
    deployment.send_full_list();
    let _watch = deployment.discovery.next_call();
    deployment.cached_entries[0]["status"] = json!("DRAINING");
    let mut new_process = deployment.start(Some(old_process.address));
    deployment.send_full_list();
    let mut watch = deployment.discovery.next_call();
    assert!(
        !new_process.admin_answers_yes("READY"),
        "the only endpoint that it knows is draining"
    );
    assert_eq!(
        old_process.client().exchange(&get_request("5")).status(),
        200
    );
    assert_eq!(
        new_process.ended_request_count("completed", "safe"),
        Some(0)
    );
    watch.write_line(&endpoint_list(42, true, &serving_entries(&[&endpoint])));
    wait_until("the new process is ready", || {
        new_process.admin_answers_yes("READY")
    });
    old_process.wait_for_log("the new process accepts callers");
    // Once the old process has ended, a new one takes over even if it knows no endpoint that serves.
    new_process.kill();
    old_process.wait_for_log("accepting callers again");
    let mut new_process = deployment.start(Some(old_process.address));
    deployment.send_full_list();
    new_process.terminate();
    assert!(new_process.wait().success());
    new_process.wait_for_log("stops before it has taken over");
    let last_process = deployment.start(Some(old_process.address));
    deployment.send_full_list();
    assert!(!last_process.admin_answers_yes("READY"));
    old_process.kill();
    last_process.wait_for_log("takes over from the old process");
    assert_eq!(
        last_process
            .client()
            .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        503
    );
}

/// After the new process was killed, the old one accepts callers again, and another new process can take over.
#[test]
fn old_process_accepts_callers_again_after_new_process_was_killed() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let deployment = Deployment::with_endpoints(&[&endpoint]);
    let old_process = deployment.start(None);
    let mut idle_client = old_process.client();
    assert_eq!(idle_client.exchange(&get_request("5")).status(), 200);
    let count_logged_lines = |text: &str| {
        old_process
            .log()
            .iter()
            .filter(|line| line.contains(text))
            .count()
    };
    for restarts in 1..=2 {
        let mut new_process = deployment.start(Some(old_process.address));
        wait_until("the new process accepts callers", || {
            count_logged_lines("the new process accepts callers") == restarts
        });
        assert_eq!(
            old_process.client().exchange(&get_request("5")).status(),
            200,
            "the new process answers"
        );
        new_process.kill();
        wait_until("the old process accepts callers again", || {
            count_logged_lines("accepting callers again") == restarts
        });
        assert_eq!(
            old_process.client().exchange(&get_request("5")).status(),
            200
        );
    }
    assert_eq!(
        idle_client.exchange(&get_request("5")).status(),
        200,
        "its connection was idle throughout"
    );
}

/// Connections that arrive between the old process's SIGTERM and the new one's readiness wait in the backlog until one
/// of the two processes accepts them, and every request is answered.
#[test]
fn sigterm_before_new_process_is_ready_loses_no_request() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let deployment = Deployment::with_endpoints(&[&endpoint]);
    let mut old_process = deployment.start(None);
    deployment.send_full_list();
    let new_process = deployment.start(Some(old_process.address));
    assert!(
        !new_process.admin_answers_yes("READY"),
        "discovery sends no list"
    );
    old_process.terminate();
    wait_until("the new process serves", || {
        assert_eq!(
            old_process.client().exchange(&get_request("9")).status(),
            200
        );
        new_process.ended_request_count("completed", "safe") > Some(0)
    });
    assert!(old_process.wait().success());
    assert_eq!(
        new_process.client().exchange(&get_request("9")).status(),
        200
    );
    new_process.wait_for_log("the old process has ended");
}

/// The new process shuts down while the old one still runs, and an attempt in flight keeps it from ending. The old
/// process accepts callers again from the SIGTERM on, and can be replaced once more.
#[test]
fn old_process_accepts_callers_again_while_new_process_shuts_down() {
    let respond = |message: &Message| match message.header("x-class") {
        Some("unsafe") => EndpointAction::Hang,
        _ => respond_ok("x"),
    };
    let endpoints = [0, 1].map(|_| Endpoint::start(respond)); // one for the hanging request, and one for the others
    let deployment = Deployment::with_endpoints(&[&endpoints[0], &endpoints[1]]);
    let old_process = deployment.start(None);
    let mut new_process = deployment.start(Some(old_process.address));
    old_process.wait_for_log("the new process accepts callers");
    let mut waiting_client = new_process.client();
    waiting_client.write(&post_request("unsafe", "10", "x"));
    wait_until("the request is in flight", || {
        new_process.metric("pending") == Some(1)
    });
    new_process.terminate();
    old_process.wait_for_log("accepting callers again");
    wait_until("the old process serves", || {
        assert_eq!(
            old_process.client().exchange(&get_request("9")).status(),
            200
        );
        old_process.ended_request_count("completed", "safe") > Some(0)
    });
    assert_eq!(
        new_process.metric("pending"),
        Some(1),
        "the new process has not ended"
    );
    drop(waiting_client);
    assert!(new_process.wait().success());
    old_process.wait_for_log("the new process has ended");
    let third_process = deployment.start(Some(old_process.address));
    third_process.wait_for_log("takes over from the old process");
    assert_eq!(
        old_process.client().exchange(&get_request("5")).status(),
        200
    );
}

/// A process starts regardless of what the path of the socket in the shared directory holds: a plain file, a stale or
/// silent socket, or a directory. It also starts if the shared directory does not exist.
#[test]
fn process_starts_with_foreign_files_in_shared_directory() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let deployment = Deployment::with_endpoints(&[&endpoint]);
    let socket = deployment.shared_directory.join("pipittray.sock");
    std::fs::write(&socket, "no socket").expect("a file");
    assert!(deployment.start(None).admin_answers_yes("READY"));
    // The socket that the last process left is stale.
    assert!(deployment.start(None).admin_answers_yes("READY"));
    std::fs::remove_file(&socket).expect("it is removed");
    let silent_socket = UnixListener::bind(&socket).expect("a socket");
    let sidecar = deployment.start(None);
    assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    drop(silent_socket);
    std::fs::remove_file(&socket).expect("it is removed");
    std::fs::create_dir(&socket).expect("a directory in its place");
    let sidecar = deployment.start(None);
    sidecar.wait_for_log("hot restart: socket for new processes not bound");
    assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    let config = with_admin_address(config(
        deployment.discovery.address,
        &deployment.cached_entries,
    ));
    assert!(
        Sidecar::start_in_directory(&deployment.shared_directory.join("nowhere"), &config)
            .admin_answers_yes("READY")
    );
}

/// Two processes share one limit of descriptors: the connections of the old one reduce the budget of the new one.
#[test]
fn two_processes_share_the_descriptor_limit() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let deployment = Deployment::with_endpoints(&[&endpoint]);
    let start = |address_of_old_process: Option<SocketAddr>| {
        let mut config = with_admin_address(config(
            deployment.discovery.address,
            &deployment.cached_entries,
        ));
        config["limits"]["sockets"] = json!(256);
        config["listen"] = json!(
            address_of_old_process.map_or("127.0.0.1:0".into(), |address| address.to_string())
        );
        Sidecar::start_in_directory(&deployment.shared_directory, &config)
    };
    let old_process = start(None);
    let send_hanging_requests = |sidecar: &Sidecar, count: usize| -> Vec<Client> {
        let send = |_| {
            let mut client = sidecar.client();
            client.write(&post_request("unsafe", "15", "x"));
            client
        };
        (0..count).map(send).collect()
    };
    let _old_clients = send_hanging_requests(&old_process, 100);
    wait_until("all requests are pending at the old process", || {
        old_process.metric("pending") == Some(100)
    });
    let new_process = start(Some(old_process.address));
    old_process.wait_for_log("the new process accepts callers");
    thread::sleep(Duration::from_millis(200)); // several heartbeats
    let _new_clients = send_hanging_requests(&new_process, 200);
    wait_until("some requests are pending at the new process", || {
        new_process
            .metric("pending")
            .is_some_and(|count| count > 10)
    });
    // If the budget were not shared, the limit would be exceeded within this time, which ends long before the deadline
    // of the first requests.
    for _ in 0..30 {
        let descriptors = old_process.descriptor_count() + new_process.descriptor_count();
        assert!(descriptors <= 256, "{descriptors}");
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(
        old_process.metric("pending"),
        Some(100),
        "no request has ended"
    );
}

/// Guards against a request that must not run twice and comes to the other process of a hot restart under its id: to the new
/// process, which starts later, and to the old one.
#[test]
fn unsafe_request_is_not_sent_again_by_the_other_process() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let deployment = Deployment::with_endpoints(&[&endpoint]);
    let old_process = deployment.start(None);
    let mut client_of_old = old_process.client();
    assert_eq!(client_of_old.exchange(READY_REQUEST).status(), 200);
    let requests = [0, 1].map(|_| post_request("unsafe", "10", "x"));
    assert_eq!(old_process.client().exchange(&requests[0]).status(), 200);
    let new_process = deployment.start(Some(old_process.address));
    old_process.wait_for_log("the new process accepts callers");

    let mut client_of_new = new_process.client();
    assert_eq!(client_of_new.exchange(&requests[0]).status(), 409);
    assert_eq!(client_of_new.exchange(&requests[1]).status(), 200);
    // Messages are written in order: the old process has the id once it has seen the endpoint disabled.
    assert!(new_process.admin_answers_yes("DISABLE e0"));
    wait_until("the old process has the message", || {
        old_process.metric("members_unavailable") == Some(1)
    });
    assert_eq!(client_of_old.exchange(&requests[1]).status(), 409);
    assert_eq!(endpoint.take_request_count(), 2);
}

/// Guards endpoints that begin to drain before an upgrade while discovery does not answer the new process (`review/7`). The
/// new process starts with an old cached list, and is told by the old process, also of a later change.
#[test]
fn new_process_without_discovery_knows_what_drains() {
    const REQUESTS: usize = 40;
    let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("x")));
    let deployment = Deployment::with_endpoints(&endpoints.each_ref());
    let old_process = deployment.start(None);
    let mut watch = deployment.discovery.next_call();
    let draining = |number: usize| {
        let name = format!("e{number}");
        list_entry(&name, endpoints[number].address, "DRAINING")
    };
    watch.write_line(&endpoint_list(42, false, &[draining(0)]));
    wait_for_unavailable(&old_process, 1);

    let new_process = deployment.start(Some(old_process.address));
    old_process.wait_for_log("the new process accepts callers");
    let serve = || {
        for endpoint in &endpoints {
            endpoint.take_request_count();
        }
        for _ in 0..REQUESTS {
            let mut client = new_process.client();
            assert_eq!(client.exchange(&get_request("5")).status(), 200);
        }
        endpoints.each_ref().map(Endpoint::take_request_count)
    };
    let [first, ..] = serve();
    assert_eq!(first, 0, "it drained before the upgrade");

    watch.write_line(&endpoint_list(43, false, &[draining(1)]));
    new_process.wait_for_log("in version 43 of the other process's list");
    assert_eq!(serve(), [0, 0, REQUESTS]);
}
