//! Tests of the commands of the program `balancer-sidecar`.

mod configuration;
mod help;
mod operator_commands;

use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A directory for the files of one test, removed when dropped.
#[derive(Debug)]
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Creates the directory.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        TestDirectory(path)
    }

    /// Writes a file in the directory and returns its path.
    #[must_use]
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a valid configuration.
#[must_use]
pub fn valid_configuration() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": {
            "balancers": 2, "myNumber": 1, "zone": "a", "dcs": ["a"], "stages": ["one"], "tier": 0,
            "discovery": "automatic", "report": {"how": "inline"},
            "bounds": {"cancel": true, "connIdleNs": 5_000_000_000u64, "connectTimeoutNs": 250_000_000, "maxOpen": 100,
                "maxStreams": 1, "mayTell": false, "parallelTries": false, "probes": false, "retryAfter": true,
                "sendCap": 3},
            "rules": {"answerSlackNs": 1_000_000, "coldFrom": 0.3, "drainGraceNs": 250_000_000, "fallMultiple": 2.5,
                "fallNs": 1_000_000_000, "warmWithinNs": 10_000_000_000u64},
            "categories": [
                {"name": "browse", "effect": "free", "worth": 1.0, "objectiveNs": 300_000_000, "hardLimitNs": 900_000_000},
                {"name": "order", "effect": "single_shot", "worth": 5.0, "objectiveNs": 300_000_000,
                    "hardLimitNs": 900_000_000},
            ],
        },
    })
}

/// Runs the program with arguments. The environment variables that it reads are not set.
#[must_use]
pub fn run_program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balancer-sidecar"));
    command
        .env_remove("ROUTER_CONFIG")
        .env_remove("ROUTER_ADMIN_ADDR");
    command.args(arguments).output().expect("the program runs")
}

/// Returns a path as text for an argument.
#[must_use]
pub fn path_text(path: &Path) -> &str {
    path.to_str().expect("a path in UTF-8")
}

/// Returns the standard output of a program.
#[must_use]
pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

/// Returns the standard error of a program.
#[must_use]
pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("text")
}
