//! SIGHUP: the configuration is read again while the program runs.

use crate::stubs::*;
use serde_json::{Value, json};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::process::Command;
use std::sync::Mutex;
use std::sync::mpsc::channel;

fn write(path: &Path, config: &Value) {
    std::fs::write(path, config.to_string()).expect("the file is written");
}

/// Guards the move of discovery: the new one is asked for the whole list, as no version of the old one's means
/// anything there; the old one is listened to until the new one has spoken, and not missed after; an old word of the new
/// one's does not bring back what drains, nor does the file's `known`; requests go on throughout.
#[test]
fn discovery_moves_without_a_gap() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("")));
    let slow = Endpoint::start(move |_| {
        let _ = released.lock().expect("the only one").recv();
        respond_ok("late")
    });
    let (old, new) = (Discovery::start(), Discovery::start());
    let all = |status: &str| {
        let names = ["e0", "e1"].iter().zip(&endpoints);
        let mut all: Vec<Value> = names.map(|(n, e)| entry(n, e.address, "SERVING")).collect();
        all[0]["status"] = json!(status);
        all
    };
    let path =
        temporary_file(&config(old.address, &[entry("slow", slow.address, "SERVING")]).to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let mut watch = old.next_watch();
    let mut waits = sidecar.client();
    waits.write(&post_request("unsafe", "15", "x"));
    slow.next_request();

    write(&path, &config(new.address, &all("SERVING")));
    sidecar.send_signal("HUP");
    let mut next = new.next_watch();
    assert!(
        next.request_line.starts_with("GET /v1/endpoints "),
        "the whole list: {}",
        next.request_line
    );
    // The old one still has something to tell.
    watch.write_line(&list(42, true, &all("DRAINING")));
    let mut client = sidecar.client();
    while client.exchange(&get_request("2")).status() != 200 {}
    next.write_line(&list(7, true, &all("SERVING")));
    next.finish();
    let mut next = new.next_watch();
    assert!(
        next.request_line.contains("?follow=1&since=7 "),
        "the new one's version counts now: {}",
        next.request_line
    );
    assert!(
        watch.is_closed(),
        "the old one is let go once the new one has spoken"
    );
    for _ in 0..20 {
        assert_eq!(client.exchange(&get_request("2")).status(), 200);
    }
    assert_eq!(
        endpoints[0].take_request_count(),
        0,
        "it drains, whatever an older list or the file say"
    );
    next.write_line(&list(8, false, &[]));
    drop(next);
    assert!(new.next_watch().request_line.contains("since=8 "));

    release.send(()).expect("the endpoint waits");
    assert_eq!(
        waits.read().expect("what was taken is answered").body,
        b"late"
    );
    std::fs::remove_file(path).expect("the file goes");
}

/// Guards against a configuration that cannot be read, and one that a running process cannot take over: each is a
/// line of the log, and the old one goes on. Two signals in a row are as one.
#[test]
fn what_cannot_be_taken_over_is_named() {
    let endpoint = Endpoint::start(|_| respond_ok(""));
    let discovery = Discovery::start();
    let good = config(
        discovery.address,
        &[entry("e0", endpoint.address, "SERVING")],
    );
    let path = temporary_file(&good.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let _watch = discovery.next_watch();
    std::fs::write(&path, "{").expect("the file is written");
    sidecar.send_signal("HUP");
    sidecar.wait_for_log("reload rejected, the configuration is unchanged");
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);

    let mut other = good;
    other["listen"] = json!("127.0.0.1:1");
    other["settings"]["bounds"]["sendCap"] = json!(2);
    write(&path, &other);
    sidecar.send_signal("HUP");
    sidecar.send_signal("HUP");
    sidecar
        .wait_for_log("discovery stays, settings change in bounds; only a restart changes: listen");
    assert_eq!(sidecar.client().exchange(&get_request("2")).status(), 200);
    std::fs::remove_file(path).expect("the file goes");
}

