//! Waiting for a state that another thread or process reaches.

use std::thread;
use std::time::{Duration, Instant};

/// The interval at which the state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits until a condition holds.
///
/// # Panics
/// Panics if the condition does not hold before the timeout.
pub fn wait_until(state: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < timeout, "not reached: {state}");
        thread::sleep(POLL_INTERVAL);
    }
}
