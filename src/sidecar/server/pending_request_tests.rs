//! Tests of event orders that cannot be produced by sending bytes over sockets.

use super::super::request::parse_request;
use super::*;
use crate::configuration::Config;
use crate::sidecar::memory::RequestMemory;
use crate::sidecar::node::{StartMode, StartOptions};
use bytes::Bytes;
use hyper::Method;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use tokio::task::LocalSet;

/// Submits a request. Its id is the same in each call.
fn submit_request(node: &NodeHandle) -> PendingRequest<'_> {
    let now = node.borrow().clock().now();
    let reserve = || node.borrow().process_memory().reserve(0);
    let memory = [reserve(), reserve()].map(|memory| memory.expect("the budget is not exhausted"));
    let [exchange, body] = memory;
    let headers = [("x-request-id", "r"), ("x-class", "c"), ("x-deadline", "9")];
    let headers = headers.map(|(name, value)| {
        (
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        )
    });
    let headers = HeaderMap::from_iter(headers);
    let settings = node.borrow().configuration().settings().clone();
    let request = parse_request(&Method::GET, &headers, &settings, now)
        .unwrap_or_else(|error| panic!("{error:?}"));
    let forwarded = ForwardedRequest {
        method: Method::GET,
        path: PathAndQuery::from_static("/api"),
        headers,
        body: Bytes::new(),
        upload: None,
        is_repeatable: true,
        _memory: RequestMemory::new(exchange, body),
    };
    PendingRequest::begin(node, request, forwarded)
        .unwrap_or_else(|_| panic!("the request is accepted"))
}

/// Guards against a request being cancelled when an earlier request with the same id is dropped. The earlier request
/// has been answered, but its connection has not been polled since the answer.
#[test]
fn dropping_an_answered_request_keeps_the_next_one_with_its_id() {
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
        .expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let config = Config::parse(&config.to_string()).expect("the configuration is valid");
        let start = StartOptions {
            config,
            directory: None,
            mode: StartMode::Fresh,
            reserved_descriptors: 0,
        };
        let node = NodeHandle::start(start).unwrap_or_else(|error| panic!("{error}"));
        let first = submit_request(&node);
        node.borrow()
            .answer(&first.id, FinalAnswer::Failed { timed_out: false });
        let mut second = submit_request(&node);
        drop(first);
        assert_eq!(
            second.answer.try_recv().err(),
            Some(TryRecvError::Empty),
            "the second request is still pending"
        );
        assert_eq!(node.borrow().counters().disconnected(), 0);
        drop(second);
        assert_eq!(node.borrow().counters().disconnected(), 1);
    });
}
