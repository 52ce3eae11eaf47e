//! Settings of unlike customers: all comes from them, and from one set to the next nothing of the first is left.

use crate::stubs::*;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Duration;

/// One customer's settings over these endpoints.
fn bakery(mut config: Value) -> Value {
    let settings = &mut config["settings"];
    settings["categories"] = json!([
        {"name": "menu", "effect": "free", "keyScope": "all", "memorySpanNs": 1u64, "worth": 1.0, "lateShare": 0.0,
         "objectiveNs": 700_000_000u64, "hardLimitNs": 900_000_000u64, "stream": false},
        {"name": "pay", "effect": "single_shot", "keyScope": "all", "memorySpanNs": 1u64, "worth": 40.0, "lateShare": 0.0,
         "objectiveNs": 20_000_000_000u64, "hardLimitNs": 20_000_000_000u64, "stream": false},
    ]);
    settings["fees"] = json!({"probe": 0.01, "handshake": 0.0, "waste": 0.1});
    settings["bounds"]["retryAfter"] = json!(true);
    settings["bounds"]["maxRetryAfterNs"] = json!(3_500_000_000u64);
    settings["bounds"]["connIdleNs"] = json!(60_000_000_000u64);
    config
}

/// Another's, which has tenants, keys and other limits.
fn archive(mut config: Value) -> Value {
    let settings = &mut config["settings"];
    settings["categories"] = json!([
        {"name": "fetch", "effect": "free", "keyScope": "all", "memorySpanNs": 1u64, "worth": 3.0, "lateShare": 0.5,
         "objectiveNs": 4_000_000_000u64, "hardLimitNs": 5_000_000_000u64, "stream": false},
        {"name": "pay", "effect": "guarded", "keyScope": "zone", "memorySpanNs": 9_000_000_000u64, "worth": 2.0,
         "objectiveNs": 5_000_000_000u64, "hardLimitNs": 6_000_000_000u64, "lateShare": 0.0, "stream": false},
    ]);
    settings["customers"] = json!([{"name": "north", "portion": 0.5, "quotaPerS": 50.0},
                                   {"name": "south", "portion": 0.5, "quotaPerS": 50.0}]);
    settings["bounds"]["retryAfter"] = json!(false);
    settings["bounds"]["sendCap"] = json!(1);
    settings["bounds"]["connIdleNs"] = json!(1_000_000_000u64);
    settings["fees"] = json!({"probe": 0.5, "handshake": 0.4, "waste": 1.0});
    config
}

fn read(class: &str, deadline: &str, more: &str) -> String {
    get_request(deadline).replace("X-Class: safe", &format!("X-Class: {class}{more}"))
}

/// How long an endpoint was told that it may take.
fn left(endpoint: &Endpoint) -> f64 {
    let (_, request) = endpoint.next_request();
    request
        .header("x-deadline")
        .and_then(|d| d.parse().ok())
        .expect("a deadline")
}

fn is_bakery(sidecar: &Sidecar, endpoint: &Endpoint) {
    let mut client = sidecar.client();
    endpoint.take_request_count();
    assert_eq!(
        client.exchange(&read("menu", "9", "")).status(),
        200,
        "no tenant is asked for"
    );
    assert!(left(endpoint) <= 0.9, "the class's own deadline");
    assert_eq!(
        client.exchange(&post_request("pay", "9", "x")).status(),
        200,
        "nor a key"
    );
    assert!(left(endpoint) > 7.0);
    let refused = client.exchange(&read("menu", "0", ""));
    assert_eq!(
        (refused.status(), refused.header("retry-after")),
        (503, Some("3.5"))
    );
    assert_eq!(
        client
            .exchange(&read("fetch", "9", "\r\nX-Tenant: north"))
            .status(),
        400
    );
}

