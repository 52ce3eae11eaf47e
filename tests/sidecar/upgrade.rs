//! Upgrades: a process takes over from the one that serves, under load.

use crate::stubs::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// A sidecar that can be replaced: its folder, discovery and endpoints.
struct Place {
    folder: PathBuf,
    discovery: Discovery,
    known: Vec<Value>,
}

impl Place {
    fn over(endpoints: &[&Endpoint]) -> Self {
        Place {
            folder: temporary_directory(),
            discovery: Discovery::start(),
            known: serving_entries(endpoints),
        }
    }

    /// The next process, at the address of the one before.
    fn start(&self, at: Option<SocketAddr>) -> Sidecar {
        let mut config = with_admin_address(config(self.discovery.address, &self.known));
        if let Some(address) = at {
            config["listen"] = json!(address.to_string());
        }
        Sidecar::start_in_directory(&self.folder, &config)
    }

    /// Answers the next process's question for the whole list.
    fn speaks(&self) {
        let mut watch = self.discovery.next_watch();
        watch.write_line(&list(41, true, &self.known));
        watch.finish();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Asks for as long as it is told to, as clients do: on one connection until it is told that it closes.
fn asks_on(address: SocketAddr, done: &AtomicBool, served: &AtomicUsize) {
    let mut client = Client::connect(address);
    while !done.load(Ordering::Relaxed) {
        let answer = client.exchange(&get_request("10"));
        assert_eq!(answer.status(), 200);
        served.fetch_add(1, Ordering::Relaxed);
        if answer.header("connection") == Some("close") {
            client = Client::connect(address);
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Guards the whole upgrade, twice in a row: requests go on throughout, and none ends without its answer; the older
/// process lets callers go one by one and ends by itself.
#[test]
fn a_process_takes_over_under_load() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let place = Place::over(&[&endpoint]);
    let mut serves = place.start(None);
    let address = serves.address;
    let (done, served) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| asks_on(address, &done, &served));
        }
        for _ in 0..2 {
            let next = place.start(Some(address));
            wait_until("it is ready", || next.call_is_yes("READY"));
            wait_until("callers come to it", || {
                next.requests_ended("completed", "safe")
                    .is_some_and(|n| n > 20)
            });
            serves.wait_for_log("the new process accepts callers");
            serves.terminate();
            assert!(serves.wait().success());
            next.wait_for_log("the old process has ended");
            serves = next;
        }
        done.store(true, Ordering::Relaxed);
    });
    assert!(served.into_inner() > 40);
}

/// Guards readiness: a list in the configuration may be old, and the older process serves meanwhile; discovery is heard
/// first, and with nowhere to send, callers stay where they are. Told to stop then, it just ends.
#[test]
fn discovery_is_heard_before_callers_are() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let mut place = Place::over(&[&endpoint]);
    let mut before = place.start(None);
    place.speaks();
    let _watch = place.discovery.next_watch();
    place.known[0]["status"] = json!("DRAINING");
    let mut next = place.start(Some(before.address));
    place.speaks();
    let mut watch = place.discovery.next_watch();
    assert!(!next.call_is_yes("READY"), "all that it knows of drains");
    assert_eq!(before.client().exchange(&get_request("5")).status(), 200);
    assert_eq!(next.requests_ended("completed", "safe"), Some(0));
    watch.write_line(&list(42, true, &serving_entries(&[&endpoint])));
    wait_until("it is ready", || next.call_is_yes("READY"));
    before.wait_for_log("the new process accepts callers");
    // With the older one gone, one that knows of no endpoint is all that there is.
    next.kill();
    before.wait_for_log("accepting callers again");
    let mut next = place.start(Some(before.address));
    place.speaks();
    next.terminate();
    assert!(next.wait().success());
    next.wait_for_log("stops before it has taken over");
    let last = place.start(Some(before.address));
    place.speaks();
    assert!(!last.call_is_yes("READY"));
    before.kill();
    last.wait_for_log("takes over from the old process");
    assert_eq!(
        last.client()
            .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        503
    );
}

/// Guards the older process's service: where the newer one ends, callers are let in again, and the next one can take
/// over all the same.
#[test]
fn callers_come_back_where_the_newer_process_ends() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let place = Place::over(&[&endpoint]);
    let before = place.start(None);
    let mut kept = before.client();
    assert_eq!(kept.exchange(&get_request("5")).status(), 200);
    let told = |what: &str| before.log().iter().filter(|l| l.contains(what)).count();
    for times in 1..=2 {
        let mut next = place.start(Some(before.address));
        wait_until("the new process accepts callers", || {
            told("the new process accepts callers") == times
        });
        assert_eq!(
            before.client().exchange(&get_request("5")).status(),
            200,
            "the newer one answers"
        );
        next.kill();
        wait_until("they are let in again", || {
            told("accepting callers again") == times
        });
        assert_eq!(before.client().exchange(&get_request("5")).status(), 200);
    }
    assert_eq!(
        kept.exchange(&get_request("5")).status(),
        200,
        "it was between requests all the time"
    );
}

