//! `status`, `drain`, `undrain`, `disable` and `enable`, against a stand-in for the second address.

use super::{Folder, configuration, run_program, stderr, stdout, text};
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

/// Answers so many calls, each with the next answer; gives the calls back.
fn second_address(answers: &'static [&'static str]) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let calls = thread::spawn(move || {
        let answer = |answer: &&str| {
            let (mut stream, _) = listener.accept().expect("a call");
            let mut line = String::new();
            BufReader::new(stream.try_clone().expect("a reader"))
                .read_line(&mut line)
                .expect("a line");
            stream.write_all(answer.as_bytes()).expect("it reads");
            line
        };
        answers.iter().map(answer).collect()
    });
    (address, calls)
}

/// Guards the calls: each is one line, and a no is told and is an exit code of 1.
#[test]
fn commands_make_the_calls_of_the_second_address() {
    for (arguments, call) in [
        (vec!["drain"], "DRAIN\n"),
        (vec!["undrain"], "UNDRAIN\n"),
        (vec!["disable", "e0"], "DISABLE e0\n"),
        (vec!["enable", "e0"], "ENABLE e0\n"),
    ] {
        let (address, calls) = second_address(&["YES\n", "NO no such endpoint is listed\n"]);
        let address = address.to_string();
        let arguments: Vec<&str> = arguments.into_iter().chain(["--admin", &address]).collect();
        let yes = run_program(&arguments);
        assert_eq!(
            (yes.status.code(), stdout(&yes).as_str()),
            (Some(0), "YES\n")
        );
        let no = run_program(&arguments);
        assert_eq!(
            (no.status.code(), stderr(&no).as_str()),
            (Some(1), "NO no such endpoint is listed\n")
        );
        assert_eq!(calls.join().expect("two calls"), [call, call]);
    }
}

/// Guards `status`, and that the second address is found in the configuration.
#[test]
fn status_shows_readiness_and_figures() {
    let (address, calls) = second_address(&["YES\n", "app_pending 3\napp_members 2\nEND\n"]);
    let folder = Folder::new("status");
    let mut document = configuration();
    document["admin_addr"] = json!(address.to_string());
    let file = folder.write("config.json", &document.to_string());
    let output = run_program(&["status", "--config", text(&file)]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(
        stdout(&output),
        "ready: YES\napp_pending 3\napp_members 2\n"
    );
    assert_eq!(calls.join().expect("two calls"), ["READY\n", "STATS\n"]);
}

/// Guards against silence: no address and nobody there are told apart.
#[test]
fn nobody_to_call_is_told() {
    let output = run_program(&["status"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).starts_with("no second address: "),
        "{}",
        stderr(&output)
    );
    let closed = TcpListener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("an address");
    let output = run_program(&["drain", "--admin", &closed.to_string()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr(&output).starts_with(&closed.to_string()),
        "{}",
        stderr(&output)
    );
}
