//! Tests that no order of bytes on sockets brings about for sure.

use super::*;
use crate::configuration::Config;
use crate::sidecar::node::{StartMode, StartOptions};
use bytes::Bytes;
use hyper::Method;
use hyper::header::{self, HeaderMap, HeaderValue};
use tokio::task::LocalSet;

fn request(node: &NodeHandle) -> PendingRequest<'_> {
    let now = node.borrow().clock().now();
    let memory = node
        .borrow()
        .request_memory()
        .reserve(0)
        .expect("there is room");
    let headers = [("x-request-id", "r"), ("x-class", "c"), ("x-deadline", "9")];
    let names = headers.map(|(n, v)| {
        (
            header::HeaderName::from_static(n),
            HeaderValue::from_static(v),
        )
    });
    let headers = HeaderMap::from_iter(names);
    let settings = node.borrow().configuration().settings().clone();
    let request =
        parse_request(&Method::GET, &headers, &settings, now).unwrap_or_else(|e| panic!("{e:?}"));
    let forwarded = ForwardedRequest {
        method: Method::GET,
        path: PathAndQuery::from_static("/api"),
        headers,
        body: Bytes::new(),
        upload: None,
        is_repeatable: true,
        _memory: memory,
    };
    let id = request.id.clone();
    let answer = node
        .submit(request, forwarded)
        .unwrap_or_else(|_| panic!("it is taken"));
    PendingRequest { node, id, answer }
}

/// Guards a request against the end of an earlier one's connection, where both have one id and the earlier one was
/// answered, but its client has not been given that yet. No order of bytes on sockets brings this about for sure.
#[test]
fn an_answered_request_that_is_dropped_leaves_the_next_with_its_id_alone() {
    let config = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "limits": {"sockets": 256, "memory_mb": 32},
        "settings": {
            "zone": "a", "dcs": ["a"], "stages": ["one"], "tier": 0, "balancers": 1, "myNumber": 0,
            "discovery": "automatic", "granularityNs": 1, "weightSource": "off", "worthBy": "request",
            "overShareWorth": 0.1, "customers": [], "fees": {}, "report": {"fields": [], "how": "off"},
            "bounds": {"cancel": true, "connIdleNs": 1, "connectTimeoutNs": 1, "maxOpen": 9, "maxRetryAfterNs": 1,
                "maxStreams": 1, "mayTell": false, "parallelTries": true, "probes": false, "retryAfter": true,
                "sendCap": 1},
            "rules": {"answerSlackNs": 1, "askWithinNs": 1, "coldFrom": 0.5, "drainGraceNs": 1, "fallMultiple": 2.0,
                "fallNs": 1, "warmWithinNs": 1},
            "categories": [{"name": "c", "effect": "free", "keyScope": "all", "memorySpanNs": 1, "worth": 1.0,
                "objectiveNs": 9_000_000_000u64, "hardLimitNs": 9_000_000_000u64, "lateShare": 0.0,
                "stream": false}],
        },
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let config = Config::parse(&config.to_string()).expect("a configuration");
        let start = StartOptions {
            config,
            directory: None,
            mode: StartMode::Fresh,
            reserved_descriptors: 0,
        };
        let node = NodeHandle::start(start).unwrap_or_else(|e| panic!("{e}"));
        let first = request(&node);
        node.borrow()
            .answer(&first.id, FinalAnswer::Failed { timed_out: false });
        let mut second = request(&node);
        drop(first);
        assert_eq!(
            second.answer.try_recv().err(),
            Some(TryRecvError::Empty),
            "it is still owed"
        );
        assert_eq!(node.borrow().counters().disconnected(), 0);
        drop(second);
        assert_eq!(node.borrow().counters().disconnected(), 1);
    });
}
