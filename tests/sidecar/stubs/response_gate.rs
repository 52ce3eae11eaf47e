//! A gate at which responses of an endpoint stub wait until the test releases them.

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

/// The test's side, which releases responses.
pub struct GateOpener(Sender<()>);

/// The endpoint's side, where responses wait.
pub struct ResponseGate(Mutex<Receiver<()>>);

/// Creates a closed gate.
pub fn response_gate() -> (GateOpener, ResponseGate) {
    let (opener, gate) = channel();
    (GateOpener(opener), ResponseGate(Mutex::new(gate)))
}

impl GateOpener {
    /// Releases one response: one that waits, or else the next one.
    pub fn release_one(&self) {
        self.0.send(()).expect("the endpoint waits");
    }
}

impl ResponseGate {
    /// Blocks until the test releases a response or drops the opener.
    pub fn wait(&self) {
        let _ = self.0.lock().expect("the lock is not poisoned").recv();
    }
}
