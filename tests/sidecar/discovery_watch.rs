//! The watch on discovery when its lists are split into chunks, late, stale or missing.

use crate::stubs::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn start_sidecar(discovery: &ManualDiscovery, endpoints: &[&Endpoint]) -> Sidecar {
    Sidecar::start(&with_admin_address(config(
        discovery.address(),
        &serving_entries(endpoints),
    )))
}

/// Returns a list as JSON that spans many lines.
fn indented_list(version: u64, is_snapshot: bool, endpoints: &[Value]) -> String {
    let list = json!({"index": version, "snapshot": is_snapshot, "endpoints": endpoints});
    format!("{}\n", serde_json::to_string_pretty(&list).expect("JSON"))
}

/// Guards the parser of the watch against lists that span several lines and chunks: a complete list is applied at once,
/// even if a part of the next one arrives with it, and an incomplete list has no effect.
#[test]
fn list_is_read_when_indented_or_split_across_chunks() {
    let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
    let discovery = ManualDiscovery::start();
    let sidecar = start_sidecar(&discovery, &[&endpoints[0], &endpoints[1], &endpoints[2]]);
    let mut watch = discovery.next_call();
    assert!(watch.is_watch_since(41), "{}", watch.request_line);
    watch.open_watch();
    let draining_list = |number: usize, version| {
        let name = format!("e{number}");
        let entry = list_entry(&name, endpoints[number].address, "DRAINING");
        indented_list(version, false, &[entry])
    };
    let first = draining_list(0, 42);
    let second = draining_list(1, 43);
    let third = draining_list(2, 44);
    let (second_begin, second_rest) = second.split_at(second.len() / 2);

    watch.write_chunk(&format!("\n{first}{second_begin}"));
    wait_for_unavailable(&sidecar, 1);

    let last_brace = second_rest.rfind('}').expect("a closing brace");
    let (second_middle, second_end) = second_rest.split_at(last_brace);
    for chunk in second_middle.as_bytes().chunks(7) {
        watch.write_chunk(std::str::from_utf8(chunk).expect("text"));
    }
    // The sidecar reads all of these chunks before it answers a later call.
    assert_eq!(sidecar.metric("members_unavailable"), Some(1));

    watch.write_chunk(second_end);
    wait_for_unavailable(&sidecar, 2);
    watch.write_chunk(&third);
    wait_for_unavailable(&sidecar, 3);
    drop(watch);
    assert!(
        discovery.next_call().is_watch_since(44),
        "the watch was not lost before"
    );
}

/// Guards the watch against each kind of failure, followed each time by a failure of the next call. The drain in the
/// first event after discovery has recovered is applied.
#[test]
fn watch_is_reopened_after_each_kind_of_failure() {
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let discovery = ManualDiscovery::start();
    let sidecar = start_sidecar(&discovery, &[&endpoints[0], &endpoints[1]]);
    let malformed_lists = [
        "{\"index\":50,\"snapshot\":false,\"endpoints\":[{\"name\":\"e0\"\n{\"index\":51,\"snapshot\":true,\"endpoints\":[]}\n",
        "no JSON\n",
        "{\"index\":50}\n",
        "]}",
    ];

    for text in malformed_lists {
        let mut watch = discovery.next_call();
        assert!(watch.is_watch_since(41), "{text}: {}", watch.request_line);
        watch.open_watch();
        watch.write_chunk(text);
        // The watch stays open meanwhile, so only the text can have ended it.
        let mut next = discovery.next_call();
        assert!(next.is_watch_since(41), "{text}: {}", next.request_line);
        next.write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    }
    discovery.next_call().reset();
    drop(discovery.next_call());
    let mut truncated = discovery.next_call();
    truncated.open_watch();
    truncated.write("40\r\n{\"index\":");
    drop(truncated);
    let mut ended = discovery.next_call();
    ended.open_and_end_watch();
    let mut silent = discovery.next_call();
    silent.open_watch();
    let unanswered = discovery.next_call();
    let mut recovered = discovery.next_call();
    assert!(recovered.is_watch_since(41), "{}", recovered.request_line);
    recovered.open_watch();
    recovered.write_line(&endpoint_list(
        60,
        false,
        &[list_entry("e0", endpoints[0].address, "DRAINING")],
    ));

    wait_for_unavailable(&sidecar, 1);
    drop((silent, unanswered));
    for _ in 0..20 {
        assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    }
    assert_eq!(endpoints[0].take_request_count(), 0);
}

