//! Calls of discovery that are late while it handles those of a whole fleet in turn: they keep their place in its queue,
//! whether lists are asked for or pushed.

use crate::stubs::*;
use serde_json::json;

/// A sidecar that knows an endpoint, and its discovery.
struct Site {
    endpoint: Endpoint,
    discovery: ManualDiscovery,
    sidecar: Sidecar,
}

impl Site {
    fn start(mode: &str) -> Self {
        let (endpoint, discovery) = (
            Endpoint::start(|_| respond_ok("")),
            ManualDiscovery::start(),
        );
        let mut config =
            with_admin_address(config(discovery.address(), &serving_entries(&[&endpoint])));
        config["settings"]["discovery"] = json!(mode);
        let sidecar = Sidecar::start(&config);
        Site {
            endpoint,
            discovery,
            sidecar,
        }
    }

    fn next_watch(&self) -> DiscoveryCall {
        let call = self.discovery.next_call();
        assert!(call.is_watch_since(41), "{}", call.request_line);
        call
    }

    /// Answers with a watch that tells of a drain, and waits until that is in force.
    fn is_current_by(&self, call: &mut DiscoveryCall) {
        call.open_watch();
        call.write_line(&list(
            42,
            false,
            &[entry("e0", self.endpoint.address, "DRAINING")],
        ));
        wait_for_unavailable(&self.sidecar, 1);
    }
}

fn closes(call: &DiscoveryCall) {
    wait_until("the call is closed", || !call.is_open());
}

/// Guards the place of a call in discovery's queue: one that is late is not given up, and its answer counts though another
/// call has been made since. That one is dropped, and no further call is made.
#[test]
fn the_late_answer_to_a_call_counts_after_another_was_made() {
    for mode in DISCOVERY_MODES {
        let site = Site::start(mode);
        let mut first = site.next_watch();
        let second = site.next_watch();
        site.is_current_by(&mut first);
        closes(&second);
        assert!(
            first.is_open() && site.discovery.try_next_call().is_none(),
            "{mode}"
        );
    }
}

/// Guards a discovery that is reached by new calls alone: once the newer is answered the older is dropped.
#[test]
fn the_call_that_was_kept_is_closed_once_a_newer_is_answered() {
    for mode in DISCOVERY_MODES {
        let site = Site::start(mode);
        let first = site.next_watch();
        let mut second = site.next_watch();
        site.is_current_by(&mut second);
        closes(&first);
        assert!(
            second.is_open() && site.discovery.try_next_call().is_none(),
            "{mode}"
        );
    }
}

/// Guards discovery, and the sidecar's descriptors, against the calls of a long silence: two are out at once, the oldest,
/// which is the next in turn, and the newest. One that fails leaves the other, which is then the oldest.
#[test]
fn two_calls_at_most_are_out_while_discovery_is_silent() {
    for mode in DISCOVERY_MODES {
        let site = Site::start(mode);
        let first = site.next_watch();
        let second = site.next_watch();
        let third = site.next_watch();
        closes(&second);
        assert!(first.is_open() && third.is_open(), "{mode}");
        first.reset();
        let mut fourth = site.next_watch();
        assert!(third.is_open(), "{mode}");
        site.is_current_by(&mut fourth);
        closes(&third);
    }
}
