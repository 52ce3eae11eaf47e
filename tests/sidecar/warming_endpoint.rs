//! A warming endpoint that several sidecars without shared state send requests to.

use crate::stubs::*;
use serde_json::{Value, json};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

const SIDECARS: usize = 6;
const WARM_ENDPOINTS: usize = 5;
const REQUESTS_PER_SIDECAR: usize = 100;
/// The fraction of its full capacity that an endpoint starts with.
const INITIAL_CAPACITY: f64 = 0.1;
/// A warming endpoint that is sent more than this multiple of its capacity fails.
const OVERLOAD_MULTIPLE: f64 = 2.0;

fn now_ms() -> u64 {
    let since_1970 = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is set");
    u64::try_from(since_1970.as_millis()).expect("a time that fits in 64 bits")
}

/// The configuration of one of the sidecars. The warm-up takes an hour, so the capacity stays the same during the test.
fn sidecar_config(sidecar: usize, discovery: &Discovery, endpoints: &[Value]) -> Value {
    let mut config = config(discovery.address, endpoints);
    config["seed"] = json!(format!("{:016x}", 1000 + sidecar));
    config["settings"]["balancers"] = json!(SIDECARS);
    config["settings"]["myNumber"] = json!(sidecar);
    config["settings"]["rules"]["coldFrom"] = json!(INITIAL_CAPACITY);
    config["settings"]["rules"]["fallMultiple"] = json!(OVERLOAD_MULTIPLE);
    config["settings"]["rules"]["warmWithinNs"] = json!(3_600_000_000_000u64);
    config
}

fn send_burst(sidecar: &Sidecar) {
    let mut client = sidecar.client();
    for _ in 0..REQUESTS_PER_SIDECAR {
        let answer = client.exchange(&get_request("10"));
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == Some("close") {
            client = sidecar.client();
        }
    }
}

/// Slow start limits what all sidecars together send. In a burst of requests, the warming endpoint gets some, but at
/// most the overload multiple of its capacity, with a margin for random variation.
#[test]
fn slow_start_holds_for_several_sidecars_together() {
    let discovery = Discovery::start();
    let warm_endpoints: Vec<Endpoint> = (0..WARM_ENDPOINTS)
        .map(|_| Endpoint::start(|_| respond_ok("")))
        .collect();
    let warming_endpoint = Endpoint::start(|_| respond_ok(""));
    let mut entries = serving_entries(&warm_endpoints.iter().collect::<Vec<_>>());
    let mut warming_entry = list_entry("cold", warming_endpoint.address, "SERVING");
    warming_entry["since_ms"] = json!(now_ms());
    entries.push(warming_entry);
    let start = |sidecar| Sidecar::start(&sidecar_config(sidecar, &discovery, &entries));
    let sidecars: Vec<Sidecar> = (0..SIDECARS).map(start).collect();
    thread::scope(|scope| {
        for sidecar in &sidecars {
            scope.spawn(|| send_burst(sidecar));
        }
    });
    let received = warming_endpoint.take_request_count();
    let fair_share = (SIDECARS * REQUESTS_PER_SIDECAR) as f64 / (WARM_ENDPOINTS + 1) as f64;
    let allowed = OVERLOAD_MULTIPLE * INITIAL_CAPACITY * fair_share;
    let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
    assert!(received > 0, "the warming endpoint is not starved");
    assert!(
        received as f64 <= bound,
        "{received} received, {bound:.0} allowed"
    );
}
