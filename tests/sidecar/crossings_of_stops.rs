//! A stop or a hand-over against what else happens just then. `docs/crossings.md` lists the pairs.

use crate::stubs::*;
use serde_json::json;
use std::io::Read;
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// Guards SIGTERM against requests half read: what has come in part by the time that connections close is answered once
/// it has come whole, and a second SIGTERM, a DRAIN and its end in between change nothing.
#[test]
fn a_stop_waits_for_requests_that_are_half_read() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let mut sidecar = Sidecar::start(&config_with_deadline(
        &discovery,
        &[&endpoint],
        Duration::from_secs(1),
    ));
    let mut idle = sidecar.client();
    assert_eq!(idle.exchange(READY_REQUEST).status(), 200);
    let requests = [get_request("1"), post_request("unsafe", "1", "hello")];
    let mut half: Vec<(Client, &str)> = Vec::new();
    sidecar.terminate();
    wait_until("it stops", || {
        sidecar.client().exchange(READY_REQUEST).status() == 503
    });
    for (request, at) in requests.iter().zip([20, requests[1].len() - 3]) {
        let mut client = sidecar.client();
        client.write(&request[..at]);
        half.push((client, &request[at..]));
    }
    sidecar.terminate();
    assert!(sidecar.call_is_yes("DRAIN") && !sidecar.call_is_yes("READY"));
    assert!(
        sidecar.call_is_yes("UNDRAIN") && !sidecar.call_is_yes("READY"),
        "it stops all the same"
    );
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
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let mut sidecar = Sidecar::start(&config_with_deadline(
        &discovery,
        &[&endpoint],
        Duration::from_secs(3),
    ));
    let mut idle = sidecar.client();
    assert_eq!(idle.exchange(READY_REQUEST).status(), 200);
    sidecar.terminate();
    assert!(idle.is_closed(), "the last step before has begun");
    sidecar.suspend();
    let mut late: Vec<Client> = (0..12)
        .map(|_| {
            let mut client = sidecar.client();
            client.write(&get_request("3"));
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(900)); // past the last step
    sidecar.resume();
    for client in &mut late {
        // Served, or refused as the time in which all has to be answered is over.
        let answer = client.read().map(|answer| answer.status());
        assert!(
            matches!(answer, Some(200 | 503)),
            "{answer:?} {:?}",
            sidecar.log()
        );
    }
    assert!(sidecar.wait().success());
}

