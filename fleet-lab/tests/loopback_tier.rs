//! The command `tier`: a sidecar serves requests with the configuration that the command writes.

#[path = "support/sidecar_program.rs"]
mod sidecar_program;
#[path = "support/wait.rs"]
mod wait;

use rustix::process::{Pid, Signal, kill_process};
use sidecar_program::sidecar_program;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::Duration;
use wait::wait_until;

/// How long a test waits for anything at most.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed when the test ends.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_tier(configuration: &Path) -> KillOnDrop {
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
    KillOnDrop(tier.expect("the lab starts"))
}

/// Reads the address for callers from a sidecar's log.
fn callers_address(log: ChildStderr) -> SocketAddr {
    let lines = BufReader::new(log).lines().map_while(Result::ok);
    let mut addresses =
        lines.filter_map(|line| Some(line.split_once(" listens on ")?.1.trim().to_owned()));
    addresses
        .next()
        .and_then(|address| address.parse().ok())
        .expect("the sidecar listens")
}

fn call(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the sidecar listens");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    stream.write_all(request.as_bytes()).expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

#[test]
fn a_sidecar_with_the_written_configuration_serves_requests_and_sigint_ends_the_tier() {
    let folder = tempfile::tempdir().expect("a folder");
    let configuration = folder.path().join("sidecar.json");
    let mut tier = start_tier(&configuration);
    wait_until("the configuration is written", TIMEOUT, || {
        configuration.exists()
    });
    let text = fs::read_to_string(&configuration).expect("it is whole");
    assert_eq!(text.matches("\"endpoint-").count(), 2, "{text}");

    let sidecar = Command::new(sidecar_program())
        .env("ROUTER_CONFIG", &configuration)
        .env("TMPDIR", folder.path())
        .stderr(Stdio::piped())
        .spawn();
    let mut sidecar = KillOnDrop(sidecar.expect("the sidecar starts"));
    let address = callers_address(sidecar.0.stderr.take().expect("its log"));
    let request = "GET /api HTTP/1.1\r\nHost: s\r\nConnection: close\r\nX-Request-Id: 1\r\nX-Class: browse\r\n\
                   X-Deadline: 10\r\n\r\n";
    let answer = call(address, request);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");

    kill_process(Pid::from_child(&tier.0), Signal::INT).expect("the tier runs");
    assert_eq!(tier.0.wait().expect("it ends").code(), Some(130));
}
