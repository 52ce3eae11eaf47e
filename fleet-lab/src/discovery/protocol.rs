//! The encoding of the discovery protocol: parsing of requests, and serialization of responses and chunks.

use super::entry::EndpointEntry;
use bytes::{Buf, Bytes, BytesMut};
use hyper::Uri;
use serde::Serialize;

/// The longest head of a request, in bytes. A request with a longer one is malformed.
const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;
/// The largest number of headers of a request.
const MAX_REQUEST_HEADERS: usize = 64;

/// The heartbeat of a watch: an empty line as a chunk.
pub(super) const HEARTBEAT: &[u8] = b"1\r\n\n\r\n";
/// The head of the response to a watch.
pub(super) const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The response to a call that was queued for longer than the queue timeout.
pub(super) const UNAVAILABLE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// The response to a request with an unknown path.
pub(super) const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
/// The response to a malformed request. The connection is closed after it.
pub(super) const BAD_REQUEST: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// The call that a request makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    /// A call for the full list.
    List,
    /// A call that opens a watch.
    Watch {
        /// The version that the client has, if the request names one.
        since: Option<u64>,
    },
    /// A call to an unknown path.
    NotFound,
}

/// A complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Request {
    /// The call that it makes.
    pub(super) call: Call,
    /// True if the connection is closed after the response.
    pub(super) closes_connection: bool,
}

/// A request that does not follow the protocol.
#[derive(Debug, thiserror::Error)]
pub(super) enum MalformedRequest {
    /// The request is not HTTP/1.1.
    #[error("not HTTP/1.1: {0}")]
    Http(#[from] httparse::Error),
    /// The request's head is too long, its version, method, target or query is not supported, or it has a body.
    #[error("{0}")]
    Unsupported(&'static str),
}

/// Removes the next request from the unread bytes and returns it; `None` while it is incomplete.
pub(super) fn take_request(unread: &mut BytesMut) -> Result<Option<Request>, MalformedRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_REQUEST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(unread)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if unread.len() > MAX_REQUEST_HEAD_BYTES => {
            return Err(MalformedRequest::Unsupported("the head is too long"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    let request = parse_request(&head)?;
    unread.advance(length);
    Ok(Some(request))
}

fn parse_request(head: &httparse::Request<'_, '_>) -> Result<Request, MalformedRequest> {
    if head.version != Some(1) {
        return Err(MalformedRequest::Unsupported("the HTTP version is not 1.1"));
    }
    if head.method != Some("GET") {
        return Err(MalformedRequest::Unsupported("the method is not GET"));
    }
    if has_body(head) {
        return Err(MalformedRequest::Unsupported("the request has a body"));
    }
    let target = head.path.unwrap_or_default().parse::<Uri>();
    let target =
        target.map_err(|_| MalformedRequest::Unsupported("the request target is not a URI"))?;
    let call = match target.path() {
        "/v1/endpoints" => parse_call(target.query().unwrap_or_default())?,
        _ => Call::NotFound,
    };
    let closes_connection =
        header_value(head, "connection").is_some_and(|value| value.eq_ignore_ascii_case(b"close"));
    Ok(Request {
        call,
        closes_connection,
    })
}

fn parse_call(query: &str) -> Result<Call, MalformedRequest> {
    match query_parameter(query, "follow") {
        None => Ok(Call::List),
        Some("1") => {
            let since = query_parameter(query, "since").map(str::parse).transpose();
            let since =
                since.map_err(|_| MalformedRequest::Unsupported("since is not a version"))?;
            Ok(Call::Watch { since })
        }
        Some(_) => Err(MalformedRequest::Unsupported("follow is not 1")),
    }
}

/// Returns the value of the first query parameter with this name.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut parameters = query
        .split('&')
        .filter_map(|parameter| parameter.split_once('='));
    parameters
        .find(|(parameter, _)| *parameter == name)
        .map(|(_, value)| value)
}

fn has_body(head: &httparse::Request<'_, '_>) -> bool {
    header_value(head, "transfer-encoding").is_some()
        || header_value(head, "content-length").is_some_and(|length| length != b"0")
}

/// Returns the value of the first header with this name.
fn header_value<'a>(head: &httparse::Request<'_, 'a>, name: &str) -> Option<&'a [u8]> {
    head.headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value)
}

/// Returns the head of a response whose body is a full list of this length in bytes.
pub(super) fn full_list_head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n")
}

/// A full list or a set of changes, as the protocol sends it.
#[derive(Serialize)]
struct Message<'a> {
    /// The version of the list.
    index: u64,
    /// True for a full list.
    snapshot: bool,
    endpoints: Vec<&'a EndpointEntry>,
}

/// Serializes the full list as one line.
pub(super) fn serialize_full_list<'a>(
    version: u64,
    endpoints: impl Iterator<Item = &'a EndpointEntry>,
) -> Vec<u8> {
    json_line(&Message {
        index: version,
        snapshot: true,
        endpoints: endpoints.collect(),
    })
}

/// Serializes the changes that lead to a version as one line.
pub(super) fn serialize_changes<'a>(
    version: u64,
    changed: impl Iterator<Item = &'a EndpointEntry>,
) -> Vec<u8> {
    json_line(&Message {
        index: version,
        snapshot: false,
        endpoints: changed.collect(),
    })
}

fn json_line(message: &Message<'_>) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).expect("entries can be serialized");
    line.push(b'\n');
    line
}

/// Encodes text as one chunk of a chunked response.
pub(super) fn encode_chunk(text: &[u8]) -> Bytes {
    let mut chunk = format!("{:x}\r\n", text.len()).into_bytes();
    chunk.extend_from_slice(text);
    chunk.extend_from_slice(b"\r\n");
    chunk.into()
}