/// Guards the last step of a stop against callers that have just been let in: they have connected while the program stood
/// still, and ask a moment after it goes on. Those that never ask keep nobody waiting.
#[test]
fn a_stop_answers_callers_that_have_just_been_let_in() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    // A moment is 0.3 s at the most, which a busy machine may take longer for; then all is done once more.
    wait_until("they ask in time", || {
        let discovery = Discovery::start();
        let mut sidecar = Sidecar::start(&config_with_deadline(
            &discovery,
            &[&endpoint],
            Duration::from_secs(3),
        ));
        let mut idle = sidecar.client();
        assert_eq!(idle.exchange(READY_REQUEST).status(), 200);
        sidecar.terminate();
        assert!(idle.is_closed(), "the last step before has begun");
        sidecar.suspend();
        let before = sidecar.descriptor_count();
        let mut late: Vec<Client> = (0..12).map(|_| sidecar.client()).collect();
        let mut silent = sidecar.client();
        std::thread::sleep(Duration::from_millis(900)); // past the last step
        let from = Instant::now();
        sidecar.resume();
        wait_until("they are let in", || {
            sidecar.descriptor_count() > before + 11
        });
        for client in &mut late {
            client.write(&get_request("3"));
        }
        let in_time = from.elapsed() < Duration::from_millis(250);
        for client in &mut late {
            let answer = client.read().map(|answer| answer.status());
            assert!(
                matches!(answer, Some(200 | 503)) || !in_time,
                "{answer:?} {:?}",
                sidecar.log()
            );
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
    let told = ScriptedEndpoint::start();
    let (discovery, other) = (Discovery::start(), Endpoint::start(|_| respond_ok("other")));
    let mut sidecar = Sidecar::start(&config_with_deadline(
        &discovery,
        &[&told.endpoint],
        Duration::from_secs(10),
    ));
    let mut watch = discovery.next_watch();
    let mut client = sidecar.client();
    told.earn_retries(&mut client);
    let ask = |request: String| {
        let mut client = sidecar.client();
        client.write(&request);
        client
    };
    let mut retried = ask(get_request("9"));
    told.endpoint.next_request();
    let mut out = ask(post_request("unsafe", "9", "x"));
    told.endpoint.next_request();
    watch.write_line(&list(
        42,
        false,
        &[entry("e0", told.endpoint.address, "DRAINING")],
    ));
    wait_until("it drains", || {
        sidecar.metric("members_unavailable") == Some(1)
    });
    let mut held = ask(get_request("9"));
    wait_until("all are there", || sidecar.metric("pending") == Some(3));
    sidecar.terminate();
    wait_until("nobody is let in any more", || {
        TcpStream::connect(sidecar.address).is_err()
    });
    told.respond_next(EndpointAction::Respond(
        "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into(),
    ));
    told.respond_next(respond_ok("out"));
    watch.write_line(&list(43, false, &[entry("e1", other.address, "SERVING")]));
    // Which of the two the stub answers first is the stub's; both are known by their class.
    for (client, bodies) in [
        (&mut retried, ["other", "out"]),
        (&mut out, ["out", ""]),
        (&mut held, ["other", "other"]),
    ] {
        let answer = client.read().expect("an answer");
        let body = String::from_utf8(answer.body.clone()).expect("text");
        assert!(
            bodies.contains(&body.as_str()),
            "{} {body}",
            answer.status()
        );
    }
    drop((retried, out, held, client));
    assert!(sidecar.wait().success());
}

/// Guards bans against the death of the process that was told: it keeps the word before it says yes, and dies before it
/// has passed it on. The test is that process.
#[test]
fn a_ban_outlives_the_process_that_was_told_and_died() {
    let folder = temporary_directory();
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let discovery = Discovery::start();
    let all = serving_entries(&[&endpoints[0], &endpoints[1]]);
    let sidecar = Sidecar::start_in_directory(
        &folder,
        &with_admin_address(config(discovery.address, &all)),
    );
    let socket = folder.join("pipittray.sock");
    wait_until("it offers to hand over", || socket.exists());
    let newer = UnixStream::connect(&socket).expect("it hands over");
    let mut byte = [0];
    (&newer)
        .read_exact(&mut byte)
        .expect("the socket comes with a byte");
    let (bans, out) = (folder.join("pipittray.disabled"), || {
        sidecar.metric("members_unavailable")
    });
    std::fs::write(&bans, "[\"e1\"]").expect("the word is kept");
    assert_eq!(out(), Some(0));
    drop(newer);
    wait_until("it is taken out here too", || out() == Some(1));
    let mut client = sidecar.client();
    for _ in 0..20 {
        assert_eq!(client.exchange(&get_request("5")).status(), 200);
    }
    assert_eq!(endpoints[1].take_request_count(), 0);
    // Back in, told to the next newer one; but a file that cannot be read says nothing.
    let mut dies = |text: &str, told: &str| {
        let newer = UnixStream::connect(&socket).expect("it hands over");
        (&newer)
            .read_exact(&mut byte)
            .expect("the socket comes with a byte");
        std::fs::write(&bans, text).expect("the word is kept");
        assert_eq!(out(), Some(1));
        if !told.is_empty() {
            assert!(sidecar.call_is_yes(told));
        }
        drop(newer);
    };
    dies("[\"e1", "");
    sidecar.wait_for_log("disabled endpoints: the stored file is ignored");
    assert_eq!(out(), Some(1));
    dies("[]", "");
    wait_until("it is back here too", || out() == Some(0));
    // Each told something of its own at once.
    assert!(sidecar.call_is_yes("DISABLE e1"));
    dies("[\"e0\",\"e1\"]", "ENABLE e1");
    sidecar.wait_for_log("endpoint e0 is disabled by the operators");
    assert_eq!(out(), Some(1));
    assert_eq!(
        std::fs::read_to_string(&bans).expect("it is kept"),
        "[\"e0\"]"
    );
    std::fs::remove_dir_all(folder).expect("it goes");
}

/// One that may be replaced, about to stop, with a request out that keeps it from ending: all callers are let in that were
/// to be, and its own part of the listening socket is closed.
fn stops_with_one_out(
    told: &ScriptedEndpoint,
    discovery: &Discovery,
    newer: impl FnOnce(&Path),
) -> (Sidecar, Client) {
    let folder = temporary_directory();
    let config = config_with_deadline(discovery, &[&told.endpoint], Duration::from_secs(15));
    let sidecar = Sidecar::start_in_directory(&folder, &config);
    let socket = folder.join("pipittray.sock");
    wait_until("it offers to hand over", || socket.exists());
    newer(&socket);
    let mut out = sidecar.client();
    out.write(&post_request("unsafe", "15", "x"));
    told.endpoint.next_request();
    let listeners = sidecar.listener_count();
    sidecar.terminate();
    wait_until("it lets nobody in any more", || {
        sidecar.listener_count() < listeners
    });
    std::fs::remove_dir_all(folder).expect("it goes");
    (sidecar, out)
}

/// Guards the listening socket that may be handed over against a stop with nobody to take it: it closes with the other, so
/// that callers are refused and go elsewhere, and do not wait for an answer up to the process's end.
#[test]
fn a_stop_closes_the_listener_also_where_it_may_be_handed_over() {
    let (told, discovery) = (ScriptedEndpoint::start(), Discovery::start());
    let (mut sidecar, mut out) = stops_with_one_out(&told, &discovery, |_| {});
    assert!(
        TcpStream::connect(sidecar.address).is_err(),
        "nobody lets it in"
    );
    told.respond_next(respond_ok("x"));
    assert_eq!(out.read().expect("an answer").status(), 200);
    assert!(sidecar.wait().success());
}

/// Guards callers of a newer process that dies while the older one stops: what waits in the backlog of the socket that both
/// have is the older one's again, and is answered. The test is the newer process.
#[test]
fn a_process_that_stops_answers_what_a_newer_one_that_died_left_in_the_backlog() {
    let (told, discovery) = (ScriptedEndpoint::start(), Discovery::start());
    let mut newer = None;
    let (mut sidecar, mut out) = stops_with_one_out(&told, &discovery, |socket| {
        let mut stream = UnixStream::connect(socket).expect("it hands over");
        stream
            .read_exact(&mut [0])
            .expect("the socket comes with a byte");
        newer = Some(stream);
    });
    let mut waits: Vec<Client> = (0..3)
        .map(|_| {
            let mut client = sidecar.client();
            client.write(&get_request("9"));
            client
        })
        .collect();
    drop(newer);
    for client in &mut waits {
        // Served, or refused: the time in which all has to be answered is nearly over.
        let answer = client.read().map(|answer| answer.status());
        assert!(
            matches!(answer, Some(200 | 503)),
            "{answer:?} {:?}",
            sidecar.log()
        );
    }
    wait_until("nobody is let in any more", || {
        TcpStream::connect(sidecar.address).is_err()
    });
    told.respond_next(respond_ok("x"));
    assert_eq!(out.read().expect("an answer").status(), 200);
    assert!(sidecar.wait().success());
}

/// Guards the end of a hold against its timer: a request that was sent on meanwhile is the endpoint's to answer, and one
/// that is over gets nothing more.
#[test]
fn the_timer_of_a_hold_that_is_over_answers_nobody() {
    let told = ScriptedEndpoint::start();
    let discovery = Discovery::start();
    let mut config = with_admin_address(config(discovery.address, &[]));
    // Held for 2 s at the most, and worth waiting for longer.
    config["settings"]["categories"][0]["objectiveNs"] = json!(2_000_000_000u64);
    config["settings"]["categories"][0]["lateShare"] = json!(0.5);
    let sidecar = Sidecar::start(&config);
    let mut watch = discovery.next_watch();
    let [mut over, mut out] = [0, 1].map(|n| {
        let mut client = sidecar.client();
        client.write(&get_request("9"));
        wait_until("it is held", || sidecar.metric("pending") == Some(n + 1));
        client
    });
    watch.write_line(&list(42, false, &serving_entries(&[&told.endpoint])));
    told.endpoint.next_request();
    told.respond_next(respond_ok("x"));
    assert_eq!(over.read().expect("an answer").status(), 200);
    std::thread::sleep(Duration::from_millis(2_500)); // both holds are over
    let drains = entry("e1", "127.0.0.1:1".parse().expect("an address"), "DRAINING");
    watch.write_line(&list(43, false, &[drains]));
    wait_until("the module has looked at the time", || {
        sidecar.metric("members") == Some(2)
    });
    told.respond_next(respond_ok("x"));
    assert_eq!(out.read().expect("an answer").status(), 200);
    assert_eq!(
        over.exchange(READY_REQUEST).status(),
        200,
        "nothing more came before"
    );
    let ended = ["completed", "rejected", "failed"].map(|how| sidecar.requests_ended(how, "safe"));
    assert_eq!(ended, [Some(2), Some(0), Some(0)]);
}
