//! The context in which the requests of one caller's connection are answered.

use super::reply::{Reply, rejected};
use crate::sidecar::body::RequestDeadline;
use crate::sidecar::caller::{Admission, CallerArrival, ConnectionState};
use crate::sidecar::counters::EarlyRejection;
use crate::sidecar::node::{CallerPermit, NodeHandle};
use crate::sidecar::sockets;
use std::rc::Rc;
use tokio::net::TcpStream;

/// One caller's connection. It stays in the table of callers until this is dropped.
pub struct CallerConnection {
    /// The node, which owns the state of all requests.
    pub node: NodeHandle,
    /// The connection's number in the table.
    pub number: u64,
    /// The connection's socket.
    pub stream: Rc<TcpStream>,
    /// The connection's state.
    pub state: Rc<ConnectionState>,
    /// Tells whether the connection's requests are served or rejected.
    pub admission: Admission,
    /// The connection's share of the budgets of descriptors and memory.
    pub permit: CallerPermit,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.node.borrow().callers_mut().remove(self.number);
    }
}

impl CallerConnection {
    /// Returns the deadline of the connection's current request, whose body is streamed.
    pub fn upload_deadline(&self) -> RequestDeadline {
        let arrival = CallerArrival::new(self.stream.clone(), self.state.clone());
        let shutdown = self.node.borrow().shutdown_deadline().clone();
        RequestDeadline::new(Rc::new(arrival), shutdown)
    }

    /// Returns whether the client is known to have closed the connection before its pipelined request is submitted.
    ///
    /// If the client closed it with many bytes unread here, its FIN waits behind them, and only the response to the
    /// request before this one has made its machine reset the connection.
    pub fn has_client_left(&self) -> bool {
        self.state.is_pipelined() && sockets::has_peer_closed(&self.stream)
    }

    /// Begins a lingering close. The buffers of the connection have been freed.
    pub fn begin_lingering(&self) {
        self.state.mark_lingering();
        self.permit.return_memory();
    }

    /// Rejects a request before the balancer receives it.
    pub fn reject_early(&self, reason: EarlyRejection) -> Reply {
        rejected(self.node.borrow().reject_early(reason))
    }
}
