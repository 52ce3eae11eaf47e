//! Endpoints that are replaced again and again.

use crate::stubs::*;
use serde_json::{Value, json};
use std::time::Duration;

/// Guards against memory that is kept for removed endpoints, of which there are tens of thousands.
#[test]
fn memory_does_not_grow_with_removed_endpoints() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let (sidecar, discovery) = Sidecar::start_with_endpoints(&[&endpoint]);
    let mut watch = discovery.next_call();
    // Each request uses a new connection, because a connection that is idle while the lists are read may reach its idle
    // timeout.
    let request_status =
        |deadline: &str| sidecar.client().exchange(&get_request(deadline)).status();
    // A list with an older version than the last one is ignored.
    let mut versions = 42..;
    let mut replace_endpoints = |from: usize, to: usize| {
        let mut version = || versions.next().expect("an unbounded range");
        for batch_number in from..to {
            let batch = |batch_number: usize, status: &str| -> Vec<Value> {
                let entry = |number| {
                    list_entry(
                        &format!("endpoint-number-{batch_number}-{number}"),
                        "127.0.0.1:1".parse().expect("an address"),
                        status,
                    )
                };
                (0..200).map(entry).collect()
            };
            let removed = batch(batch_number - 1, "DELETED");
            // They are listed as draining from the start and therefore get no requests.
            watch.write_line(&endpoint_list(
                version(),
                false,
                &[removed, batch(batch_number, "DRAINING")].concat(),
            ));
        }
        // Once this change affects requests, all lists before it have been read.
        watch.write_line(&endpoint_list(
            version(),
            false,
            &[list_entry("e0", endpoint.address, "DRAINING")],
        ));
        while request_status("0.6") == 200 {}
        watch.write_line(&endpoint_list(
            version(),
            false,
            &[list_entry("e0", endpoint.address, "SERVING")],
        ));
        while request_status("2") != 200 {}
        sidecar.memory_kb()
    };
    let (early, late) = (replace_endpoints(1, 30), replace_endpoints(30, 230));
    assert!(
        late < early + 8_000,
        "{early} kB after 6,000 endpoints, {late} kB after 46,000"
    );
}

/// An address may be listed for a new endpoint before the removal of the earlier one is listed: idle connections to the
/// earlier endpoint are not used for the new one.
#[test]
fn reused_address_gets_new_connections() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let mut old_entry = list_entry("old", endpoint.address, "SERVING");
    old_entry["since_ms"] = json!(1_000);
    let sidecar = Sidecar::start(&config(discovery.address, &[old_entry]));
    let mut client = sidecar.client();
    assert_eq!(client.exchange(&get_request("2")).status(), 200);
    assert_eq!(endpoint.next_request().connection, 0);
    let mut new_entry = list_entry("new", endpoint.address, "SERVING");
    new_entry["since_ms"] = json!(2_000_000);
    discovery
        .next_call()
        .write_line(&endpoint_list(42, false, &[new_entry]));
    assert_eq!(
        endpoint.next_connection_close(),
        0,
        "the idle connection to the earlier endpoint"
    );
    for _ in 0..5 {
        assert_eq!(client.exchange(&get_request("2")).status(), 200);
        assert_eq!(endpoint.next_request().connection, 1);
        std::thread::sleep(Duration::from_millis(100)); // the settling time of the connection
    }
}
