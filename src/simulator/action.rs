//! Actions of an instance as lines of a reply.

use super::instance::InstanceNumber;
use crate::policy::Action;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use std::fmt::{self, Write as _};

/// Stands for no data, and for all peers.
const NO_DATA: &str = "-";
const ALL_PEERS: i64 = -1;

/// Adds one action of an instance to a reply.
pub fn format_action(reply: &mut String, instance: InstanceNumber, action: &Action) {
    let written = write_action(reply, instance, action);
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
    reply.push('\n');
}

fn write_action(
    reply: &mut String,
    InstanceNumber(n): InstanceNumber,
    action: &Action,
) -> fmt::Result {
    match action {
        Action::Send {
            request,
            endpoint,
            timeout,
        } => {
            write!(
                reply,
                "send sidecarId=sidecar/{n} xid={} endpoint={}",
                request.0, endpoint.0
            )?;
            match timeout {
                Some(timeout) => write!(reply, " capNs={}", timeout.as_nanos()),
                None => Ok(()),
            }
        }
        Action::Cancel { request, attempt } => {
            write!(
                reply,
                "abandon sidecarId=sidecar/{n} xid={} attempt={attempt}",
                request.0
            )
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            write!(reply, "decline sidecarId=sidecar/{n} xid={}", request.0)?;
            match retry_after {
                Some(pause) => write!(reply, " pauseNs={}", pause.as_nanos()),
                None => Ok(()),
            }
        }
        Action::Fail { request } => write!(
            reply,
            "report_failure sidecarId=sidecar/{n} xid={}",
            request.0
        ),
        Action::SetTimer { at, token } => {
            write!(
                reply,
                "notify_me sidecarId=sidecar/{n} instantNs={} name={token}",
                at.as_nanos()
            )
        }
        Action::Subscribe => write!(reply, "track sidecarId=sidecar/{n} active=1"),
        Action::Unsubscribe => write!(reply, "track sidecarId=sidecar/{n} active=0"),
        Action::FetchList => write!(reply, "fetch sidecarId=sidecar/{n}"),
        Action::HealthCheck { endpoint } => {
            write!(reply, "poll sidecarId=sidecar/{n} endpoint={}", endpoint.0)
        }
        Action::CloseIdleConnections { endpoint } => {
            write!(
                reply,
                "free_links sidecarId=sidecar/{n} endpoint={}",
                endpoint.0
            )
        }
        Action::SendPeerMessage { to, data } => {
            let to = to.map_or(ALL_PEERS, |peer| i64::from(peer.0));
            let data = if data.is_empty() {
                NO_DATA.to_owned()
            } else {
                BASE64.encode(data)
            };
            write!(
                reply,
                "notify sidecarId=sidecar/{n} neighbourId={to} data={data}"
            )
        }
        Action::Log(text) => write!(
            reply,
            "trace sidecarId=sidecar/{n} noteText={}",
            one_line(text)
        ),
    }
}

/// Adds the report of a fault in the decision code.
pub(super) fn format_internal_error(
    reply: &mut String,
    InstanceNumber(n): InstanceNumber,
    text: &str,
) {
    let written = writeln!(
        reply,
        "internal_error sidecarId=sidecar/{n} noteText={}",
        one_line(text)
    );
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
