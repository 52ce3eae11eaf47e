//! Discovery that fails and recovers, in each order that is not the usual one: what it has to tell once it can be reached
//! is in force, whether lists are asked for or pushed.

use crate::stubs::*;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// Calls that fail before discovery is back: so many that every later wait is as long as the longest.
const MANY_FAILED: usize = 6;

/// A discovery that is down: its port refuses connections, and nobody else is given it.
struct Down(Socket);

impl Down {
    fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a port");
        Down(socket)
    }

    fn address(&self) -> SocketAddr {
        self.0
            .local_addr()
            .expect("it is bound")
            .as_socket()
            .expect("an address")
    }

    fn comes_back(self) -> ManualDiscovery {
        self.0.listen(128).expect("it listens");
        ManualDiscovery::from_listener(TcpListener::from(self.0))
    }
}

/// A sidecar that knows two endpoints, with a third that only discovery can tell of.
struct Site {
    mode: &'static str,
    endpoints: [Endpoint; 3],
    config: Value,
    path: PathBuf,
    sidecar: Sidecar,
}

impl Site {
    fn start(mode: &'static str, discovery: SocketAddr) -> Self {
        let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
        let known = serving_entries(&[&endpoints[0], &endpoints[1]]);
        let mut config = with_admin_address(config(discovery, &known));
        config["settings"]["discovery"] = json!(mode);
        let path = temporary_file(&config.to_string());
        let sidecar = Sidecar::start_with_file(&path);
        Site {
            mode,
            endpoints,
            config,
            path,
            sidecar,
        }
    }

    fn moves_discovery(&mut self, to: SocketAddr) {
        self.config["discovery"] = json!(to.to_string());
        self.reloads();
    }

    fn reloads(&self) {
        std::fs::write(&self.path, self.config.to_string()).expect("the file is written");
        self.sidecar.send_signal("HUP");
    }

    /// The first endpoint drains and the third is new.
    fn change(&self) -> [Value; 2] {
        [
            entry("e0", self.endpoints[0].address, "DRAINING"),
            entry("e2", self.endpoints[2].address, "SERVING"),
        ]
    }

    /// The change as the whole list, which all three endpoints are in.
    fn whole_list(&self, index: u64) -> String {
        let [drains, new] = self.change();
        list(
            index,
            true,
            &[
                drains,
                entry("e1", self.endpoints[1].address, "SERVING"),
                new,
            ],
        )
    }

