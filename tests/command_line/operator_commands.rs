//! Tests of `status`, `drain`, `undrain`, `disable` and `enable` with a fake sidecar.

use super::{TestDirectory, path_text, run_program, stderr, stdout, valid_configuration};
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

/// Starts a fake sidecar that accepts one call for each answer. Returns its operators' address and a handle that gives
/// the received lines when joined.
fn fake_sidecar(answers: &'static [&'static str]) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let received_lines = thread::spawn(move || {
        answers
            .iter()
            .map(|answer| answer_one_connection(&listener, answer))
            .collect()
    });
    (address, received_lines)
}

fn answer_one_connection(listener: &TcpListener, answer: &str) -> String {
    let (mut stream, _) = listener.accept().expect("a call");
    let reader = stream.try_clone().expect("a reader");
    let mut line = String::new();
    BufReader::new(reader).read_line(&mut line).expect("a line");
    stream
        .write_all(answer.as_bytes())
        .expect("the answer is written");
    line
}

/// Guards the exchange with the sidecar. Each command must send one line, print the answer, and exit with 1 if the
/// answer does not report success.
#[test]
fn commands_send_one_line_and_report_the_answer() {
    for (arguments, expected_line) in [
        (vec!["drain"], "DRAIN\n"),
        (vec!["undrain"], "UNDRAIN\n"),
        (vec!["disable", "e0"], "DISABLE e0\n"),
        (vec!["enable", "e0"], "ENABLE e0\n"),
    ] {
        let (address, received_lines) = fake_sidecar(&["YES\n", "NO no such endpoint is listed\n"]);
        let address = address.to_string();
        let arguments: Vec<&str> = arguments.into_iter().chain(["--admin", &address]).collect();

        let success = run_program(&arguments);
        assert_eq!(
            (success.status.code(), stdout(&success).as_str()),
            (Some(0), "YES\n")
        );

        let failure = run_program(&arguments);
        assert_eq!(
            (failure.status.code(), stderr(&failure).as_str()),
            (Some(1), "NO no such endpoint is listed\n")
        );
        assert_eq!(
            received_lines.join().expect("two calls"),
            [expected_line, expected_line]
        );
    }
}

/// Guards the output of `status`, and the use of the operators' address from the configuration file.
#[test]
fn status_shows_readiness_and_metrics() {
    let (address, received_lines) = fake_sidecar(&["YES\n", "app_pending 3\napp_members 2\nEND\n"]);
    let directory = TestDirectory::new("status");
    let mut document = valid_configuration();
    document["admin_addr"] = json!(address.to_string());
    let file = directory.write_file("config.json", &document.to_string());

    let output = run_program(&["status", "--config", path_text(&file)]);

    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(
        stdout(&output),
        "ready: YES\napp_pending 3\napp_members 2\n"
    );
    assert_eq!(
        received_lines.join().expect("two calls"),
        ["READY\n", "STATS\n"]
    );
}

/// Guards against failures without a message. A missing address must give exit code 2 (invalid input), and an
/// unreachable sidecar exit code 1 (failure).
#[test]
fn commands_report_a_missing_address_and_an_unreachable_sidecar() {
    let output = run_program(&["status"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).starts_with("no operators' address: "),
        "{}",
        stderr(&output)
    );

    let closed_address = TcpListener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("an address")
        .to_string();
    let output = run_program(&["drain", "--admin", &closed_address]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr(&output).starts_with(&closed_address),
        "{}",
        stderr(&output)
    );
}
