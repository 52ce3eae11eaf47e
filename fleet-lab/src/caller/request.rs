//! Serialization of requests.

use super::plan::LoadTarget;
use std::sync::atomic::{AtomicU32, Ordering};

/// The size of the body of a request that is unsafe to repeat.
const BODY_BYTES: usize = 32;

/// The number of loads that this process has started.
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// Generates request ids. They are unique among all loads of a process, also among those with the same seed.
pub(super) struct RequestIds {
    seed: u64,
    run: u32,
}

impl RequestIds {
    pub fn new(seed: u64) -> Self {
        RequestIds {
            seed,
            run: RUN_COUNT.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Returns the id of the request with this number within the load.
    pub fn id(&self, number: u64) -> String {
        format!("{:016x}{:08x}{number:016x}", self.seed, self.run)
    }
}

/// The serialized request to a target without its id. The requests to a target differ only in their ids.
pub(super) struct RequestTemplate {
    prefix: String,
    suffix: String,
}

impl RequestTemplate {
    pub fn new(target: &LoadTarget) -> Self {
        let method = if target.is_unsafe { "POST" } else { "GET" };
        let host = target.address;
        let class = &target.class;
        let deadline = target.deadline.as_secs_f64();
        RequestTemplate {
            prefix: format!("{method} /api HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: "),
            suffix: format!(
                "\r\nX-Class: {class}\r\nX-Deadline: {deadline:.6}\r\n{}",
                head_end_and_body(target)
            ),
        }
    }

    /// Returns the serialized request with this id.
    pub fn render(&self, id: &str) -> Vec<u8> {
        [&self.prefix, id, &self.suffix].concat().into_bytes()
    }
}

/// Returns the last lines of the head, and the body.
fn head_end_and_body(target: &LoadTarget) -> String {
    if target.is_unsafe {
        format!(
            "Content-Length: {BODY_BYTES}\r\n\r\n{}",
            "x".repeat(BODY_BYTES)
        )
    } else {
        "\r\n".into()
    }
}
