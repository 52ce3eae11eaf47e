//! A gate at which responses of an endpoint stub wait for the test.

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

/// The test's side: lets waiting responses through.
pub struct GateOpener(Sender<()>);

/// The endpoint's side.
pub struct ResponseGate(Mutex<Receiver<()>>);

/// Creates a closed gate.
pub fn response_gate() -> (GateOpener, ResponseGate) {
    let (opener, gate) = channel();
    (GateOpener(opener), ResponseGate(Mutex::new(gate)))
}

impl GateOpener {
    /// Lets one response through, now or when it arrives.
    pub fn release_one(&self) {
        self.0.send(()).expect("the endpoint waits");
    }
}

impl ResponseGate {
    /// Blocks until the test lets a response through, or has dropped the opener.
    pub fn wait(&self) {
        let _ = self.0.lock().expect("the only one").recv();
    }
}