fn is_archive(sidecar: &Sidecar, endpoint: &Endpoint) {
    let mut client = sidecar.client();
    let north = "\r\nX-Tenant: north";
    wait_until("what may be late is over", || {
        client.exchange(&read("menu", "9", north)).status() == 400
    });
    endpoint.take_request_count();
    assert_eq!(client.exchange(&read("fetch", "9", north)).status(), 200);
    let given = left(endpoint);
    assert!(given <= 5.0 && given > 3.0, "{given}");
    assert_eq!(
        client.exchange(&read("fetch", "9", "")).status(),
        400,
        "whose it is"
    );
    assert_eq!(
        client
            .exchange(&read("fetch", "9", "\r\nX-Tenant: west"))
            .status(),
        400
    );
    let unkeyed = post_request("pay", "9", "x").replace("pay", &format!("pay{north}"));
    assert_eq!(sidecar.client().exchange(&unkeyed).status(), 400);
    let keyed =
        post_request("pay", "9", "x").replace("pay", &format!("pay{north}\r\nIdempotency-Key: k"));
    assert_eq!(client.exchange(&keyed).status(), 200);
    let refused = client.exchange(&read("fetch", "0", north));
    assert_eq!(
        (refused.status(), refused.header("retry-after")),
        (503, None)
    );
}

/// Guards refusals for want of room, which the module is not asked about: they say when to come back as all others do, as
/// far as settings allow. There is room for one request, and none for any body.
#[test]
fn what_is_turned_away_for_want_of_room_says_when_to_come_back() {
    for (allowed, told) in [(true, Some("2")), (false, None)] {
        let endpoint = Endpoint::start(|_| EndpointAction::Hang);
        let discovery = Discovery::start();
        let mut config =
            with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
        config["settings"]["bounds"]["maxOpen"] = json!(1);
        config["settings"]["bounds"]["retryAfter"] = json!(allowed);
        let sidecar = Sidecar::start(&config);
        let mut waits = sidecar.client();
        waits.write(&post_request("unsafe", "9", "x"));
        wait_until("it is open", || sidecar.metric("pending") == Some(1));
        let refused = sidecar.client().exchange(&get_request("9"));
        assert_eq!(
            (refused.status(), refused.header("retry-after")),
            (503, told)
        );
        config["limits"]["memory_mb"] = json!(0);
        let refused = Sidecar::start(&config)
            .client()
            .exchange(&post_request("unsafe", "9", "x"));
        assert_eq!(
            (refused.status(), refused.header("retry-after")),
            (503, told)
        );
    }
}

/// Guards against one customer's names or figures anywhere: two unlike sets at their start, and each after the other at
/// SIGHUP. Only a request under way keeps its class, and idle connections are kept as the new limits say.
#[test]
fn settings_of_unlike_customers_leave_nothing_behind() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let endpoint = Endpoint::start(move |message| {
        if message.body == b"waits" {
            let _ = released.lock().expect("the only one").recv();
        }
        respond_ok("x")
    });
    let discovery = Discovery::start();
    let plain = with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
    let (bakery, archive) = (bakery(plain.clone()), archive(plain));
    is_archive(&Sidecar::start(&archive), &endpoint);

    let path = temporary_file(&bakery.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let retunes = |config: &Value, times| {
        std::fs::write(&path, config.to_string()).expect("the file is written");
        sidecar.send_signal("HUP");
        wait_until("it is taken", || {
            sidecar.metric("config_reloads") == Some(times)
        });
    };
    is_bakery(&sidecar, &endpoint);
    let mut waits = sidecar.client();
    waits.write(&post_request("pay", "19", "waits"));
    assert!(left(&endpoint) > 15.0);
    // A connection that stands idle from here on, which the first customer's limits keep for 42 s.
    assert_eq!(
        sidecar.client().exchange(&read("menu", "9", "")).status(),
        200
    );
    let (kept, _) = endpoint.next_request();
    retunes(&archive, 1);
    std::thread::sleep(Duration::from_millis(800)); // past 0.7 s, which is what the second's limits keep one
    let asked = post_request("pay", "9", "x")
        .replace("pay", "pay\r\nX-Tenant: north\r\nIdempotency-Key: k");
    assert_eq!(sidecar.client().exchange(&asked).status(), 200);
    assert_ne!(
        endpoint.next_request().0,
        kept,
        "it stood idle too long for that"
    );
    is_archive(&sidecar, &endpoint);
    release.send(()).expect("the endpoint waits");
    assert_eq!(
        waits.read().expect("what was taken is answered").status(),
        200
    );
    retunes(&bakery, 2);
    wait_until("what may be late is over", || {
        sidecar
            .client()
            .exchange(&read("fetch", "9", "\r\nX-Tenant: north"))
            .status()
            == 400
    });
    is_bakery(&sidecar, &endpoint);
    std::fs::remove_file(path).expect("the file goes");
}
