//! Tests on the runtime's paused clock of when a process that replaces another is ready.

use super::state::{NodeHandle, StartMode, StartOptions};
use crate::configuration::Config;
use crate::discovery::ListConsumer;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::advance;

/// A configuration with one endpoint known.
fn config() -> Config {
    let config = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "limits": {"sockets": 256, "memory_mb": 32},
        "known": {"index": 41, "snapshot": true, "endpoints": [{
            "name": "e0", "address": "127.0.0.1:2", "zone": "a", "type": "m", "group": 0, "status": "SERVING",
            "weight": 1.0, "since_ms": 0,
        }]},
        "settings": {
            "zone": "a", "dcs": ["a"], "stages": ["one"], "tier": 0, "balancers": 1, "myNumber": 0,
            "discovery": "automatic", "report": {"how": "off"},
            "bounds": {"cancel": true, "connIdleNs": 1, "connectTimeoutNs": 1, "maxOpen": 9, "maxRetryAfterNs": 1,
                "maxStreams": 1, "mayTell": false, "parallelTries": true, "probes": false, "retryAfter": true,
                "sendCap": 1},
            "rules": {"answerSlackNs": 1, "askWithinNs": 1, "coldFrom": 0.5, "drainGraceNs": 1, "fallMultiple": 2.0,
                "fallNs": 1, "warmWithinNs": 1},
            "categories": [{"name": "c", "effect": "free", "worth": 1.0, "objectiveNs": 9, "hardLimitNs": 9}],
        },
    });
    Config::parse(&config.to_string()).expect("a configuration")
}

/// Starts a process that replaces another, and calls back with it.
fn replacing(check: impl AsyncFnOnce(NodeHandle)) {
    let builder = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&builder.expect("a runtime"), async {
        let start = StartOptions {
            config: config(),
            directory: None,
            mode: StartMode::HotRestart,
            reserved_descriptors: 0,
        };
        check(NodeHandle::start(start).unwrap_or_else(|e| panic!("{e}"))).await;
    });
}

/// Guards an upgrade where nothing has changed since the list that the newer process knows: the watch is open and stays
/// silent up to its first heartbeat, and that is no reason to wait as long as for a discovery that cannot be reached.
#[test]
fn a_silent_watch_makes_a_replacing_process_ready() {
    replacing(async |node| {
        assert!(!node.borrow().is_ready(), "discovery has not been reached");
        let source = node.borrow().endpoints.source();
        node.watch_opened(source);
        assert!(!node.borrow().is_ready(), "the first list may follow");
        advance(Duration::from_millis(200)).await;
        assert!(node.borrow().is_ready());
    });
}

/// Guards an upgrade while discovery cannot be reached: callers are not sent to a list that may be old at once, and not
/// kept from it for good.
#[test]
fn a_replacing_process_waits_for_a_discovery_that_cannot_be_reached_and_no_longer() {
    replacing(async |node| {
        advance(Duration::from_millis(2_900)).await;
        assert!(!node.borrow().is_ready());
        advance(Duration::from_millis(200)).await;
        assert!(node.borrow().is_ready());
    });
}
