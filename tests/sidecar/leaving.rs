//! Clients that leave while their request waits: it is not sent on, wherever it waits, and those beside it are served.

use crate::cancellation_support::{Behind, CHANGES, Holds, Late, Leaves, WAYS, Waits, changes, id};
use crate::stubs::*;
use serde_json::{Value, json};
use std::io::Read;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Those that leave, each in another way, among those that stay; then what was held goes. In any tier, whether or not
/// attempts may be called off. Each that leaves is told once, and its neighbours are served.
fn leave_while_held(change: impl FnOnce(&mut Value)) {
    let mut holds = Holds::with(change);
    let (mut stay, mut leave, mut ids) = (Vec::new(), Vec::new(), Vec::new());
    for how in WAYS {
        let request = get_request("60");
        leave.push((how, Waits::with(&holds.sidecar, &request)));
        if let Leaves::ByItsEnd(_) = how {
            let request = post_request("unsafe", "60", "x");
            ids.push(id(&request));
            stay.push(Waits::with(&holds.sidecar, &request));
        }
    }
    let all = leave.len() + stay.len();
    holds.has_pending(all);
    for (how, client) in leave {
        client.leaves(how);
    }
    holds.has_pending(stay.len());
    holds.lets_go();
    assert!(
        stay.iter_mut().all(Waits::is_served),
        "those that stay are served"
    );
    holds.has_pending(0);
    let mut saw = holds.saw();
    saw.sort();
    ids.sort();
    assert_eq!(saw, ids, "and nothing else is sent on");
    drop(stay);
    let mut sidecar = holds.sidecar;
    sidecar.terminate();
    assert!(sidecar.wait().success());
    let count = |name: &str| sidecar.logged_count(name);
    wait_until("the counts are told", || count("requests") == all as u64);
    assert_eq!(
        (count("disconnected"), count("served")),
        (WAYS.len() as u64, ids.len() as u64),
        "{:?}",
        sidecar.log()
    );
    assert!(
        sidecar
            .log()
            .iter()
            .any(|l| l.contains("now pending=0 queued=0 in_flight=0")),
        "{:?}",
        sidecar.log()
    );
}

/// Guards the hold: in the first tier, where clients call.
#[test]
fn a_held_request_whose_client_leaves_is_not_sent() {
    leave_while_held(|_| {});
}

/// Guards later tiers, whose one client is an endpoint that drops its call, and sites that forbid to call off attempts.
#[test]
fn nor_in_a_later_tier_where_nothing_can_be_called_off() {
    leave_while_held(|config| {
        config["settings"]["tier"] = json!(1);
        config["settings"]["stages"] = json!(["one", "two"]);
        config["settings"]["bounds"]["cancel"] = json!(false);
    });
}

/// Guards those that wait for room at an endpoint that is known: two calls out there are a queue in which the least worthy
/// class waits. It goes on when they are answered, without those that have left.
#[test]
fn nor_one_that_waits_for_a_queue_to_get_short() {
    let (tell, told) = channel::<()>();
    let told = Mutex::new(told);
    let busy = Endpoint::start(move |message| {
        if message.header("x-class") == Some("unsafe") {
            let _ = told.lock().expect("the only one").recv();
        }
        respond_ok("x")
    });
    let mut holds =
        Holds::with(|config| config["known"]["endpoints"] = json!(serving_entries(&[&busy])));
    let mut out = [0, 1].map(|_| {
        let client = Waits::with(&holds.sidecar, &post_request("unsafe", "60", "x"));
        busy.next_request();
        client
    });
    let requests = WAYS.map(|how| (how, get_request("60")));
    let leave: Vec<_> = requests
        .iter()
        .map(|(how, request)| (*how, Waits::with(&holds.sidecar, request)))
        .collect();
    let request = get_request("60");
    let mut stays = Waits::with(&holds.sidecar, &request);
    holds.has_pending(2 + WAYS.len() + 1);
    for (how, client) in leave {
        client.leaves(how);
    }
    holds.has_pending(3);
    assert_eq!(busy.take_request_count(), 0, "all of them have waited");
    (0..2).for_each(|_| tell.send(()).expect("it waits"));
    assert!(out.iter_mut().all(Waits::is_served) && stays.is_served());
    let saw: Vec<_> = busy
        .take_requests()
        .iter()
        .filter_map(|m| m.header("x-request-id").map(String::from))
        .collect();
    assert_eq!(saw, [id(&request)]);
}