/// Guards callers where the older process is told to stop before the newer one is ready: what comes in between waits for
/// whichever lets it in, and each request gets its answer.
#[test]
fn a_stop_before_the_newer_process_is_ready_loses_no_request() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let place = Place::over(&[&endpoint]);
    let mut before = place.start(None);
    place.speaks();
    let next = place.start(Some(before.address));
    assert!(
        !next.call_is_yes("READY"),
        "it listens to discovery, which says nothing"
    );
    before.terminate();
    wait_until("the newer one serves", || {
        assert_eq!(before.client().exchange(&get_request("9")).status(), 200);
        next.requests_ended("completed", "safe") > Some(0)
    });
    assert!(before.wait().success());
    assert_eq!(next.client().exchange(&get_request("9")).status(), 200);
    next.wait_for_log("the old process has ended");
}

/// Guards callers where the newer process is told to stop while the older one is there, and has a request out that keeps it
/// from ending: from then on the older one lets them in, and can be replaced once more.
#[test]
fn callers_come_back_where_the_newer_process_stops() {
    let does = |message: &Message| match message.header("x-class") {
        Some("unsafe") => EndpointAction::Hang,
        _ => respond_ok("x"),
    };
    let endpoints = [0, 1].map(|_| Endpoint::start(does)); // one for what is out, and one for the rest
    let place = Place::over(&[&endpoints[0], &endpoints[1]]);
    let before = place.start(None);
    let mut next = place.start(Some(before.address));
    before.wait_for_log("the new process accepts callers");
    let mut out = next.client();
    out.write(&post_request("unsafe", "10", "x"));
    wait_until("it is out", || next.metric("pending") == Some(1));
    next.terminate();
    before.wait_for_log("accepting callers again");
    wait_until("the older one serves", || {
        assert_eq!(before.client().exchange(&get_request("9")).status(), 200);
        before.requests_ended("completed", "safe") > Some(0)
    });
    assert_eq!(
        next.metric("pending"),
        Some(1),
        "the newer one has not ended"
    );
    drop(out);
    assert!(next.wait().success());
    before.wait_for_log("the new process has ended");
    let third = place.start(Some(before.address));
    third.wait_for_log("takes over from the old process");
    assert_eq!(before.client().exchange(&get_request("5")).status(), 200);
}

/// Guards the start against whatever else lies in the folder, or at the other end of the socket there.
#[test]
fn what_is_no_process_before_does_not_matter() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let place = Place::over(&[&endpoint]);
    let socket = place.folder.join("pipittray.sock");
    std::fs::write(&socket, "no socket").expect("a file");
    assert!(place.start(None).call_is_yes("READY"));
    // What the last one left is stale.
    assert!(place.start(None).call_is_yes("READY"));
    std::fs::remove_file(&socket).expect("it goes");
    let silent = UnixListener::bind(&socket).expect("a socket");
    let sidecar = place.start(None);
    assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    drop(silent);
    std::fs::remove_file(&socket).expect("it goes");
    std::fs::create_dir(&socket).expect("a folder in its place");
    let sidecar = place.start(None);
    sidecar.wait_for_log("hot restart: not possible from this process");
    assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    let config = with_admin_address(config(place.discovery.address, &place.known));
    assert!(
        Sidecar::start_in_directory(&place.folder.join("nowhere"), &config).call_is_yes("READY")
    );
}

/// Guards the limit that two processes share: while the older one holds connections, the newer one has fewer to hold.
#[test]
fn descriptors_are_shared() {
    let endpoint = Endpoint::start(|_| EndpointAction::Hang);
    let place = Place::over(&[&endpoint]);
    let start = |at: Option<SocketAddr>| {
        let mut config = with_admin_address(config(place.discovery.address, &place.known));
        config["limits"]["sockets"] = json!(256);
        config["listen"] = json!(at.map_or("127.0.0.1:0".into(), |a| a.to_string()));
        Sidecar::start_in_directory(&place.folder, &config)
    };
    let before = start(None);
    let hold = |sidecar: &Sidecar, n: usize| -> Vec<Client> {
        let ask = |_| {
            let mut client = sidecar.client();
            client.write(&post_request("unsafe", "15", "x"));
            client
        };
        (0..n).map(ask).collect()
    };
    let _held = hold(&before, 100);
    wait_until("it holds them", || before.metric("pending") == Some(100));
    let next = start(Some(before.address));
    before.wait_for_log("the new process accepts callers");
    thread::sleep(Duration::from_millis(200)); // they tell each other what they hold
    let _more = hold(&next, 200);
    wait_until("it holds some", || {
        next.metric("pending").is_some_and(|n| n > 10)
    });
    // What more it would let in comes within this time, and long before the first requests' end.
    for _ in 0..30 {
        let held = before.descriptor_count() + next.descriptor_count();
        assert!(held <= 256, "{held}");
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(
        before.metric("pending"),
        Some(100),
        "they were there all the time"
    );
}
