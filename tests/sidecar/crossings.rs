//! Pairs of events that may come in either order, in the one that is not the usual. `docs/crossings.md` lists them.
//!
//! The order is forced: a stub stops at a step and goes on when told, or the program stands still while all comes.

use crate::stubs::*;
use serde_json::{Value, json};
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

const READY: &str = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// An endpoint that writes what the test says when it says so, on the connection of the request that is next.
struct Told {
    endpoint: Endpoint,
    tell: Sender<Does>,
}

impl Told {
    fn start() -> Self {
        let (tell, told): (_, Receiver<Does>) = channel();
        let told = Mutex::new(told);
        let endpoint =
            Endpoint::start(move |_| told.lock().expect("the only one").recv().unwrap_or(Does::Hangs));
        Told { endpoint, tell }
    }

    fn does(&self, what: Does) {
        self.tell.send(what).expect("it waits");
    }

    /// Serves as many requests as the module grants a few retries for.
    fn earns_retries(&self, client: &mut Client) {
        for _ in 0..10 {
            client.write(&get("5"));
            self.does(ok("x"));
            assert_eq!(client.read().expect("an answer").status(), 200);
            self.endpoint.next_request();
        }
    }
}

/// A sidecar with a short longest deadline, so that a stop has short steps.
fn brief(discovery: &Discovery, endpoints: &[&Endpoint], deadline: Duration) -> Value {
    let mut config = with_admin(config(discovery.address, &serving(endpoints)));
    for class in config["settings"]["categories"].as_array_mut().expect("a list") {
        class["objectiveNs"] = json!(deadline.as_nanos() as u64);
        class["hardLimitNs"] = json!(deadline.as_nanos() as u64);
    }
    config
}

// ---- Shutdown --------------------------------------------------------------------------------------------

/// Guards SIGTERM against requests half read: what has come in part by the time that connections close is answered once
/// it has come whole, and a second SIGTERM, a DRAIN and its end in between change nothing.
#[test]
fn a_stop_waits_for_requests_that_are_half_read() {
    let endpoint = Endpoint::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut sidecar = Sidecar::start(&brief(&discovery, &[&endpoint], Duration::from_secs(1)));
    let mut idle = sidecar.client();
    assert_eq!(idle.ask(READY).status(), 200);
    let requests = [get("1"), post("unsafe", "1", "hello")];
    let mut half: Vec<(Client, &str)> = Vec::new();
    sidecar.terminate();
    awaits("it stops", || sidecar.client().ask(READY).status() == 503);
    for (request, at) in requests.iter().zip([20, requests[1].len() - 3]) {
        let mut client = sidecar.client();
        client.write(&request[..at]);
        half.push((client, &request[at..]));
    }
    sidecar.terminate();
    assert!(sidecar.says_yes("DRAIN") && !sidecar.says_yes("READY"));
    assert!(sidecar.says_yes("UNDRAIN") && !sidecar.says_yes("READY"), "it stops all the same");
    assert!(idle.is_closed(), "connections between requests close");
    for (client, rest) in &mut half {
        client.write(rest);
        assert_eq!(client.read().expect("an answer").status(), 200);
        assert!(client.is_closed());
    }
    assert!(sidecar.wait().success());
}