/// Guards the backoff: opening a watch resets it, even if the watch is lost without an event. Changes that are missed
/// meanwhile must be in force within a fixed time after the loss.
#[test]
fn opened_watch_resets_the_backoff() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = ManualDiscovery::start();
    let mut config = config(discovery.address(), &serving_entries(&[&endpoint]));
    config["settings"]["rules"]["askWithinNs"] = json!(10_000_000_000u64);
    let _sidecar = Sidecar::start(&config);
    let open_and_lose_watch = || {
        let mut watch = discovery.next_call();
        watch.open_watch();
        watch.write_chunk("\n");
        drop(watch);
    };
    for _ in 0..5 {
        open_and_lose_watch();
    }

    let lost_at = Instant::now();
    open_and_lose_watch();

    // The first delay is a twentieth of the poll interval with a jitter of a half. If earlier failures still counted,
    // it would be sixteen times as long.
    let delay = lost_at.elapsed();
    assert!(delay < Duration::from_millis(3_500), "{delay:?}");
}

/// Guards the list against older versions, in late changes or in the full list of a replica that lags behind. They
/// have no effect, and the watch is reopened. A stale full list that is sent a second time shows that discovery
/// was reset: it is accepted, but draining endpoints keep draining.
#[test]
fn stale_list_is_accepted_only_when_sent_again() {
    let endpoints = [0, 1, 2].map(|_| Endpoint::start(|_| respond_ok("")));
    let discovery = ManualDiscovery::start();
    let sidecar = start_sidecar(&discovery, &[&endpoints[0], &endpoints[1], &endpoints[2]]);
    let old_entries = serving_entries(&[&endpoints[0], &endpoints[1], &endpoints[2]]);
    let mut new_entries = old_entries.clone();
    new_entries[0]["status"] = json!("DRAINING");
    new_entries.truncate(2); // the third is removed
    let mut watch = discovery.next_call();
    watch.open_watch();
    watch.write_line(&endpoint_list(50, true, &new_entries));
    wait_for_unavailable(&sidecar, 1);

    watch.write_line(&endpoint_list(45, false, &old_entries));
    let mut lagging_watch = discovery.next_call();
    assert!(
        lagging_watch.is_watch_since(50),
        "{}",
        lagging_watch.request_line
    );
    lagging_watch.open_watch();
    // Changes of the same version are not stale, but the full list that follows them is.
    lagging_watch.write_line(&endpoint_list(50, false, &[]));
    lagging_watch.write_line(&endpoint_list(44, true, &old_entries));
    let mut watch_after_reset = discovery.next_call();
    assert!(
        watch_after_reset.is_watch_since(50),
        "{}",
        watch_after_reset.request_line
    );
    assert_eq!(sidecar.metric("members"), Some(2));
    wait_for_unavailable(&sidecar, 1);

    watch_after_reset.open_watch();
    watch_after_reset.write_line(&endpoint_list(44, true, &old_entries));
    wait_until("the list is accepted", || {
        sidecar.metric("members") == Some(3)
    });
    wait_for_unavailable(&sidecar, 1);
    drop(watch_after_reset);
    assert!(discovery.next_call().is_watch_since(44));
}

