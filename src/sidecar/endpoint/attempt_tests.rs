//! Tests of the time that an attempt leaves a response's body.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Guards an answer that begins shortly before its attempt times out: the endpoint is not cut off while it sends.
#[test]
fn body_has_time_after_a_late_head() {
    let now = Instant::now();
    let deadline = now + MIN_BODY_TIME / 3;
    let extension = body_extension(deadline, now + SECOND, now);
    assert_eq!(deadline + extension, now + MIN_BODY_TIME);
}

/// Guards the client's deadline, and the timeout of attempts whose head came early.
#[test]
fn body_is_not_awaited_past_the_request_or_without_need() {
    let now = Instant::now();
    let deadline = now + MIN_BODY_TIME / 3;
    assert_eq!(body_extension(deadline, deadline, now), Duration::ZERO);
    assert_eq!(
        body_extension(now + SECOND, now + 2 * SECOND, now),
        Duration::ZERO
    );
}
