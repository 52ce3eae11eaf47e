//! Configurations of sidecars, and temporary files and directories.

use super::caller::*;
use super::discovery::*;
use super::endpoint::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The settings of one sidecar in tier 0 with three classes: `safe` is idempotent, `keyed` is deduplicated by its key,
/// and `unsafe` must not run twice.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, priority_weight: f64| {
        json!({"name": name, "effect": effect, "keyScope": "all", "memorySpanNs": 5_000_000_000u64, "worth": priority_weight,
               "objectiveNs": 10_000_000_000u64, "hardLimitNs": 10_000_000_000u64, "lateShare": 0.0, "stream": false})
    };
    json!({
        "balancers": 1, "myNumber": 0, "zone": "a", "dcs": ["a"], "tier": 0, "stages": ["one"],
        "granularityNs": 1_000_000, "discovery": "subscribe", "weightSource": "off", "worthBy": "request",
        "overShareWorth": 0.1, "customers": [], "fees": {}, "report": {"fields": ["depth"], "how": "inline"},
        "bounds": {"cancel": true, "connIdleNs": 60_000_000_000u64, "connectTimeoutNs": 10_000_000_000u64,
                   "maxOpen": 1000, "maxRetryAfterNs": 2_000_000_000u64, "maxStreams": 100, "mayTell": false,
                   "parallelTries": true, "probes": false, "retryAfter": true, "sendCap": 3},
        "rules": {"answerSlackNs": 5_000_000, "askWithinNs": 1_000_000_000, "coldFrom": 0.31,
                  "drainGraceNs": 250_000_000, "fallMultiple": 2.5, "fallNs": 2_000_000_000u64,
                  "warmWithinNs": 8_900_000_000u64},
        "categories": [class("safe", "free", 1.0), class("unsafe", "single_shot", 2.0),
                       class("keyed", "guarded", 2.0)],
    })
}

/// The configuration of a sidecar with these entries in its cached list.
pub fn config(discovery: SocketAddr, endpoints: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings(),
           "known": {"index": 41, "snapshot": true, "endpoints": endpoints}})
}

/// Adds an address for operators' calls to a configuration.
pub fn with_admin_address(mut config: Value) -> Value {
    config["admin_addr"] = json!("127.0.0.1:0");
    config
}

/// The list entries of these endpoints, named `e0`, `e1` and so on.
pub fn serving_entries(endpoints: &[&Endpoint]) -> Vec<Value> {
    endpoints
        .iter()
        .enumerate()
        .map(|(number, endpoint)| list_entry(&format!("e{number}"), endpoint.address, "SERVING"))
        .collect()
}

/// Creates an empty directory for one test.
pub fn temporary_directory() -> PathBuf {
    let name = format!("tmp-{}-{}", std::process::id(), unique_id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir(&path).expect("the directory is created");
    path
}

/// Creates a file with this text for one test.
pub fn temporary_file(text: &str) -> PathBuf {
    let name = format!("config-{}-{}.json", std::process::id(), unique_id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path
}
