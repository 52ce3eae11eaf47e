//! The log's lines of counts.

use super::node::NodeHandle;
use crate::policy::BalancerStatus;
use std::time::Duration;
use tokio::time::sleep;

/// The least time between two lines: a busy sidecar writes some ten thousand a day.
const PERIOD: Duration = Duration::from_secs(5);

/// Writes the counts of each period in which something happened, and how the module stands at its end.
pub async fn write_each_period(node: NodeHandle) {
    loop {
        sleep(PERIOD).await;
        write(&node);
    }
}

/// Writes the counts since it last did, if there are any.
pub fn write(node: &NodeHandle) {
    let (line, status, connections) = {
        let mut guard = node.borrow();
        let answered = guard.metrics.answered();
        (
            guard.counters.take(answered),
            guard.balancer_status(),
            guard.descriptors.in_use(),
        )
    };
    if line.is_empty() {
        return;
    }
    let BalancerStatus {
        pending,
        queued,
        in_flight,
        clear,
        gapping,
        discarding,
        current_states,
        unavailable,
    } = status;
    log!(
        "counts {line}; now open={pending} queued={queued} in_flight={in_flight} callers={callers} \
         connections={endpoints} clear={clear} gapping={gapping} discarding={discarding} \
         informed={current_states} avoided={unavailable}",
        callers = connections.callers,
        endpoints = connections.endpoints,
    );
}
