//! Parses callers' request heads into the balancer's requests.

use super::request_error::RequestError;
use crate::clock::MAX_TIME_AHEAD;
use crate::policy::{ClassId, Idempotency, Key, Request, RequestId, Settings, TenantId, Timestamp};
use crate::sidecar::endpoint::DEADLINE_HEADER;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use std::time::Duration;

/// The maximum length of a request id or key in bytes.
const MAX_ID_LENGTH: usize = 256;
const REQUEST_ID_HEADER: &str = "x-request-id";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The start of the cookie that holds the key of a request: its name and the equals sign.
const KEY_COOKIE: &str = "sid=";

/// Parses a request's head. The result identifies its class by the position in `settings`.
///
/// # Errors
/// The head is invalid under `settings`.
pub fn parse_request(
    method: &Method,
    headers: &HeaderMap,
    settings: &Settings,
    now: Timestamp,
) -> Result<Request, RequestError> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = parse_id(headers)?;
    let name = text("x-class").ok_or(bad_request("X-Class is missing"))?;
    let class = settings.classes.iter().position(|class| class.name == name);
    let class = class.ok_or(bad_request("X-Class is not known"))?;
    let idempotency = settings.classes[class].idempotency;
    check_method(method, idempotency)?;
    if matches!(idempotency, Idempotency::Keyed { .. })
        && !headers.contains_key(IDEMPOTENCY_KEY_HEADER)
    {
        return Err(bad_request("Idempotency-Key is missing"));
    }
    let tenant = parse_tenant(text("x-tenant"), settings)?;
    // The deadline of the class limits how long a client may wait for all attempts together.
    let time_left =
        parse_time_left(text(DEADLINE_HEADER.as_str()))?.min(settings.classes[class].deadline);
    let hint = text("x-cost-hint").and_then(|value| value.trim().parse().ok());
    Ok(Request {
        id,
        class: ClassId(class),
        tenant,
        key: headers.get_all(header::COOKIE).iter().find_map(parse_key),
        deadline: now + time_left,
        cost_hint: hint.filter(|micros| *micros > 0).map(Duration::from_micros),
        client_retry: text("x-retry") == Some("1"),
        write: idempotency != Idempotency::Idempotent,
    })
}

fn bad_request(text: &'static str) -> RequestError {
    RequestError::new(StatusCode::BAD_REQUEST, text)
}

/// Parses the request id. Limits the lengths of ids and idempotency keys, because both are stored and forwarded.
fn parse_id(headers: &HeaderMap) -> Result<RequestId, RequestError> {
    let id = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|id| !id.is_empty());
    let id = id.ok_or(bad_request("X-Request-Id is missing"))?;
    let stored =
        [REQUEST_ID_HEADER, IDEMPOTENCY_KEY_HEADER].map(|name| headers.get_all(name).iter());
    if stored
        .into_iter()
        .flatten()
        .any(|value| value.len() > MAX_ID_LENGTH)
    {
        return Err(bad_request(
            "X-Request-Id or Idempotency-Key is over 256 bytes",
        ));
    }
    if headers.get_all(REQUEST_ID_HEADER).iter().count() > 1 {
        return Err(bad_request("X-Request-Id is there twice"));
    }
    Ok(RequestId::from(id))
}

fn check_method(method: &Method, idempotency: Idempotency) -> Result<(), RequestError> {
    let allowed = if idempotency == Idempotency::Idempotent {
        "GET"
    } else {
        "POST"
    };
    if method.as_str() == allowed {
        Ok(())
    } else {
        Err(RequestError::method_not_allowed(allowed))
    }
}

fn parse_tenant(name: Option<&str>, settings: &Settings) -> Result<Option<TenantId>, RequestError> {
    if settings.tenants.is_empty() {
        return Ok(None);
    }
    let position = name.and_then(|name| {
        settings
            .tenants
            .iter()
            .position(|tenant| tenant.name == name)
    });
    let position = position.ok_or(bad_request("X-Tenant is not known"))?;
    Ok(Some(TenantId(position)))
}

fn parse_time_left(text: Option<&str>) -> Result<Duration, RequestError> {
    let seconds = text
        .and_then(|text| text.trim().parse().ok())
        .filter(|seconds: &f64| seconds.is_finite());
    let time = seconds.and_then(|seconds| {
        Duration::try_from_secs_f64(seconds.min(MAX_TIME_AHEAD.as_secs_f64())).ok()
    });
    time.ok_or(bad_request("X-Deadline is not a number of seconds"))
}

/// Returns the key from the cookie [`KEY_COOKIE`], or `None` if there is none or it is invalid.
fn parse_key(cookies: &HeaderValue) -> Option<Key> {
    let mut cookies = cookies.to_str().ok()?.split(';');
    let key = cookies.find_map(|cookie| cookie.trim().strip_prefix(KEY_COOKIE));
    key.filter(|key| !key.is_empty() && key.len() <= MAX_ID_LENGTH)
        .map(Key::from)
}
