//! The watch on discovery, where what it tells comes in pieces, late, or not at all.

use crate::stubs::*;
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A discovery whose every call the test answers itself.
pub struct Calls(TcpListener);

/// One call of it, and the connection that it came on.
pub struct Call {
    pub asked: String,
    pub stream: TcpStream,
}

pub const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Calls {
    pub fn start() -> Self {
        Self::at("127.0.0.1:0".parse().expect("an address"))
    }

    /// One that listens there.
    pub fn at(address: SocketAddr) -> Self {
        Self::on(TcpListener::bind(address).expect("a port"))
    }

    pub fn on(listener: TcpListener) -> Self {
        listener.set_nonblocking(true).expect("an option");
        Calls(listener)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    /// The calls that have come and that the sidecar has not given up, but for those returned before.
    pub fn waiting(&self) -> Vec<Call> {
        let streams = std::iter::from_fn(|| self.0.accept().ok());
        let calls: Vec<Call> = streams
            .filter_map(|(stream, _)| Call::read(stream))
            .collect();
        calls.into_iter().filter(Call::is_open).collect()
    }

    /// The call that waits now, or the next that comes.
    pub fn next_open(&self) -> Call {
        let mut call = None;
        wait_until("a call", || {
            call = self.waiting().pop();
            call.is_some()
        });
        call.expect("a call")
    }

    pub fn next(&self) -> Call {
        let mut call = None;
        wait_until("a call", || {
            call = self.try_next();
            call.is_some()
        });
        call.expect("a call")
    }

    /// The next call, if it has come.
    pub fn try_next(&self) -> Option<Call> {
        let (stream, _) = self.0.accept().ok()?;
        Some(Call::read(stream).expect("a request"))
    }
}

impl Call {
    /// Reads the request on a connection; none where it was closed before.
    fn read(stream: TcpStream) -> Option<Self> {
        stream.set_nonblocking(false).expect("an option");
        let mut reader = BufReader::new(stream);
        let asked = read_message(&mut reader)?.start_line;
        Some(Call {
            asked,
            stream: reader.into_inner(),
        })
    }

    /// Whether the sidecar has not closed it so far.
    pub fn is_open(&self) -> bool {
        is_open_and_silent(&self.stream)
    }

    pub fn follows(&self, since: u64) -> bool {
        self.asked
            .starts_with(&format!("GET /v1/endpoints?follow=1&since={since} "))
    }

    pub fn writes(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("it is open");
    }

    pub fn chunk(&mut self, text: &str) {
        self.writes(&format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// Writes an empty line, unless the sidecar has closed the call.
    pub fn beats(&mut self) {
        let _ = self.stream.write_all(b"1\r\n\n\r\n");
    }

    pub fn resets(self) {
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("an option");
    }
}

fn over(discovery: &Calls, endpoints: &[&Endpoint]) -> Sidecar {
    Sidecar::start(&with_admin_address(config(
        discovery.address(),
        &serving_entries(endpoints),
    )))
}

fn indented(index: u64, snapshot: bool, endpoints: &[Value]) -> String {
    let list = json!({"index": index, "snapshot": snapshot, "endpoints": endpoints});
    format!("{}\n", serde_json::to_string_pretty(&list).expect("JSON"))
}

pub fn is_out(sidecar: &Sidecar, endpoints: u64) {
    wait_until(&format!("{endpoints} are out"), || {
        sidecar.metric("members_unavailable") == Some(endpoints)
    });
}

/// Guards the reading of lists: indented, two in a piece, or one in many; what is whole counts at once, though half of
/// the next has come with it, and half a list counts for nothing.
#[test]
fn a_list_may_be_indented_and_come_in_pieces() {
    let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
    let discovery = Calls::start();
    let sidecar = over(&discovery, &[&endpoints[0], &endpoints[1], &endpoints[2]]);
    let mut watch = discovery.next();
    assert!(watch.follows(41), "{}", watch.asked);
    watch.writes(HEAD);
    let drains = |n: usize, index| {
        indented(
            index,
            false,
            &[entry(&format!("e{n}"), endpoints[n].address, "DRAINING")],
        )
    };
    let (first, second, third) = (drains(0, 42), drains(1, 43), drains(2, 44));
    let (half, rest) = second.split_at(second.len() / 2);
    watch.chunk(&format!("\n{first}{half}"));
    is_out(&sidecar, 1);
    let (most, end) = rest.split_at(rest.rfind('}').expect("its end"));
    for piece in most.as_bytes().chunks(7) {
        watch.chunk(std::str::from_utf8(piece).expect("text"));
    }
    // The sidecar has read this far when it answers a call that comes later.
    assert_eq!(sidecar.metric("members_unavailable"), Some(1));
    watch.chunk(end);
    is_out(&sidecar, 2);
    watch.chunk(&third);
    is_out(&sidecar, 3);
    drop(watch);
    assert!(discovery.next().follows(44), "and no watch was lost by it");
}

/// Guards the watch against each way to go wrong, with the next call going wrong too, and against a drain told with the
/// first word of a discovery that is back.
#[test]
fn a_watch_is_opened_anew_whatever_became_of_it_and_of_the_next() {
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let discovery = Calls::start();
    let sidecar = over(&discovery, &[&endpoints[0], &endpoints[1]]);
    let spoilt = [
        "{\"index\":50,\"snapshot\":false,\"endpoints\":[{\"name\":\"e0\"\n{\"index\":51,\"snapshot\":true,\"endpoints\":[]}\n",
        "no JSON\n",
        "{\"index\":50}\n",
        "]}",
    ];
    for text in spoilt {
        let mut watch = discovery.next();
        assert!(watch.follows(41), "{text}: {}", watch.asked);
        watch.writes(HEAD);
        watch.chunk(text);
        // Held open, so that nothing but the text ends it.
        let mut next = discovery.next();
        assert!(next.follows(41), "{text}: {}", next.asked);
        next.writes("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    }
    discovery.next().resets();
    drop(discovery.next());
    let mut cut = discovery.next();
    cut.writes(HEAD);
    cut.writes("40\r\n{\"index\":");
    drop(cut);
    let mut ended = discovery.next();
    ended.writes(&format!("{HEAD}0\r\n\r\n"));
    let mut open = discovery.next();
    open.writes(HEAD);
    let silent = open; // neither says a word from here on
    let hangs = discovery.next();
    let mut back = discovery.next();
    assert!(back.follows(41), "{}", back.asked);
    back.writes(HEAD);
    back.chunk(&format!(
        "{}\n",
        list(60, false, &[entry("e0", endpoints[0].address, "DRAINING")])
    ));
    is_out(&sidecar, 1);
    drop((silent, hangs));
    for _ in 0..20 {
        assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    }
    assert_eq!(endpoints[0].take_request_count(), 0);
}

/// Guards the next call after a watch that was opened: however often one was lost before, with nothing told on any, the
/// next is asked for as soon as after the first. Word of what it misses has its time from when it was lost.
#[test]
fn a_watch_that_was_opened_makes_good_for_calls_that_failed_before() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Calls::start();
    let mut config = config(discovery.address(), &serving_entries(&[&endpoint]));
    config["settings"]["rules"]["askWithinNs"] = json!(10_000_000_000u64);
    let _sidecar = Sidecar::start(&config);
    let loses = || {
        let mut watch = discovery.next();
        watch.writes(HEAD);
        watch.chunk("\n");
        drop(watch);
    };
    (0..5).for_each(|_| loses());
    // Of ten seconds a twentieth for the first, give or take half; sixteen times as long were the others still counted.
    let lost = Instant::now();
    loses();
    assert!(
        lost.elapsed() < Duration::from_millis(3_500),
        "{:?}",
        lost.elapsed()
    );
}

/// Guards a newer list against an older one: word of changes that comes late, or the whole list of a discovery that lags
/// behind, takes nothing back, and the watch is opened anew. One that tells it again was set back, and is believed, but
/// what was told to drain goes on draining.
#[test]
fn an_older_list_after_a_newer_one_takes_nothing_back() {
    let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
    let discovery = Calls::start();
    let sidecar = over(&discovery, &[&endpoints[0], &endpoints[1], &endpoints[2]]);
    let all = serving_entries(&[&endpoints[0], &endpoints[1], &endpoints[2]]);
    let mut newer = all.clone();
    newer[0]["status"] = json!("DRAINING");
    newer.truncate(2); // the third is gone
    let mut watch = discovery.next();
    watch.writes(HEAD);
    watch.chunk(&format!("{}\n", list(50, true, &newer)));
    is_out(&sidecar, 1);
    watch.chunk(&format!("{}\n", list(45, false, &all)));
    let mut lags = discovery.next();
    assert!(lags.follows(50), "{}", lags.asked);
    lags.writes(HEAD);
    // Word of what has changed since is not older, and the whole list again is.
    lags.chunk(&format!("{}\n", list(50, false, &[])));
    lags.chunk(&format!("{}\n", list(44, true, &all)));
    let mut set_back = discovery.next();
    assert!(set_back.follows(50), "{}", set_back.asked);
    assert_eq!(sidecar.metric("members"), Some(2));
    is_out(&sidecar, 1);
    set_back.writes(HEAD);
    set_back.chunk(&format!("{}\n", list(44, true, &all)));
    wait_until("it is believed", || sidecar.metric("members") == Some(3));
    is_out(&sidecar, 1);
    drop(set_back);
    assert!(discovery.next().follows(44));
}

/// Guards SIGHUP against a call that is out: discovery moves while the old one has yet to answer, and what that says once
/// the new one has spoken is not taken.
#[test]
fn a_call_that_is_out_as_discovery_moves_tells_nothing_later() {
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let (old, new) = (Calls::start(), Calls::start());
    let all = serving_entries(&[&endpoints[0], &endpoints[1]]);
    let mut config = with_admin_address(config(old.address(), &all));
    let path = temporary_file(&config.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let mut hangs = old.next();
    config["discovery"] = json!(new.address().to_string());
    std::fs::write(&path, config.to_string()).expect("the file is written");
    sidecar.send_signal("HUP");
    let mut whole = new.next();
    assert!(
        whole.asked.starts_with("GET /v1/endpoints "),
        "{}",
        whole.asked
    );
    let mut newer = all.clone();
    newer[0]["status"] = json!("DRAINING");
    let text = list(7, true, &newer);
    whole.writes(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    ));
    let _watch = new.next();
    is_out(&sidecar, 1);
    // By now it may be closed there.
    let late = format!("{}\n", list(99, true, &all));
    let _ = hangs
        .stream
        .write_all(format!("{HEAD}{:x}\r\n{late}\r\n", late.len()).as_bytes());
    for _ in 0..20 {
        assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    }
    assert_eq!(
        (
            endpoints[0].take_request_count(),
            sidecar.metric("members_unavailable")
        ),
        (0, Some(1))
    );
    std::fs::remove_file(path).expect("the file goes");
}
