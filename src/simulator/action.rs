//! Formats the actions of an instance as lines of a reply.

use super::instance::InstanceNumber;
use crate::policy::Action;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use std::fmt::{self, Write as _};

/// The value of the field `data` for a peer message without data.
const NO_DATA: &str = "-";
/// The value of the field `neighbourId` in a message to all peers.
const ALL_PEERS: i64 = -1;

/// Appends the line of an action to a reply.
pub fn format_action(reply: &mut String, instance: InstanceNumber, action: &Action) {
    let written = write_action(reply, instance, action);
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
    reply.push('\n');
}

fn write_action(
    reply: &mut String,
    InstanceNumber(instance): InstanceNumber,
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
                "send sidecarId=sidecar/{instance} xid={} endpoint={}",
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
                "abandon sidecarId=sidecar/{instance} xid={} attempt={attempt}",
                request.0
            )
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            write!(
                reply,
                "decline sidecarId=sidecar/{instance} xid={}",
                request.0
            )?;
            match retry_after {
                Some(retry_after) => write!(reply, " pauseNs={}", retry_after.as_nanos()),
                None => Ok(()),
            }
        }
        Action::Fail { request } => write!(
            reply,
            "report_failure sidecarId=sidecar/{instance} xid={}",
            request.0
        ),
        Action::SetTimer { at, token } => {
            write!(
                reply,
                "notify_me sidecarId=sidecar/{instance} instantNs={} name={token}",
                at.as_nanos()
            )
        }
        Action::Subscribe => write!(reply, "track sidecarId=sidecar/{instance} active=1"),
        Action::Unsubscribe => write!(reply, "track sidecarId=sidecar/{instance} active=0"),
        Action::FetchList => write!(reply, "fetch sidecarId=sidecar/{instance}"),
        Action::HealthCheck { endpoint } => {
            write!(
                reply,
                "poll sidecarId=sidecar/{instance} endpoint={}",
                endpoint.0
            )
        }
        Action::CloseIdleConnections { endpoint } => {
            write!(
                reply,
                "free_links sidecarId=sidecar/{instance} endpoint={}",
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
                "notify sidecarId=sidecar/{instance} neighbourId={to} data={data}"
            )
        }
        Action::Log(text) => write!(
            reply,
            "trace sidecarId=sidecar/{instance} noteText={}",
            one_line(text)
        ),
    }
}

/// Appends the line that reports a panic in a balancer.
pub(super) fn format_internal_error(
    reply: &mut String,
    InstanceNumber(instance): InstanceNumber,
    text: &str,
) {
    let written = writeln!(
        reply,
        "internal_error sidecarId=sidecar/{instance} noteText={}",
        one_line(text)
    );
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
}

/// Replaces line breaks by spaces, because a line break would end the message.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
