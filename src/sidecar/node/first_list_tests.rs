//! Tests of the readiness of the new process of a hot restart, with tokio's clock paused.

use super::state::{NodeHandle, StartMode, StartOptions};
use crate::configuration::Config;
use crate::discovery::ListConsumer;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::advance;

/// A configuration with one endpoint in its cached list.
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

/// Starts the node of the new process in a hot restart, and passes it to `check`.
fn with_new_process(check: impl AsyncFnOnce(NodeHandle)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let options = StartOptions {
            config: config(),
            directory: None,
            mode: StartMode::HotRestart,
            reserved_descriptors: 0,
        };
        check(NodeHandle::start(options).unwrap_or_else(|error| panic!("{error}"))).await;
    });
}

/// Guards a hot restart in which the cached list is still current. The open watch then sends nothing before its first
/// heartbeat. This must not delay readiness for as long as an unreachable discovery does.
#[test]
fn watch_without_list_ends_wait_for_first_list() {
    with_new_process(async |node| {
        assert!(!node.borrow().is_ready(), "discovery has not been reached");
        let source = node.borrow().endpoints.source();
        node.watch_opened(source);
        assert!(!node.borrow().is_ready(), "the first list may follow");
        advance(Duration::from_millis(200)).await;
        assert!(node.borrow().is_ready());
    });
}

/// Guards a hot restart while discovery is unreachable. The new process does not serve callers with a possibly old list
/// at once, but does after a limited time.
#[test]
fn unreachable_discovery_delays_readiness_for_limited_time() {
    with_new_process(async |node| {
        advance(Duration::from_millis(2_900)).await;
        assert!(!node.borrow().is_ready());
        advance(Duration::from_millis(200)).await;
        assert!(node.borrow().is_ready());
    });
}
