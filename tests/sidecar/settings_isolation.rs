//! Two sets of settings that have little in common. The set in force determines all behaviour, and a reload keeps
//! nothing of the previous set.

use crate::stubs::*;
use serde_json::{Value, json};
use std::time::Duration;

/// A configuration without tenants and keys.
fn single_tenant_config(mut config: Value) -> Value {
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

/// A configuration with tenants, keys and other limits.
fn multi_tenant_config(mut config: Value) -> Value {
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

/// Returns a GET request of a class, with further headers that each begin with a line break.
fn class_request(class: &str, deadline: &str, headers: &str) -> String {
    get_request(deadline).replace("X-Class: safe", &format!("X-Class: {class}{headers}"))
}

/// Returns the time left, in seconds, in the next request at an endpoint.
fn next_time_left(endpoint: &Endpoint) -> f64 {
    let request = endpoint.next_request().message;
    request
        .header("x-deadline")
        .and_then(|seconds| seconds.parse().ok())
        .expect("a deadline")
}

fn assert_single_tenant_in_force(sidecar: &Sidecar, endpoint: &Endpoint) {
    let mut client = sidecar.client();
    endpoint.take_request_count();
    assert_eq!(
        client.exchange(&class_request("menu", "9", "")).status(),
        200,
        "no tenant is required"
    );
    assert!(next_time_left(endpoint) <= 0.9, "the class's own deadline");
    assert_eq!(
        client.exchange(&post_request("pay", "9", "x")).status(),
        200,
        "nor a key"
    );
    assert!(next_time_left(endpoint) > 7.0);
    let rejected = client.exchange(&class_request("menu", "0", ""));
    assert_eq!(
        (rejected.status(), rejected.header("retry-after")),
        (503, Some("3.5"))
    );
    assert_eq!(
        client
            .exchange(&class_request("fetch", "9", "\r\nX-Tenant: north"))
            .status(),
        400
    );
}

fn assert_multi_tenant_in_force(sidecar: &Sidecar, endpoint: &Endpoint) {
    let mut client = sidecar.client();
    let north = "\r\nX-Tenant: north";
    wait_until("requests sent before the reload are over", || {
        client.exchange(&class_request("menu", "9", north)).status() == 400
    });
    endpoint.take_request_count();
    assert_eq!(
        client
            .exchange(&class_request("fetch", "9", north))
            .status(),
        200
    );
    let time_left = next_time_left(endpoint);
    assert!(time_left <= 5.0 && time_left > 3.0, "{time_left}");
    assert_eq!(
        client.exchange(&class_request("fetch", "9", "")).status(),
        400,
        "the tenant is required"
    );
    assert_eq!(
        client
            .exchange(&class_request("fetch", "9", "\r\nX-Tenant: west"))
            .status(),
        400
    );
    let unkeyed = post_request("pay", "9", "x").replace("pay", &format!("pay{north}"));
    assert_eq!(sidecar.client().exchange(&unkeyed).status(), 400);
    let keyed =
        post_request("pay", "9", "x").replace("pay", &format!("pay{north}\r\nIdempotency-Key: k"));
    assert_eq!(client.exchange(&keyed).status(), 200);
    let rejected = client.exchange(&class_request("fetch", "0", north));
    assert_eq!(
        (rejected.status(), rejected.header("retry-after")),
        (503, None)
    );
}

/// Guards early rejections, which the balancer does not see: they carry Retry-After like all others if the settings
/// allow it. They are caused by a limit of one open request, and by a memory limit that leaves no room for a body.
#[test]
fn early_rejections_carry_allowed_retry_after() {
    for (allowed, retry_after) in [(true, Some("2")), (false, None)] {
        let endpoint = Endpoint::start(|_| EndpointAction::Hang);
        let discovery = Discovery::start();
        let mut config =
            with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
        config["settings"]["bounds"]["maxOpen"] = json!(1);
        config["settings"]["bounds"]["retryAfter"] = json!(allowed);
        let sidecar = Sidecar::start(&config);
        let mut pending = sidecar.client();
        pending.write(&post_request("unsafe", "9", "x"));
        wait_until("it is pending", || sidecar.metric("pending") == Some(1));
        let rejected = sidecar.client().exchange(&get_request("9"));
        assert_eq!(
            (rejected.status(), rejected.header("retry-after")),
            (503, retry_after)
        );
        config["limits"]["memory_mb"] = json!(0);
        let rejected = Sidecar::start(&config)
            .client()
            .exchange(&post_request("unsafe", "9", "x"));
        assert_eq!(
            (rejected.status(), rejected.header("retry-after")),
            (503, retry_after)
        );
    }
}

/// Guards against names or values of one deployment in the code. Each of two unlike sets of settings is checked from
/// the start, and after a reload that replaces the other set. Only an open request keeps its class. Idle connections
/// are kept for the time that the new settings allow.
#[test]
fn reload_replaces_all_settings() {
    let (opener, gate) = response_gate();
    let endpoint = Endpoint::start(move |message| {
        if message.body == b"blocks" {
            gate.wait();
        }
        respond_ok("x")
    });
    let discovery = Discovery::start();
    let plain = with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
    let (single_tenant, multi_tenant) = (
        single_tenant_config(plain.clone()),
        multi_tenant_config(plain),
    );
    assert_multi_tenant_in_force(&Sidecar::start(&multi_tenant), &endpoint);

    let path = temporary_file(&single_tenant.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let reload = |config: &Value, reload_count| {
        std::fs::write(&path, config.to_string()).expect("the file is written");
        sidecar.send_signal("HUP");
        wait_until("the reload is applied", || {
            sidecar.metric("config_reloads") == Some(reload_count)
        });
    };
    assert_single_tenant_in_force(&sidecar, &endpoint);
    let mut pending = sidecar.client();
    pending.write(&post_request("pay", "19", "blocks"));
    assert!(next_time_left(&endpoint) > 15.0);
    // This connection is idle from here on. The first settings would keep it for 42 s.
    assert_eq!(
        sidecar
            .client()
            .exchange(&class_request("menu", "9", ""))
            .status(),
        200
    );
    let idle_connection = endpoint.next_request().connection;
    reload(&multi_tenant, 1);
    std::thread::sleep(Duration::from_millis(800)); // past 0.7 s, for which the second settings keep it
    let multi_tenant_request = post_request("pay", "9", "x")
        .replace("pay", "pay\r\nX-Tenant: north\r\nIdempotency-Key: k");
    assert_eq!(
        sidecar.client().exchange(&multi_tenant_request).status(),
        200
    );
    assert_ne!(
        endpoint.next_request().connection,
        idle_connection,
        "it was idle for too long"
    );
    assert_multi_tenant_in_force(&sidecar, &endpoint);
    opener.release_one();
    assert_eq!(
        pending
            .read()
            .expect("the open request is answered")
            .status(),
        200
    );
    reload(&single_tenant, 2);
    wait_until("requests sent before the reload are over", || {
        sidecar
            .client()
            .exchange(&class_request("fetch", "9", "\r\nX-Tenant: north"))
            .status()
            == 400
    });
    assert_single_tenant_in_force(&sidecar, &endpoint);
    std::fs::remove_file(path).expect("the file is removed");
}