/// Guards the listener's end: what stands in the kernel's backlog by then is let in and answered, not reset.
#[test]
fn a_stop_answers_what_waits_in_the_backlog_as_the_listener_closes() {
    let endpoint = Endpoint::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut sidecar = Sidecar::start(&brief(&discovery, &[&endpoint], Duration::from_secs(3)));
    let mut idle = sidecar.client();
    assert_eq!(idle.ask(READY).status(), 200);
    sidecar.terminate();
    assert!(idle.is_closed(), "the last step before has begun");
    sidecar.freezes();
    let mut late: Vec<Client> = (0..12)
        .map(|_| {
            let mut client = sidecar.client();
            client.write(&get("3"));
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(900)); // past the last step
    sidecar.thaws();
    for client in &mut late {
        // Served, or refused as the time in which all has to be answered is over.
        let answer = client.read().map(|answer| answer.status());
        assert!(matches!(answer, Some(200 | 503)), "{answer:?} {:?}", sidecar.log());
    }
    assert!(sidecar.wait().success());
}

/// Guards the last step of a stop against callers that have just been let in: they have connected while the program stood
/// still, and ask a moment after it goes on. Those that never ask keep nobody waiting.
#[test]
fn a_stop_answers_callers_that_have_just_been_let_in() {
    let endpoint = Endpoint::start(|_| ok("x"));
    // A moment is 0.3 s at the most, which a busy machine may take longer for; then all is done once more.
    awaits("they ask in time", || {
        let discovery = Discovery::start();
        let mut sidecar = Sidecar::start(&brief(&discovery, &[&endpoint], Duration::from_secs(3)));
        let mut idle = sidecar.client();
        assert_eq!(idle.ask(READY).status(), 200);
        sidecar.terminate();
        assert!(idle.is_closed(), "the last step before has begun");
        sidecar.freezes();
        let before = sidecar.descriptors();
        let mut late: Vec<Client> = (0..12).map(|_| sidecar.client()).collect();
        let mut silent = sidecar.client();
        std::thread::sleep(Duration::from_millis(900)); // past the last step
        let from = Instant::now();
        sidecar.thaws();
        awaits("they are let in", || sidecar.descriptors() > before + 11);
        late.iter_mut().for_each(|client| client.write(&get("3")));
        let in_time = from.elapsed() < Duration::from_millis(250);
        for client in &mut late {
            let answer = client.read().map(|answer| answer.status());
            assert!(matches!(answer, Some(200 | 503)) || !in_time, "{answer:?} {:?}", sidecar.log());
        }
        assert!(silent.is_closed());
        assert!(sidecar.wait().success());
        in_time
    });
}

/// Guards SIGTERM against requests that are held, out, or wait for a retry: each gets its one answer. The process ends as
/// soon as the last has.
#[test]
fn a_stop_answers_what_is_held_out_or_retried() {
    let told = Told::start();
    let (discovery, other) = (Discovery::start(), Endpoint::start(|_| ok("other")));
    let mut sidecar = Sidecar::start(&brief(&discovery, &[&told.endpoint], Duration::from_secs(10)));
    let mut watch = discovery.next_watch();
    let mut client = sidecar.client();
    told.earns_retries(&mut client);
    let ask = |request: String| {
        let mut client = sidecar.client();
        client.write(&request);
        client
    };
    let mut retried = ask(get("9"));
    told.endpoint.next_request();
    let mut out = ask(post("unsafe", "9", "x"));
    told.endpoint.next_request();
    watch.write_line(&list(42, false, &[entry("e0", told.endpoint.address, "DRAINING")]));
    awaits("it drains", || sidecar.figure("members_unavailable") == Some(1));
    let mut held = ask(get("9"));
    awaits("all are there", || sidecar.figure("pending") == Some(3));
    sidecar.terminate();
    awaits("nobody is let in any more", || TcpStream::connect(sidecar.address).is_err());
    told.does(Does::Answers("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into()));
    told.does(ok("out"));
    watch.write_line(&list(43, false, &[entry("e1", other.address, "SERVING")]));
    // Which of the two the stub answers first is the stub's; both are known by their class.
    for (client, bodies) in
        [(&mut retried, ["other", "out"]), (&mut out, ["out", ""]), (&mut held, ["other", "other"])]
    {
        let answer = client.read().expect("an answer");
        let body = String::from_utf8(answer.body.clone()).expect("text");
        assert!(bodies.contains(&body.as_str()), "{} {body}", answer.status());
    }
    drop((retried, out, held, client));
    assert!(sidecar.wait().success());
}

// ---- Retries ---------------------------------------------------------------------------------------------

/// An endpoint whose every connection the test writes and ends itself.
fn raw() -> (TcpListener, Value) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let known = entry("raw", listener.local_addr().expect("an address"), "SERVING");
    (listener, known)
}

fn asked(listener: &TcpListener) -> (Message, TcpStream) {
    let (stream, _) = listener.accept().expect("a connection");
    let mut reader = BufReader::new(stream);
    let message = read_message(&mut reader).expect("a request");
    (message, reader.into_inner())
}

fn resets(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

/// Guards a reset against the answer that came before it: what is whole is served, what is not has failed, and what must
/// not run twice is sent once either way.
#[test]
fn a_reset_right_behind_an_answer_takes_nothing_from_it() {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (text, status) in [(whole, 200), (&whole[..whole.len() - 1], 502), ("", 502)] {
        let (listener, known) = raw();
        let discovery = Discovery::start();
        let sidecar = Sidecar::start(&with_admin(config(discovery.address, &[known])));
        let mut client = sidecar.client();
        client.write(&post("unsafe", "9", "x"));
        let (_, mut stream) = asked(&listener);
        sidecar.freezes();
        stream.write_all(text.as_bytes()).expect("it is open");
        resets(stream);
        sidecar.thaws();
        assert_eq!(client.read().expect("an answer").status(), status, "{text}");
        assert_eq!(sidecar.figure("upstream_requests"), Some(1));
        assert_eq!(sidecar.figure("pending"), Some(0));
    }
}

/// Guards answers that say nothing of their length, which last until their connection's end: a reset is none, whatever has
/// come by then, and what may have run fails.
#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    for (resets_it, status) in [(true, 502), (false, 200)] {
        for text in
            ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nbegun", "HTTP/1.0 200 OK\r\n\r\nbegun"]
        {
            let (listener, known) = raw();
            let discovery = Discovery::start();
            let sidecar = Sidecar::start(&with_admin(config(discovery.address, &[known])));
            let mut client = sidecar.client();
            client.write(&post("unsafe", "9", "x"));
            let (_, mut stream) = asked(&listener);
            stream.write_all(text.as_bytes()).expect("it is open");
            std::thread::sleep(Duration::from_millis(50)); // it is read before the end comes, and after
            if resets_it {
                resets(stream);
            } else {
                drop(stream);
            }
            let answer = client.read().expect("an answer");
            assert_eq!(answer.status(), status, "{text}");
            if !resets_it {
                assert_eq!(answer.body, text.split_once("\r\n\r\n").expect("a head").1.as_bytes());
            }
            assert_eq!(sidecar.figure("upstream_requests"), Some(1));
        }
    }
}

/// Guards the time-out against an answer that has come by then: one of them is the end, the client gets one answer, and
/// nothing is sent again. The connection that was given up carries nothing more.
#[test]
fn a_time_out_and_the_answer_at_once_are_one_end() {
    let (listener, known) = raw();
    let discovery = Discovery::start();
    let mut config = brief(&discovery, &[], Duration::from_secs(1));
    config["known"]["endpoints"] = json!([known]);
    let sidecar = Sidecar::start(&config);
    let mut client = sidecar.client();
    client.write(&post("unsafe", "1", "x"));
    let (_, mut stream) = asked(&listener);
    sidecar.freezes();
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("it is open");
    std::thread::sleep(Duration::from_millis(1_200));
    sidecar.thaws();
    let answer = client.read().expect("an answer");
    assert!(matches!(answer.status(), 200 | 504), "{}", answer.status());
    assert_eq!(client.ask(READY).status(), 200, "the next answer is the next request's");
    awaits("it is over", || sidecar.figure("pending") == Some(0));
    assert_eq!(sidecar.figure("upstream_requests"), Some(1));
    let ends: u64 = ["completed", "failed"].iter().filter_map(|how| sidecar.ended(how, "unsafe")).sum();
    assert_eq!(ends, 1);
}

/// A sidecar over an endpoint that answers as told, with a few retries earned, which can be given other settings.
struct Retuned {
    told: Told,
    sidecar: Sidecar,
    discovery: Discovery,
    watch: Watch,
    config: Value,
    path: PathBuf,
}

impl Retuned {
    fn start() -> Self {
        let (told, discovery) = (Told::start(), Discovery::start());
        let config = with_admin(config(discovery.address, &serving(&[&told.endpoint])));
        let path = file(&config.to_string());
        let sidecar = Sidecar::start_with(&path);
        let watch = discovery.next_watch();
        told.earns_retries(&mut sidecar.client());
        Retuned { told, sidecar, discovery, watch, config, path }
    }

    /// A client whose request is out at the endpoint.
    fn asks(&self, request: &str) -> Client {
        let mut client = self.sidecar.client();
        client.write(request);
        self.told.endpoint.next_request();
        client
    }

    fn lists(&mut self, line: &str) {
        self.watch.says(&self.discovery, line);
    }

    fn retunes(&mut self, change: impl FnOnce(&mut Vec<Value>)) {
        change(self.config["settings"]["categories"].as_array_mut().expect("a list"));
        std::fs::write(&self.path, self.config.to_string()).expect("the file is written");
        self.sidecar.signal("HUP");
        awaits("it is taken", || self.sidecar.figure("config_reloads") == Some(1));
    }

    fn fails(&self) {
        self.told.does(Does::Answers("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into()));
    }
}

impl Drop for Retuned {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Guards an attempt that is out against a new effect from SIGHUP: a request keeps the class that it came with, so that one
/// that must not run twice is not sent again because others of its name now may.
#[test]
fn a_new_effect_does_not_reach_an_attempt_that_is_out() {
    let (mut retuned, other) = (Retuned::start(), Endpoint::start(|_| ok("other")));
    let mut client = retuned.asks(&post("unsafe", "9", "x"));
    retuned.lists(&list(42, true, &serving(&[&retuned.told.endpoint, &other])));
    awaits("the other is listed", || retuned.sidecar.figure("members") == Some(2));
    retuned.retunes(|classes| classes[1]["effect"] = json!("free"));
    retuned.fails();
    assert_eq!(client.read().expect("an answer").status(), 502);
    assert_eq!(other.requests(), 0, "it is not sent again");
}

/// Guards attempts that are out against fewer worth levels from SIGHUP: a request keeps its worth among those that are left,
/// be it retried, or its client gone.
#[test]
fn fewer_levels_do_not_reach_an_attempt_that_is_out() {
    let (mut retuned, other) = (Retuned::start(), Endpoint::start(|_| ok("other")));
    let keyed = || post("keyed", "9", "x").replace("X-Class", "Idempotency-Key: k\r\nX-Class");
    let (mut client, gone) = (retuned.asks(&keyed()), retuned.asks(&keyed()));
    retuned.lists(&list(42, false, &[entry("e0", retuned.told.endpoint.address, "DRAINING")]));
    awaits("it drains", || retuned.sidecar.figure("members_unavailable") == Some(1));
    retuned.retunes(|classes| {
        // Only one class is left beside theirs, and worth as much.
        classes.truncate(1);
        classes[0]["worth"] = json!(2.0);
    });
    drop(gone);
    awaits("it has left", || retuned.sidecar.figure("pending") == Some(1));
    (0..2).for_each(|_| retuned.fails());
    std::thread::sleep(Duration::from_millis(100)); // the retry waits
    retuned.lists(&list(43, false, &[entry("e1", other.address, "SERVING")]));
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, "other".as_bytes()));
    assert_eq!(client.ask(&get("5")).status(), 200, "and all is as ever");
    assert!(!retuned.sidecar.log().iter().any(|line| line.contains("panicked")));
}

// ---- Idle connections ------------------------------------------------------------------------------------

/// Guards the close that makes room against the request that is on its way: each caller gets its answer whole, or a close
/// with nothing on it, and then its request was not sent on.
#[test]
fn a_close_to_make_room_and_the_next_request_do_not_cross() {
    let endpoint = Endpoint::start(|_| ok("x"));
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &serving(&[&endpoint]));
    config["limits"]["sockets"] = json!(64);
    let sidecar = Sidecar::start(&config);
    let mut idle: Vec<Client> = (0..16).map(|_| sidecar.client()).collect();
    idle.iter_mut().for_each(|client| assert_eq!(client.ask(READY).status(), 200));
    sidecar.freezes();
    let mut new: Vec<TcpStream> =
        (0..24).map(|_| TcpStream::connect(sidecar.address).expect("the backlog has room")).collect();
    let requests: Vec<String> = idle.iter().map(|_| get("9")).collect();
    idle.iter_mut().zip(&requests).for_each(|(client, request)| client.write(request));
    sidecar.thaws();
    let mut answered = 0;
    for client in &mut idle {
        match client.read() {
            Some(answer) => {
                assert_eq!(answer.status(), 200);
                answered += 1;
            }
            None => assert!(client.is_closed(), "nothing of an answer came"),
        }
    }
    assert_eq!(endpoint.requests(), answered, "what was closed on was not sent on");
    for stream in &mut new {
        let _ = stream.write_all(b"x");
    }
}

// ---- Hand-overs ------------------------------------------------------------------------------------------

/// Guards bans against the death of the process that was told: it keeps the word before it says yes, and dies before it
/// has passed it on. The test is that process.
#[test]
fn a_ban_outlives_the_process_that_was_told_and_died() {
    let folder = folder();
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| ok("")));
    let discovery = Discovery::start();
    let all = serving(&[&endpoints[0], &endpoints[1]]);
    let sidecar = Sidecar::start_in(&folder, &with_admin(config(discovery.address, &all)));
    let socket = folder.join("rowanway.sock");
    awaits("it offers to hand over", || socket.exists());
    let newer = UnixStream::connect(&socket).expect("it hands over");
    let mut byte = [0];
    (&newer).read_exact(&mut byte).expect("the socket comes with a byte");
    let (bans, out) = (folder.join("rowanway.bans"), || sidecar.figure("members_unavailable"));
    std::fs::write(&bans, "[\"e1\"]").expect("the word is kept");
    assert_eq!(out(), Some(0));
    drop(newer);
    awaits("it is taken out here too", || out() == Some(1));
    let mut client = sidecar.client();
    for _ in 0..20 {
        assert_eq!(client.ask(&get("5")).status(), 200);
    }
    assert_eq!(endpoints[1].requests(), 0);
    // Back in, told to the next newer one; but a file that cannot be read says nothing.
    let mut dies = |text: &str, told: &str| {
        let newer = UnixStream::connect(&socket).expect("it hands over");
        (&newer).read_exact(&mut byte).expect("the socket comes with a byte");
        std::fs::write(&bans, text).expect("the word is kept");
        assert_eq!(out(), Some(1));
        if !told.is_empty() {
            assert!(sidecar.says_yes(told));
        }
        drop(newer);
    };
    dies("[\"e1", "");
    sidecar.awaits_log("endpoints taken out is ignored");
    assert_eq!(out(), Some(1));
    dies("[]", "");
    awaits("it is back here too", || out() == Some(0));
    // Each told something of its own at once.
    assert!(sidecar.says_yes("DISABLE e1"));
    dies("[\"e0\",\"e1\"]", "ENABLE e1");
    sidecar.awaits_log("endpoint e0 is taken out by hand");
    assert_eq!(out(), Some(1));
    assert_eq!(std::fs::read_to_string(&bans).expect("it is kept"), "[\"e0\"]");
    std::fs::remove_dir_all(folder).expect("it goes");
}