/// Guards large bodies: one that is held has its body unread, or has come half, and nobody reads on to see its client
/// leave. One that comes in chunks has what is behind it read with it.
#[test]
fn nor_while_its_body_waits_or_comes() {
    let mut holds = Holds::with(|_| {});
    let large = |length: usize, part: usize| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", &format!("Content-Length: {length}"));
        format!("{head}{}", "x".repeat(part))
    };
    let chunked = |end: &str| {
        let head = post_request("unsafe", "60", "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked");
        format!("{head}5\r\nhello\r\n{end}")
    };
    let ways = [
        Leaves::ByItsEnd(Behind::Nothing),
        Leaves::ByReset(Behind::Nothing),
    ];
    let behind = [
        Leaves::ByItsEnd(Behind::AWholeRequest),
        Leaves::ByReset(Behind::AWholeRequest),
    ];
    let whole = [
        large(100_000, 100_000),
        large(300_000, 90_000),
        chunked("0\r\n\r\n"),
    ];
    let mut leave: Vec<_> = Vec::new();
    for request in &whole {
        for how in ways {
            let text = request.replace(&id(request), &format!("{}-{}", id(request), leave.len()));
            leave.push((how, Waits::with(&holds.sidecar, &text)));
        }
    }
    for how in behind {
        let behind = get_request("60");
        leave.push((
            how,
            Waits::with(&holds.sidecar, &format!("{}{behind}", chunked("0\r\n\r\n"))),
        ));
    }
    // What comes whole or is large; half of a small one is not shown to the module, and not pending.
    let mut half: Vec<_> = ways
        .map(|how| (how, Waits::with(&holds.sidecar, &large(50_000, 10))))
        .into_iter()
        .collect();
    half.extend(ways.map(|how| (how, Waits::with(&holds.sidecar, &chunked("5\r\nhel")))));
    let request = post_request("unsafe", "60", &"y".repeat(90_000));
    let mut stays = Waits::with(&holds.sidecar, &request);
    // A large body that is held is not whole, so that it does not count as pending yet.
    holds.has_pending(4);
    holds.wait_until("all that is large is taken", |sidecar| {
        sidecar.logged_count("requests") == 9
    });
    leave
        .into_iter()
        .chain(half)
        .for_each(|(how, client)| client.leaves(how));
    holds.has_pending(0);
    holds.wait_until("all of them have left", |sidecar| {
        sidecar.logged_count("disconnected") == 8
    });
    holds.lets_go();
    assert!(stays.is_served());
    assert_eq!(holds.saw(), [id(&request)]);
}

