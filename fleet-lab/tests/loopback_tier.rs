//! The stand-in tier: a sidecar that is started from the configuration that it writes serves a request.

mod common;

use rustix::process::{Pid, Signal, kill_process};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything here takes.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Between two looks at a state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that is killed when the test ends.
struct Killed(Child);

impl Drop for Killed {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_tier(configuration: &Path) -> Killed {
    let tier = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args([
            "tier",
            "--listen",
            "127.0.0.1:0",
            "--admin",
            "127.0.0.1:0",
            "--endpoints",
            "2",
        ])
        .arg("--configuration")
        .arg(configuration)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    Killed(tier.expect("the lab starts"))
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let give_up_at = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < give_up_at, "{what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Where a sidecar says in its log that it listens.
fn callers_address(log: ChildStderr) -> SocketAddr {
    let lines = BufReader::new(log).lines().map_while(Result::ok);
    let mut told =
        lines.filter_map(|line| Some(line.split_once(" listens on ")?.1.trim().to_owned()));
    told.next()
        .and_then(|address| address.parse().ok())
        .expect("it tells where it listens")
}

fn ask(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the sidecar listens");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    stream.write_all(request.as_bytes()).expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

#[test]
fn a_sidecar_serves_from_the_tier_s_configuration() {
    let folder = tempfile::tempdir().expect("a folder");
    let configuration = folder.path().join("sidecar.json");
    let mut tier = start_tier(&configuration);
    wait_until("the configuration is written", || configuration.exists());
    let text = fs::read_to_string(&configuration).expect("it is whole");
    assert_eq!(text.matches("\"endpoint-").count(), 2, "{text}");

    let sidecar = Command::new(common::sidecar_program())
        .env("ROUTER_CONFIG", &configuration)
        .env("TMPDIR", folder.path())
        .stderr(Stdio::piped())
        .spawn();
    let mut sidecar = Killed(sidecar.expect("the sidecar starts"));
    let address = callers_address(sidecar.0.stderr.take().expect("its log"));
    let request = "GET /api HTTP/1.1\r\nHost: s\r\nConnection: close\r\nX-Request-Id: 1\r\nX-Class: browse\r\n\
                   X-Deadline: 10\r\n\r\n";
    let answer = ask(address, request);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");

    kill_process(Pid::from_child(&tier.0), Signal::INT).expect("the tier runs");
    assert_eq!(tier.0.wait().expect("it ends").code(), Some(130));
}
