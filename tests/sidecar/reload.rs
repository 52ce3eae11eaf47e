//! Reload of the configuration on SIGHUP.

use crate::stubs::*;
use serde_json::{Value, json};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::process::Command;

fn write_config(path: &Path, config: &Value) {
    std::fs::write(path, config.to_string()).expect("the file is written");
}

/// Guards a reload that moves to a new discovery. The full list is fetched from the new one, because versions of the
/// old one mean nothing there. The watch on the old one stays open until the new one has sent a list, and is then
/// closed. Neither an older list of the new discovery nor the cached list of the file ends a drain. Requests are served
/// throughout.
#[test]
fn previous_discovery_is_followed_until_the_first_new_list() {
    let (opener, gate) = response_gate();
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let slow_endpoint = Endpoint::start(move |_| {
        gate.wait();
        respond_ok("late")
    });
    let (old, new) = (Discovery::start(), Discovery::start());
    let entries_with_first = |status: &str| {
        let names = ["e0", "e1"].iter().zip(&endpoints);
        let mut entries: Vec<Value> = names
            .map(|(name, endpoint)| list_entry(name, endpoint.address, "SERVING"))
            .collect();
        entries[0]["status"] = json!(status);
        entries
    };
    let path = temporary_file(
        &config(
            old.address,
            &[list_entry("slow", slow_endpoint.address, "SERVING")],
        )
        .to_string(),
    );
    let sidecar = Sidecar::start_with_file(&path);
    let mut old_watch = old.next_call();
    let mut pending_client = sidecar.client();
    pending_client.write(&post_request("unsafe", "15", "x"));
    slow_endpoint.next_request();

    write_config(&path, &config(new.address, &entries_with_first("SERVING")));
    sidecar.send_signal("HUP");
    let mut new_watch = new.next_call();
    assert!(
        new_watch.request_line.starts_with("GET /v1/endpoints "),
        "a fetch of the full list: {}",
        new_watch.request_line
    );
    // The old discovery still sends a change.
    old_watch.write_line(&endpoint_list(42, true, &entries_with_first("DRAINING")));
    let mut client = sidecar.client();
    while client.exchange(&get_request("2")).status() != 200 {}
    new_watch.write_line(&endpoint_list(7, true, &entries_with_first("SERVING")));
    new_watch.finish();
    let mut new_watch = new.next_call();
    assert!(
        new_watch.request_line.contains("?follow=1&since=7 "),
        "the new discovery's version is in force: {}",
        new_watch.request_line
    );
    assert!(
        old_watch.wait_for_close(),
        "the old watch ends once the new discovery has sent a list"
    );
    for _ in 0..20 {
        assert_eq!(client.exchange(&get_request("2")).status(), 200);
    }
    assert_eq!(
        endpoints[0].take_request_count(),
        0,
        "it drains, whatever an older list or the file says"
    );
    new_watch.write_line(&endpoint_list(8, false, &[]));
    drop(new_watch);
    assert!(new.next_call().request_line.contains("since=8 "));

    opener.release_one();
    assert_eq!(
        pending_client
            .read()
            .expect("the open request is answered")
            .body,
        b"late"
    );
    std::fs::remove_file(path).expect("the file is removed");
}

/// Guards the log of reloads. A configuration that cannot be read is logged, and the old one stays in force. A change
/// that only a restart can apply is logged together with the changes that are applied, here after two signals in a row.
#[test]
fn reload_logs_changes_that_it_cannot_apply() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let valid = config(
        discovery.address,
        &[list_entry("e0", endpoint.address, "SERVING")],
    );
    let path = temporary_file(&valid.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let _watch = discovery.next_call();
    std::fs::write(&path, "{").expect("the file is written");
    sidecar.send_signal("HUP");
    sidecar.wait_for_log("reload rejected, the configuration is unchanged");
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);

    let mut changed = valid;
    changed["listen"] = json!("127.0.0.1:1");
    changed["settings"]["bounds"]["sendCap"] = json!(2);
    write_config(&path, &changed);
    sidecar.send_signal("HUP");
    sidecar.send_signal("HUP");
    sidecar
        .wait_for_log("discovery stays, settings change in bounds; only a restart changes: listen");
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);
    std::fs::remove_file(path).expect("the file is removed");
}