/// Guards attempts whose connection comes up late: nothing is written once the client has left, whether or not attempts
/// may be called off, and the neighbour's goes on.
#[test]
fn nothing_is_written_to_a_connection_that_comes_up_after_the_client_has_left() {
    for cancel in [true, false] {
        let late = Late::start();
        let discovery = Discovery::start();
        let mut config = with_admin_address(config(discovery.address, &[late.entry()]));
        config["settings"]["bounds"]["cancel"] = json!(cancel);
        config["settings"]["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
        let sidecar = Sidecar::start(&config);
        let pending = |n| {
            wait_until(&format!("{n} pending"), || {
                sidecar.metric("pending") == Some(n)
            });
        };
        let leave: Vec<_> = WAYS
            .into_iter()
            .map(|how| (how, Waits::with(&sidecar, &get_request("10"))))
            .collect();
        let request = get_request("10");
        let stays = Waits::with(&sidecar, &request);
        pending(9);
        for (how, client) in leave {
            client.leaves(how);
        }
        pending(1);
        // Those that were given up come up too where nothing may be called off, with nothing written on them.
        assert!(
            late.next_written().contains(&id(&request)),
            "it is that of the one that stays"
        );
        std::thread::sleep(Duration::from_secs(3)); // a connection is asked for again after 1 s and 2 s
        while let Some(mut stream) = late.now() {
            stream.set_nonblocking(true).expect("an option");
            assert!(
                !matches!(stream.read(&mut [0; 64]), Ok(1..)),
                "nothing is written on others"
            );
        }
        assert_eq!(sidecar.metric("upstream_requests"), Some(1));
        drop(stays);
        pending(0);
    }
}

/// Guards the hold before a retry: a request that failed once waits for another endpoint, and its client leaves then.
#[test]
fn a_retry_that_waits_is_not_sent_once_the_client_has_left() {
    let fails = Endpoint::start(|message| match message.header("x-class") {
        Some("safe") => {
            EndpointAction::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".into())
        }
        _ => respond_ok("x"),
    });
    let mut holds = Holds::with(|config| {
        config["known"]["endpoints"] = json!(serving_entries(&[&fails]));
    });
    // The module grants a retry for so many requests.
    let mut earns = holds.sidecar.client();
    for _ in 0..20 {
        assert_eq!(
            earns.exchange(&post_request("unsafe", "10", "x")).status(),
            200
        );
        fails.next_request();
    }
    for how in [
        Leaves::ByItsEnd(Behind::AWholeRequest),
        Leaves::ByReset(Behind::Nothing),
    ] {
        let request = get_request("60");
        let client = Waits::with(&holds.sidecar, &request);
        assert_eq!(
            fails.next_request().1.header("x-request-id"),
            Some(&*id(&request))
        );
        // It has ended there when what is asked later is answered, and waits for a place that has not failed it.
        holds.has_pending(1);
        client.leaves(how);
        holds.has_pending(0);
    }
    let names = [("e0", &fails), ("other", &holds.endpoint)];
    let all: Vec<Value> = names
        .iter()
        .map(|(n, e)| entry(n, e.address, "SERVING"))
        .collect();
    holds.says(&list(42, false, &all));
    holds.wait_until("the other is listed", |sidecar| {
        sidecar.metric("members") == Some(2)
    });
    let mut neighbour = Waits::with(&holds.sidecar, &get_request("60"));
    assert!(neighbour.is_served(), "a retry goes there");
    assert_eq!(holds.saw().len(), 1, "and nothing else did");
}

/// Guards the same for those that the module itself holds: nowhere is there an endpoint to send them to.
#[test]
fn nor_one_that_the_module_holds_over_these() {
    for word in CHANGES {
        let folder = temporary_directory();
        let mut holds = Holds::start(
            |_| {},
            |config| Sidecar::start_in_directory(&folder, config),
        );
        let leave: Vec<_> = WAYS
            .into_iter()
            .map(|how| (how, Waits::with(&holds.sidecar, &get_request("60"))))
            .collect();
        let request = get_request("60");
        let mut stays = Waits::with(&holds.sidecar, &request); // the last, so that those before it would go first
        holds.has_pending(9);
        let next = changes(word, &holds.sidecar, &folder, &holds.endpoint);
        for (how, client) in leave {
            client.leaves(how);
        }
        holds.has_pending(1);
        holds.lets_go();
        assert!(stays.is_served(), "{word}");
        assert_eq!(holds.saw(), [id(&request)], "{word}");
        assert_eq!(
            next.map_or(0, |next| next
                .metric("upstream_requests")
                .expect("a figure")),
            0
        );
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// Guards the waits that go on over the end of a process: a drain by hand, a stop, and an upgrade by which another process
/// serves meanwhile. Who stays is served, who leaves is not sent on.
#[test]
fn a_held_request_whose_client_leaves_is_not_sent_over_a_drain_or_a_stop() {
    for word in CHANGES {
        let folder = temporary_directory();
        let discovery = Discovery::start();
        let endpoint = Endpoint::start(|_| respond_ok("x"));
        let late = Late::start();
        let mut config = with_admin_address(config(discovery.address, &[late.entry()]));
        config["settings"]["bounds"]["connectTimeoutNs"] = json!(15_000_000_000u64);
        let sidecar = Sidecar::start_in_directory(&folder, &config);
        let pending = |n| {
            wait_until(&format!("{word}: {n} pending"), || {
                sidecar.metric("pending") == Some(n)
            });
        };
        let request = get_request("10");
        let stays = Waits::with(&sidecar, &request);
        let leave: Vec<_> = WAYS
            .into_iter()
            .map(|how| (how, Waits::with(&sidecar, &get_request("10"))))
            .collect();
        pending(9);
        let next = changes(word, &sidecar, &folder, &endpoint);
        for (how, client) in leave {
            client.leaves(how);
        }
        pending(1);
        assert!(
            late.next_written().contains(&id(&request)),
            "{word}: it is that of the one that stays"
        );
        assert_eq!(sidecar.metric("upstream_requests"), Some(1), "{word}");
        assert_eq!(
            next.map_or(0, |next| next
                .metric("upstream_requests")
                .expect("a figure")),
            0
        );
        drop(stays);
        let _ = std::fs::remove_dir_all(folder);
    }
}