/// One that may be replaced, about to stop, with a request out that keeps it from ending: all callers are let in that were
/// to be, and its own part of the listening socket is closed.
fn stops_with_one_out(told: &Told, discovery: &Discovery, newer: impl FnOnce(&Path)) -> (Sidecar, Client) {
    let folder = folder();
    let config = brief(discovery, &[&told.endpoint], Duration::from_secs(15));
    let sidecar = Sidecar::start_in(&folder, &config);
    let socket = folder.join("rowanway.sock");
    awaits("it offers to hand over", || socket.exists());
    newer(&socket);
    let mut out = sidecar.client();
    out.write(&post("unsafe", "15", "x"));
    told.endpoint.next_request();
    let listeners = sidecar.listeners();
    sidecar.terminate();
    awaits("it lets nobody in any more", || sidecar.listeners() < listeners);
    std::fs::remove_dir_all(folder).expect("it goes");
    (sidecar, out)
}

/// Guards the listening socket that may be handed over against a stop with nobody to take it: it closes with the other, so
/// that callers are refused and go elsewhere, and do not wait for an answer up to the process's end.
#[test]
fn a_stop_closes_the_listener_also_where_it_may_be_handed_over() {
    let (told, discovery) = (Told::start(), Discovery::start());
    let (mut sidecar, mut out) = stops_with_one_out(&told, &discovery, |_| {});
    assert!(TcpStream::connect(sidecar.address).is_err(), "nobody lets it in");
    told.does(ok("x"));
    assert_eq!(out.read().expect("an answer").status(), 200);
    assert!(sidecar.wait().success());
}

