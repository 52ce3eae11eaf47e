//! An endpoint that has just started, behind several sidecars that do not talk to each other.

use crate::stubs::*;
use serde_json::{Value, json};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

const SIDECARS: usize = 6;
const WARM_ENDPOINTS: usize = 5;
const REQUESTS_EACH: usize = 100;
/// The cold endpoint may get this part of a fair share, times this, of the burst.
const INITIAL_CAPACITY: f64 = 0.1;
const FALL_MULTIPLE: f64 = 2.0;

fn now_ms() -> u64 {
    let since_1970 = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is set");
    u64::try_from(since_1970.as_millis()).expect("not that far in the future")
}

/// The configuration of one of the sidecars. The ramp takes an hour: it does not move while the test runs.
fn config_of(sidecar: usize, discovery: &Discovery, endpoints: &[Value]) -> Value {
    let mut config = config(discovery.address, endpoints);
    config["seed"] = json!(format!("{:016x}", 1000 + sidecar));
    config["settings"]["balancers"] = json!(SIDECARS);
    config["settings"]["myNumber"] = json!(sidecar);
    config["settings"]["rules"]["coldFrom"] = json!(INITIAL_CAPACITY);
    config["settings"]["rules"]["fallMultiple"] = json!(FALL_MULTIPLE);
    config["settings"]["rules"]["warmWithinNs"] = json!(3_600_000_000_000u64);
    config
}

fn send_burst(sidecar: &Sidecar) {
    let mut client = sidecar.client();
    for _ in 0..REQUESTS_EACH {
        let answer = client.exchange(&get_request("10"));
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == Some("close") {
            client = sidecar.client();
        }
    }
}

/// Guards the ramp over all sidecars together: of a burst of requests that the warm endpoints serve, a cold one gets no
/// more than it bears, and some.
#[test]
fn several_sidecars_spare_a_cold_endpoint() {
    let discovery = Discovery::start();
    let warm: Vec<Endpoint> = (0..WARM_ENDPOINTS)
        .map(|_| Endpoint::start(|_| respond_ok("")))
        .collect();
    let cold = Endpoint::start(|_| respond_ok(""));
    let mut entries = serving_entries(&warm.iter().collect::<Vec<_>>());
    let mut started_now = entry("cold", cold.address, "SERVING");
    started_now["since_ms"] = json!(now_ms());
    entries.push(started_now);
    let start = |sidecar| Sidecar::start(&config_of(sidecar, &discovery, &entries));
    let sidecars: Vec<Sidecar> = (0..SIDECARS).map(start).collect();
    thread::scope(|scope| {
        for sidecar in &sidecars {
            scope.spawn(|| send_burst(sidecar));
        }
    });
    let reached = cold.take_request_count();
    let fair_share = (SIDECARS * REQUESTS_EACH) as f64 / (WARM_ENDPOINTS + 1) as f64;
    let allowed = FALL_MULTIPLE * INITIAL_CAPACITY * fair_share;
    let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
    assert!(reached > 0, "it is not starved");
    assert!(
        reached as f64 <= bound,
        "{reached} reached it, {bound:.0} are allowed"
    );
}