/// Guards a reload that moves discovery while a call is outstanding: once the new discovery has responded, the response
/// of the previous one has no effect.
#[test]
fn response_of_the_previous_discovery_is_ignored_after_a_new_list() {
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let (old, new) = (ManualDiscovery::start(), ManualDiscovery::start());
    let old_entries = serving_entries(&[&endpoints[0], &endpoints[1]]);
    let mut new_entries = old_entries.clone();
    new_entries[0]["status"] = json!("DRAINING");
    let mut config = with_admin_address(config(old.address(), &old_entries));
    let path = temporary_file(&config.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let mut outstanding = old.next_call();

    config["discovery"] = json!(new.address().to_string());
    std::fs::write(&path, config.to_string()).expect("the file is written");
    sidecar.send_signal("HUP");
    let mut fetch = new.next_call();
    assert!(fetch.is_fetch(), "{}", fetch.request_line);
    fetch.respond_with_list(&endpoint_list(7, true, &new_entries));
    let _watch = new.next_call();
    wait_for_unavailable(&sidecar, 1);
    outstanding.try_write_late_watch(&endpoint_list(99, true, &old_entries));

    for _ in 0..20 {
        assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    }
    assert_eq!(
        (
            endpoints[0].take_request_count(),
            sidecar.metric("members_unavailable")
        ),
        (0, Some(1))
    );
    std::fs::remove_file(path).expect("the file is removed");
}

/// Guards the operators' metrics of the list: its version, how long it has been unconfirmed, and the number of failed
/// calls.
#[test]
fn metrics_show_how_current_the_list_is() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = ManualDiscovery::start();
    let sidecar = start_sidecar(&discovery, &[&endpoint]);
    let mut rejected = discovery.next_call();
    rejected.write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");

    let mut watch = discovery.next_call();
    let metric_names = ["list_version", "discovery_watches", "discovery_failures"];
    assert_eq!(
        metric_names.map(|name| sidecar.metric(name)),
        [41, 0, 1].map(Some)
    );
    assert_ne!(sidecar.metric("list_unconfirmed_ms"), Some(0));

    watch.open_watch();
    watch.write_line(&endpoint_list(42, false, &[]));
    wait_until("the list is current", || {
        sidecar.metric("list_unconfirmed_ms") == Some(0)
    });
    assert_eq!(
        metric_names.map(|name| sidecar.metric(name)),
        [42, 1, 1].map(Some)
    );
    sidecar.wait_for_log("endpoint list: current again after");
    sidecar.wait_for_log("503 Service Unavailable (not opened after");

    drop(watch);
    wait_until("the list is not current", || {
        sidecar.metric("list_unconfirmed_ms") != Some(0)
    });
    sidecar.wait_for_log("s, 1 lists)");
}

/// The number of entries in the list of the largest fleet.
const LONG_LIST_ENTRIES: usize = 3_200;
/// The number of chunks of a long list, and the pause after each. The chunks arrive steadily, but together they take
/// longer than a watch may be silent.
const LONG_LIST_CHUNKS: usize = 7;
const PAUSE_BETWEEN_CHUNKS: Duration = Duration::from_millis(900);

/// Writes a text in chunks, with a pause after each.
fn write_slowly(text: &str, mut write: impl FnMut(&str)) {
    let chunk_bytes = text.len().div_ceil(LONG_LIST_CHUNKS);
    for chunk in text.as_bytes().chunks(chunk_bytes) {
        write(std::str::from_utf8(chunk).expect("ASCII"));
        std::thread::sleep(PAUSE_BETWEEN_CHUNKS);
    }
}

fn long_list(endpoint: &Endpoint) -> String {
    let names = (0..LONG_LIST_ENTRIES).map(|number| format!("e{number}"));
    let entries: Vec<Value> = names
        .map(|name| list_entry(&name, endpoint.address, "SERVING"))
        .collect();
    endpoint_list(50, true, &entries)
}

/// Guards lists of thousands of endpoints: one that arrives slowly but steadily on a watch is received. The watch is
/// not given up and reopened, which would make discovery send the whole list again.
#[test]
fn slow_long_list_on_a_watch_is_received() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = ManualDiscovery::start();
    let sidecar = start_sidecar(&discovery, &[&endpoint]);
    let mut watch = discovery.next_call();
    watch.open_watch();

    write_slowly(&long_list(&endpoint), |chunk| watch.write_chunk(chunk));

    wait_until("the list is received", || {
        sidecar.metric("members") == Some(LONG_LIST_ENTRIES as u64)
    });
    assert!(discovery.try_next_call().is_none(), "no other call is made");
}

/// Guards the same for a fetched list.
#[test]
fn slow_long_list_on_a_fetch_is_received() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = ManualDiscovery::start();
    let mut config = with_admin_address(config(discovery.address(), &[]));
    config.as_object_mut().expect("an object").remove("known");
    let sidecar = Sidecar::start(&config);
    let mut fetch = discovery.next_call();
    assert!(fetch.is_fetch(), "{}", fetch.request_line);

    let list = long_list(&endpoint);
    fetch.write(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
        list.len()
    ));
    write_slowly(&list, |chunk| fetch.write(chunk));

    wait_until("the list is received", || {
        sidecar.metric("members") == Some(LONG_LIST_ENTRIES as u64)
    });
    let next = discovery.next_call();
    assert!(next.is_watch_since(50), "{}", next.request_line);
}