/// Guards callers of a newer process that dies while the older one stops: what waits in the backlog of the socket that both
/// have is the older one's again, and is answered. The test is the newer process.
#[test]
fn a_process_that_stops_answers_what_a_newer_one_that_died_left_in_the_backlog() {
    let (told, discovery) = (Told::start(), Discovery::start());
    let mut newer = None;
    let (mut sidecar, mut out) = stops_with_one_out(&told, &discovery, |socket| {
        let mut stream = UnixStream::connect(socket).expect("it hands over");
        stream.read_exact(&mut [0]).expect("the socket comes with a byte");
        newer = Some(stream);
    });
    let mut waits: Vec<Client> = (0..3)
        .map(|_| {
            let mut client = sidecar.client();
            client.write(&get("9"));
            client
        })
        .collect();
    drop(newer);
    for client in &mut waits {
        // Served, or refused: the time in which all has to be answered is nearly over.
        let answer = client.read().map(|answer| answer.status());
        assert!(matches!(answer, Some(200 | 503)), "{answer:?} {:?}", sidecar.log());
    }
    awaits("nobody is let in any more", || TcpStream::connect(sidecar.address).is_err());
    told.does(ok("x"));
    assert_eq!(out.read().expect("an answer").status(), 200);
    assert!(sidecar.wait().success());
}