/// Guards the graceful shutdown: a reload during it neither ends nor prolongs it, and open requests are answered.
#[test]
fn reload_during_shutdown_is_applied() {
    let (opener, gate) = response_gate();
    let endpoint = Endpoint::start(move |_| {
        gate.wait();
        respond_ok("late")
    });
    let (old, new) = (Discovery::start(), Discovery::start());
    let cached_entries = [list_entry("e0", endpoint.address, "SERVING")];
    let path = temporary_file(&config(old.address, &cached_entries).to_string());
    let mut sidecar = Sidecar::start_with_file(&path);
    let mut idle_client = sidecar.client();
    assert_eq!(
        idle_client
            .exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
    let mut pending_client = sidecar.client();
    pending_client.write(&post_request("unsafe", "10", "x"));
    endpoint.next_request();
    sidecar.terminate();
    assert!(idle_client.wait_for_clean_close(), "the sidecar shuts down");
    write_config(&path, &config(new.address, &cached_entries));
    sidecar.send_signal("HUP");
    assert!(
        new.next_call()
            .request_line
            .starts_with("GET /v1/endpoints ")
    );
    opener.release_one();
    assert_eq!(
        pending_client
            .read()
            .expect("the open request is answered")
            .body,
        b"late"
    );
    assert!(sidecar.wait().success());
    std::fs::remove_file(path).expect("the file is removed");
}

fn classes_of(config: &mut Value) -> &mut Vec<Value> {
    config["settings"]["categories"]
        .as_array_mut()
        .expect("a list")
}

fn copy_class(name: &str, template: &Value) -> Value {
    let mut class = template.clone();
    class["name"] = json!(name);
    class
}

/// Guards reloads that change request classes. An added class is served. A removed class is not served, but keeps its
/// count. A stricter effect holds for later requests, and open requests keep the settings under which they arrived.
#[test]
fn changed_settings_apply_to_later_requests_only() {
    let (opener, gate) = response_gate();
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("x")));
    let slow_endpoint = Endpoint::start(move |message| {
        if message.header("x-class") == Some("keyed") {
            gate.wait();
        }
        respond_ok("late")
    });
    let discovery = Discovery::start();
    let mut cached_entries = serving_entries(&[&endpoints[0], &endpoints[1]]);
    cached_entries.push(list_entry("slow", slow_endpoint.address, "SERVING"));
    let mut config = with_admin_address(config(discovery.address, &cached_entries));
    let path = temporary_file(&config.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let reloads = || sidecar.metric("config_reloads").expect("a number");
    let mut client = sidecar.client();
    let keyed = |class: &str| {
        post_request(class, "15", "x").replace("Host: s", "Host: s\r\nIdempotency-Key: k")
    };
    assert_eq!(
        client
            .exchange(&keyed("safe").replace("POST", "GET"))
            .status(),
        200
    );
    // These requests are open while their class changes.
    let mut waiting_clients: Vec<Client> = (0..12)
        .map(|_| {
            let mut client = sidecar.client();
            client.write(&keyed("keyed"));
            client
        })
        .collect();
    wait_until("some requests are pending", || {
        sidecar.metric("pending").is_some_and(|count| count > 0)
    });

    let new_class = copy_class("new", &classes_of(&mut config)[0]);
    classes_of(&mut config).push(new_class);
    classes_of(&mut config)[2]["effect"] = json!("single_shot"); // `keyed`
    config["settings"]["bounds"]["sendCap"] = json!(1);
    write_config(&path, &config);
    sidecar.send_signal("HUP");
    wait_until("the reload is applied", || reloads() == 1);
    sidecar.wait_for_log("settings change in bounds, categories");
    assert_eq!(sidecar.ended_request_count("completed", "new"), Some(0));
    assert_eq!(
        client
            .exchange(&get_request("5").replace("safe", "new"))
            .status(),
        200
    );
    assert_ne!(
        client
            .exchange(&post_request("keyed", "0.001", "x"))
            .status(),
        400,
        "the class no longer needs a key"
    );
    for _ in 0..12 {
        opener.release_one();
    }
    for client in &mut waiting_clients {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }

    // `safe` is removed. A moment later its requests are rejected.
    classes_of(&mut config).remove(0);
    write_config(&path, &config);
    sidecar.send_signal("HUP");
    wait_until("the reload is applied", || reloads() == 2);
    wait_until("requests sent before the reload are over", || {
        client.exchange(&get_request("5")).status() == 400
    });
    assert_eq!(
        client
            .exchange(&get_request("5").replace("safe", "new"))
            .status(),
        200
    );
    assert!(
        sidecar
            .ended_request_count("completed", "safe")
            .is_some_and(|count| count >= 1),
        "its count stays"
    );
    // A reload of the unchanged file is applied and changes nothing.
    sidecar.send_signal("HUP");
    wait_until("the reload is applied", || reloads() == 3);
    assert_eq!(sidecar.metric("config_reload_errors"), Some(0));
    std::fs::remove_file(path).expect("the file is removed");
}