/// Guards the stop: a reload in the middle of it neither ends nor lengthens it, and what was taken is answered.
#[test]
fn a_reload_while_it_stops() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let endpoint = Endpoint::start(move |_| {
        let _ = released.lock().expect("the only one").recv();
        respond_ok("late")
    });
    let (old, new) = (Discovery::start(), Discovery::start());
    let known = [entry("e0", endpoint.address, "SERVING")];
    let path = temporary_file(&config(old.address, &known).to_string());
    let mut sidecar = Sidecar::start_with_file(&path);
    let mut idle = sidecar.client();
    assert_eq!(
        idle.exchange("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
    let mut waits = sidecar.client();
    waits.write(&post_request("unsafe", "10", "x"));
    endpoint.next_request();
    sidecar.terminate();
    assert!(idle.is_closed(), "it stops");
    write(&path, &config(new.address, &known));
    sidecar.send_signal("HUP");
    assert!(
        new.next_watch()
            .request_line
            .starts_with("GET /v1/endpoints ")
    );
    release.send(()).expect("the endpoint waits");
    assert_eq!(
        waits.read().expect("what was taken is answered").body,
        b"late"
    );
    assert!(sidecar.wait().success());
    std::fs::remove_file(path).expect("the file goes");
}

fn classes(config: &mut Value) -> &mut Vec<Value> {
    config["settings"]["categories"]
        .as_array_mut()
        .expect("a list")
}

fn named(name: &str, like: &Value) -> Value {
    let mut class = like.clone();
    class["name"] = json!(name);
    class
}

/// Guards settings that change: a class that appears is served, one that vanishes is not but keeps its count, a stricter
/// effect holds for what comes after, and requests under way keep theirs.
#[test]
fn settings_change_while_it_serves() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let endpoints = [0, 1].map(|_| Endpoint::start(|_| respond_ok("x")));
    let slow = Endpoint::start(move |message| {
        if message.header("x-class") == Some("keyed") {
            let _ = released.lock().expect("the only one").recv();
        }
        respond_ok("late")
    });
    let discovery = Discovery::start();
    let mut known = serving_entries(&[&endpoints[0], &endpoints[1]]);
    known.push(entry("slow", slow.address, "SERVING"));
    let mut config = with_admin_address(config(discovery.address, &known));
    let path = temporary_file(&config.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let reloads = || sidecar.metric("config_reloads").expect("a figure");
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
    // Under way while its class changes.
    let mut waits: Vec<Client> = (0..12)
        .map(|_| {
            let mut client = sidecar.client();
            client.write(&keyed("keyed"));
            client
        })
        .collect();
    wait_until("some wait", || {
        sidecar.metric("pending").is_some_and(|n| n > 0)
    });

    let new = named("new", &classes(&mut config)[0]);
    classes(&mut config).push(new);
    classes(&mut config)[2]["effect"] = json!("single_shot"); // `keyed`
    config["settings"]["bounds"]["sendCap"] = json!(1);
    write(&path, &config);
    sidecar.send_signal("HUP");
    wait_until("it is taken", || reloads() == 1);
    sidecar.wait_for_log("settings change in bounds, categories");
    assert_eq!(sidecar.requests_ended("completed", "new"), Some(0));
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
        "it needs no key any more"
    );
    for _ in 0..12 {
        release.send(()).expect("the endpoint waits");
    }
    for client in &mut waits {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }

    // `safe` vanishes; a moment later nothing of it is served.
    classes(&mut config).remove(0);
    write(&path, &config);
    sidecar.send_signal("HUP");
    wait_until("it is taken", || reloads() == 2);
    wait_until("what may be late is over", || {
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
            .requests_ended("completed", "safe")
            .is_some_and(|n| n >= 1),
        "its count stays"
    );
    // The same file again is taken, and changes nothing.
    sidecar.send_signal("HUP");
    wait_until("it is taken", || reloads() == 3);
    assert_eq!(sidecar.metric("config_reload_errors"), Some(0));
    std::fs::remove_file(path).expect("the file goes");
}

/// Guards the old settings against every kind of broken file: they stay, whole, with the old discovery, and the log says
/// what is wrong.
#[test]
fn a_broken_file_leaves_all_as_it_was() {
    let endpoint = Endpoint::start(|_| respond_ok("x"));
    let (discovery, other) = (Discovery::start(), Discovery::start());
    let good = with_admin_address(config(discovery.address, &serving_entries(&[&endpoint])));
    let path = temporary_file(&good.to_string());
    let sidecar = Sidecar::start_with_file(&path);
    let errors = || sidecar.metric("config_reload_errors").expect("a figure");
    let with = |change: &dyn Fn(&mut Value)| {
        let mut broken = good.clone();
        // Good news beside what is broken is not to be taken either.
        broken["discovery"] = json!(other.address.to_string());
        let new = named("new", &classes(&mut broken)[0]);
        classes(&mut broken).push(new);
        change(&mut broken);
        broken.to_string()
    };
    let text = with(&|_| {});
    let without = |at: &'static str, key: &'static str| {
        with(&move |b| {
            drop(
                b.pointer_mut(at)
                    .expect("it is there")
                    .as_object_mut()
                    .expect("an object")
                    .remove(key),
            );
        })
    };
    let set = |at: &'static str, to: Value| {
        with(&move |b| *b.pointer_mut(at).expect("it is there") = to.clone())
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
    for (n, text) in files.iter().enumerate() {
        std::fs::write(&path, text).expect("the file is written");
        sidecar.send_signal("HUP");
        wait_until(&format!("it is turned down: {text}"), || {
            errors() == n as u64 + 1
        });
        assert_eq!(client.exchange(&get_request("5")).status(), 200);
        assert_eq!(
            client
                .exchange(&get_request("5").replace("safe", "new"))
                .status(),
            400
        );
    }
    std::fs::remove_file(&path).expect("the file goes");
    sidecar.send_signal("HUP");
    wait_until("a missing file is turned down", || {
        errors() == files.len() as u64 + 1
    });
    assert_eq!(sidecar.metric("config_reloads"), Some(0));
    // The log is read beside the calls, and may be a line behind what they tell.
    let told = |l: &&String| l.contains("reload rejected, the configuration is unchanged: ");
    wait_until("each has its line", || {
        sidecar.log().iter().filter(told).count() > files.len()
    });
    assert_eq!(sidecar.log().iter().filter(told).count(), files.len() + 1);
    write(&path, &serde_json::from_str(&text).expect("it is good"));
    sidecar.send_signal("HUP");
    assert!(
        other
            .next_watch()
            .request_line
            .starts_with("GET /v1/endpoints "),
        "the whole of it is taken"
    );
    wait_until("the class is there", || {
        client
            .exchange(&get_request("5").replace("safe", "new"))
            .status()
            == 200
    });
    std::fs::remove_file(path).expect("the file goes");
}

/// Guards the start against signals that come while the configuration is still being read: SIGHUP has it read again, and
/// SIGTERM is an end in order. The file is a pipe, so that the program waits for it as long as the test likes.
#[test]
fn a_signal_that_comes_as_the_program_starts_is_heard() {
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
    // Opened once the program has it open, too.
    let open = || {
        OpenOptions::new()
            .write(true)
            .open(&pipe)
            .expect("it is read")
    };
    let starts = |name: &str| {
        let child = sidecar_command()
            .env("ROUTER_CONFIG", &pipe)
            .spawn()
            .expect("the program starts");
        let mut write = open();
        send_signal(&child, name);
        write.write_all(config.as_bytes()).expect("it is read");
        drop(write);
        Sidecar::from_child(child)
    };
    let sidecar = starts("HUP");
    open()
        .write_all(config.as_bytes())
        .expect("it is read again");
    wait_until("it is taken", || {
        sidecar.metric("config_reloads") == Some(1)
    });
    assert_eq!(sidecar.client().exchange(&get_request("5")).status(), 200);
    assert!(starts("TERM").wait().success());
    std::fs::remove_dir_all(pipe.parent().expect("its folder")).expect("it goes");
}