/// Guards the end of a hold against its timer: a request that was sent on meanwhile is the endpoint's to answer, and one
/// that is over gets nothing more.
#[test]
fn the_timer_of_a_hold_that_is_over_answers_nobody() {
    let told = Told::start();
    let discovery = Discovery::start();
    let mut config = with_admin(config(discovery.address, &[]));
    // Held for 2 s at the most, and worth waiting for longer.
    config["settings"]["categories"][0]["objectiveNs"] = json!(2_000_000_000u64);
    config["settings"]["categories"][0]["lateShare"] = json!(0.5);
    let sidecar = Sidecar::start(&config);
    let mut watch = discovery.next_watch();
    let [mut over, mut out] = [0, 1].map(|n| {
        let mut client = sidecar.client();
        client.write(&get("9"));
        awaits("it is held", || sidecar.figure("pending") == Some(n + 1));
        client
    });
    watch.write_line(&list(42, false, &serving(&[&told.endpoint])));
    told.endpoint.next_request();
    told.does(ok("x"));
    assert_eq!(over.read().expect("an answer").status(), 200);
    std::thread::sleep(Duration::from_millis(2_500)); // both holds are over
    let drains = entry("e1", "127.0.0.1:1".parse().expect("an address"), "DRAINING");
    watch.write_line(&list(43, false, &[drains]));
    awaits("the module has looked at the time", || sidecar.figure("members") == Some(2));
    told.does(ok("x"));
    assert_eq!(out.read().expect("an answer").status(), 200);
    assert_eq!(over.ask(READY).status(), 200, "nothing more came before");
    let ended = ["completed", "rejected", "failed"].map(|how| sidecar.ended(how, "safe"));
    assert_eq!(ended, [Some(2), Some(0), Some(0)]);
}