/// Guards the settings in force against every kind of broken file: they and the discovery in force stay complete, and
/// the log says what is wrong.
#[test]
fn invalid_configuration_changes_nothing() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (discovery, other_discovery) = (Discovery::start(), Discovery::start());
    let valid = with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
    let path = temporary_file(&valid.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let errors = || sidecar.metric("config_reload_errors").expect("a number");
    let changed_by = |change: &dyn Fn(&mut Value)| {
        let mut broken = valid.clone();
        // Valid changes next to the invalid one must not be applied either.
        broken["discovery"] = json!(other_discovery.address.to_string());
        let new_class = copy_class("new", &classes_of(&mut broken)[0]);
        classes_of(&mut broken).push(new_class);
        change(&mut broken);
        broken.to_string()
    };
    let text = changed_by(&|_| {});
    let without = |at: &'static str, key: &'static str| {
        changed_by(&move |broken| {
            drop(
                broken
                    .pointer_mut(at)
                    .expect("the key exists")
                    .as_object_mut()
                    .expect("an object")
                    .remove(key),
            );
        })
    };
    let set = |at: &'static str, to: Value| {
        changed_by(&move |broken| *broken.pointer_mut(at).expect("the key exists") = to.clone())
    };
    let mut files = vec![
        String::new(),
        "\n".into(),
        "null".into(),
        text[..text.len() / 2].into(),
        text[..text.len() - 1].into(),
        format!("{text}}}"),
        set("/settings/bounds/sendCap", json!(0)),
        set("/settings/bounds/sendCap", json!(-1)),
        set("/settings/categories/1/hardLimitNs", json!(0)),
        set("/settings/categories/1/hardLimitNs", json!(-5)),
        set("/settings/categories/0/objectiveNs", json!(0)),
        set("/settings/categories", json!([])),
        set("/settings/categories/3/name", json!("safe")),
        set("/settings", json!({})),
        set("/discovery", json!("nowhere")),
    ];
    for (at, key) in [
        ("", "name"),
        ("", "listen"),
        ("", "discovery"),
        ("", "seed"),
        ("", "limits"),
        ("", "settings"),
        ("/limits", "sockets"),
        ("/limits", "cores"),
        ("/settings", "bounds"),
        ("/settings", "categories"),
        ("/settings", "rules"),
        ("/settings", "fees"),
        ("/settings", "customers"),
        ("/settings", "stages"),
        ("/settings", "zone"),
        ("/settings/bounds", "sendCap"),
        ("/settings/bounds", "maxRetryAfterNs"),
        ("/settings/rules", "coldFrom"),
        ("/settings/categories/3", "hardLimitNs"),
        ("/settings/categories/3", "lateShare"),
        ("/settings/categories/0", "name"),
    ] {
        files.push(without(at, key));
    }
    let mut client = sidecar.client();
    for (earlier_errors, text) in files.iter().enumerate() {
        std::fs::write(&path, text).expect("the file is written");
        sidecar.send_signal("HUP");
        wait_until(&format!("the reload is rejected: {text}"), || {
            errors() == earlier_errors as u64 + 1
        });
        assert_eq!(client.exchange(&get_request("5")).status(), 200);
        assert_eq!(
            client
                .exchange(&get_request("5").replace("safe", "new"))
                .status(),
            400
        );
    }
    std::fs::remove_file(&path).expect("the file is removed");
    sidecar.send_signal("HUP");
    wait_until("a missing file is rejected", || {
        errors() == files.len() as u64 + 1
    });
    assert_eq!(sidecar.metric("config_reloads"), Some(0));
    // The log is read on another thread, and may lag behind the metrics.
    let is_rejection =
        |line: &&String| line.contains("reload rejected, the configuration is unchanged: ");
    wait_until("each rejection is logged", || {
        sidecar.log().iter().filter(is_rejection).count() > files.len()
    });
    assert_eq!(
        sidecar.log().iter().filter(is_rejection).count(),
        files.len() + 1
    );
    write_config(&path, &serde_json::from_str(&text).expect("it is valid"));
    sidecar.send_signal("HUP");
    assert!(
        other_discovery
            .next_call()
            .request_line
            .starts_with("GET /v1/endpoints "),
        "the whole configuration is applied"
    );
    wait_until("the class is served", || {
        client
            .exchange(&get_request("5").replace("safe", "new"))
            .status()
            == 200
    });
    std::fs::remove_file(path).expect("the file is removed");
}

/// Guards the start against signals that arrive while the configuration is being read: SIGHUP makes the program read it
/// again, and SIGTERM shuts the process down gracefully. The file is a pipe, so the program goes on reading until the
/// test has written the configuration.
#[test]
fn signals_during_the_start_are_handled() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let discovery = Discovery::start();
    let config =
        with_admin_address(config(discovery.address, &serving_entries(&[&endpoint]))).to_string();
    let pipe = temporary_directory().join("config");
    assert!(
        Command::new("mkfifo")
            .arg(&pipe)
            .status()
            .expect("mkfifo runs")
            .success()
    );
    // Opening the pipe blocks until the program has opened it too.
    let open_pipe = || {
        OpenOptions::new()
            .write(true)
            .open(&pipe)
            .expect("it is read")
    };
    let start_and_signal = |name: &str| {
        let child = sidecar_command()
            .env("ROUTER_CONFIG", &pipe)
            .spawn()
            .expect("the program starts");
        let mut pipe_writer = open_pipe();
        send_signal(&child, name);
        pipe_writer
            .write_all(config.as_bytes())
            .expect("it is read");
        drop(pipe_writer);
        Sidecar::from_child(child)
    };
    let sidecar = start_and_signal("HUP");
    open_pipe()
        .write_all(config.as_bytes())
        .expect("it is reloaded");
    wait_until("the reload is applied", || {
        sidecar.metric("config_reloads") == Some(1)
    });
    assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    assert!(start_and_signal("TERM").wait().success());
    std::fs::remove_dir_all(pipe.parent().expect("its directory")).expect("it is removed");
}
