//! The command `tier`, and a sidecar with the configuration that the command writes.

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

/// The longest time that a test waits for a state.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A process that is killed when the test ends.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the command `tier` with two endpoints. It writes a sidecar's configuration to this path.
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

/// Sends a request and returns everything that is received until the connection is closed.
fn call(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the sidecar listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the read timeout is set");
    stream
        .write_all(request.as_bytes())
        .expect("the request is written");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("the sidecar responds");
    response
}

/// At the end, SIGINT must end the tier with exit code 130.
#[test]
fn sidecar_serves_with_written_configuration() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let configuration = folder.path().join("sidecar.json");
    let mut tier = start_tier(&configuration);
    wait_until("the configuration is written", TIMEOUT, || {
        configuration.exists()
    });
    let text = fs::read_to_string(&configuration).expect("the configuration is readable");
    assert_eq!(text.matches("\"endpoint-").count(), 2, "{text}");

    let sidecar = Command::new(sidecar_program())
        .env("ROUTER_CONFIG", &configuration)
        .env("TMPDIR", folder.path())
        .stderr(Stdio::piped())
        .spawn();
    let mut sidecar = KillOnDrop(sidecar.expect("the sidecar starts"));
    let address = callers_address(
        sidecar
            .0
            .stderr
            .take()
            .expect("the sidecar's standard error is piped"),
    );
    let request = "GET /api HTTP/1.1\r\nHost: s\r\nConnection: close\r\nX-Request-Id: 1\r\nX-Class: browse\r\n\
                   X-Deadline: 10\r\n\r\n";
    let response = call(address, request);
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");

    kill_process(Pid::from_child(&tier.0), Signal::INT).expect("the tier process runs");
    assert_eq!(
        tier.0.wait().expect("the tier process ends").code(),
        Some(130)
    );
}