    fn awaits_change(&self) {
        wait_for_unavailable(&self.sidecar, 1);
        wait_until("the third is known", || {
            self.sidecar.metric("members") == Some(3)
        });
        self.endpoints.iter().for_each(|e| drop(e.take_requests()));
        let mut client = self.sidecar.client();
        wait_until("the third serves", || {
            assert_eq!(
                client.exchange(&get_request("5")).status(),
                200,
                "{}",
                self.mode
            );
            self.endpoints[2].take_request_count() > 0
        });
        assert_eq!(
            self.endpoints[0].take_request_count(),
            0,
            "{}: the first drains",
            self.mode
        );
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

fn opens_watch(discovery: &ManualDiscovery, since: u64) -> DiscoveryCall {
    let mut watch = discovery.next_call();
    assert!(watch.is_watch_since(since), "{}", watch.request_line);
    watch.open_watch();
    watch
}

fn next_whole_list(discovery: &ManualDiscovery) -> DiscoveryCall {
    let call = discovery.next_call();
    assert!(
        call.request_line.starts_with("GET /v1/endpoints "),
        "{}",
        call.request_line
    );
    call
}

fn answers_whole(mut call: DiscoveryCall, text: &str) {
    call.write(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    ));
}

/// A failed call, whose body counts for nothing though it is a list.
fn answers_unavailable(call: &mut DiscoveryCall) {
    let body = list(99, true, &[]);
    call.write(&format!(
        "HTTP/1.1 503 No\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
}

/// Guards the call after one that was refused, however many were: discovery that is back is asked, and its change holds.
#[test]
fn discovery_that_refused_calls_is_called_until_it_is_back() {
    for mode in DISCOVERY_MODES {
        let down = Down::start();
        let site = Site::start(mode, down.address());
        let refused =
            |line: &&String| line.contains("the watch on discovery") && line.contains("refused");
        wait_until("calls are refused", || {
            site.sidecar.log().iter().filter(refused).count() >= MANY_FAILED
        });
        let discovery = down.comes_back();
        let mut watch = opens_watch(&discovery, 41);
        watch.write_line(&list(42, false, &site.change()));
        site.awaits_change();
    }
}

/// Guards the watch on an agent that pushes lists against each way to go wrong: 503, a reset, an end before the answer or
/// in half a list, no JSON, silence before the answer and after it. `watches.rs` holds the same for lists that are asked
/// for.
#[test]
fn a_watch_on_an_agent_is_opened_anew_whatever_became_of_the_one_before() {
    let discovery = ManualDiscovery::start();
    let site = Site::start("automatic", discovery.address());
    let half = "{\"index\":50,\"snapshot\":true,\"endpoints\":[";
    let mut refuses = discovery.next_call();
    answers_unavailable(&mut refuses);
    discovery.next_call().reset();
    drop(discovery.next_call());
    opens_watch(&discovery, 41).write_chunk(half);
    let mut spoilt = opens_watch(&discovery, 41);
    spoilt.write_chunk("no JSON\n"); // held open, so that nothing but the text ends it
    let unanswered = discovery.next_call();
    let silent = opens_watch(&discovery, 41);
    let mut watch = opens_watch(&discovery, 41);
    watch.write_line(&list(51, false, &site.change()));
    site.awaits_change();
    drop((refuses, spoilt, unanswered, silent));
}

/// Guards against half a list with beats behind it, which is no silence: the rest never comes, and the watch is lost.
#[test]
fn half_a_list_with_beats_behind_it_does_not_keep_a_watch() {
    for mode in DISCOVERY_MODES {
        let discovery = ManualDiscovery::start();
        let site = Site::start(mode, discovery.address());
        let mut spoilt = opens_watch(&discovery, 41);
        spoilt.write_chunk("{\"index\":50,\"snapshot\":true,\"endpoints\":[");
        let mut anew = None;
        wait_until("a watch is opened anew", || {
            spoilt.try_write_heartbeat();
            anew = discovery.try_next_call();
            anew.is_some()
        });
        let mut watch = anew.expect("a call");
        assert!(watch.is_watch_since(41), "{}", watch.request_line);
        watch.open_watch();
        watch.write_line(&list(51, false, &site.change()));
        site.awaits_change();
    }
}

/// Guards a call that is out while discovery comes back, with a SIGHUP in between that changes other settings: the call
/// stays out, and what is then answered counts, with no further call.
#[test]
fn a_call_that_is_out_as_discovery_comes_back_is_answered() {
    for mode in DISCOVERY_MODES {
        let discovery = ManualDiscovery::start();
        let mut site = Site::start(mode, discovery.address());
        drop(opens_watch(&discovery, 41));
        let mut out = discovery.next_call();
        assert!(out.is_watch_since(41), "{}", out.request_line);
        site.config["settings"]["bounds"]["sendCap"] = json!(2);
        site.reloads();
        site.sidecar
            .wait_for_log("discovery stays, settings change in bounds");
        out.open_watch();
        out.write_chunk(&format!("{}\n", site.whole_list(60)));
        site.awaits_change();
    }
}

/// Guards the whole list of a discovery that SIGHUP has moved to, where each of its first answers goes wrong: refused, 503,
/// silence before the answer, half a list that ends and half a list that stays open. The list that is known holds
/// meanwhile, and the whole list is asked for until it has come.
#[test]
fn a_discovery_that_moved_is_asked_until_its_whole_list_has_come() {
    for mode in DISCOVERY_MODES {
        let (old, down) = (ManualDiscovery::start(), Down::start());
        let mut site = Site::start(mode, old.address());
        let _watch = opens_watch(&old, 41);
        site.moves_discovery(down.address());
        let refused = |line: &&String| line.contains("refused");
        wait_until("calls are refused", || {
            site.sidecar.log().iter().filter(refused).count() >= MANY_FAILED
        });
        let new = down.comes_back();
        answers_unavailable(&mut next_whole_list(&new));
        let unanswered = next_whole_list(&new);
        let text = site.whole_list(7);
        let half = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
            text.len(),
            &text[..text.len() / 2]
        );
        next_whole_list(&new).write(&half);
        let mut stays_open = next_whole_list(&new);
        stays_open.write(&half);
        let whole = next_whole_list(&new);
        assert_eq!(
            site.sidecar.metric("members"),
            Some(2),
            "half a list counts for nothing"
        );
        answers_whole(whole, &text);
        let _watch = opens_watch(&new, 7);
        site.awaits_change();
        drop((unanswered, stays_open));
    }
}

/// Guards a discovery that comes back together with a SIGHUP that moves away from it: what it answers to the call that is
/// out holds until the new one has spoken, and the older list of that one does not take the drain back.
#[test]
fn a_discovery_that_comes_back_as_a_reload_moves_away_is_still_heard() {
    for mode in DISCOVERY_MODES {
        let (old, down) = (ManualDiscovery::start(), Down::start());
        let mut site = Site::start(mode, old.address());
        let mut out = old.next_call();
        site.sidecar.suspend();
        site.moves_discovery(down.address());
        out.open_watch();
        out.write_line(&list(42, false, &site.change()));
        site.sidecar.resume();
        site.sidecar.wait_for_log("configuration read again");
        site.awaits_change();
        let new = down.comes_back();
        let all = site.endpoints.each_ref();
        answers_whole(
            next_whole_list(&new),
            &list(7, true, &serving_entries(&all)),
        );
        let _watch = opens_watch(&new, 7);
        site.awaits_change();
    }
}

/// Guards a discovery that comes back while the SIGHUP that moves to it is still to be handled, with calls to the one
/// before refused and another due: it is asked for its whole list.
#[test]
fn a_discovery_that_comes_back_with_a_reload_under_way_is_asked() {
    for mode in DISCOVERY_MODES {
        let (old, down) = (Down::start(), Down::start());
        let mut site = Site::start(mode, old.address());
        site.sidecar.wait_for_log("refused");
        site.sidecar.suspend();
        site.moves_discovery(down.address());
        let new = down.comes_back();
        site.sidecar.resume();
        answers_whole(next_whole_list(&new), &site.whole_list(7));
        let _watch = opens_watch(&new, 7);
        site.awaits_change();
    }
}
