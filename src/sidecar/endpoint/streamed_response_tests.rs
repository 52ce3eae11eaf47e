//! Tests of the time for which an endpoint may pause within a streamed response.

use super::*;

const SECOND: Duration = Duration::from_secs(1);
/// The time after its deadline by which a client is owed its final answer.
const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(500);

fn start(length: Option<u64>, due: Instant) -> ResponseStart {
    ResponseStart {
        request: RequestId::from("r"),
        buffered: Bytes::new(),
        length,
        due,
    }
}

/// Guards the final answer of a request whose endpoint begins a response of undeclared length and never ends it.
#[test]
fn response_that_may_be_short_breaks_off_soon_after_the_deadline() {
    let now = Instant::now();
    let response = start(None, now + SECOND);
    let end = response.end_of_pause(0, now);
    assert!(end > response.due && end < response.due + FINAL_ANSWER_GRACE);
    let after_deadline = response.due + SECOND;
    assert_eq!(
        response.end_of_pause(0, after_deadline),
        after_deadline + MIN_PAUSE,
        "an endpoint that still sends is not cut off"
    );
}

/// Guards a long response against being cut off at the client's deadline while its endpoint pauses (issue 48).
#[test]
fn long_response_may_pause_past_the_deadline() {
    let now = Instant::now();
    let long = MAX_BUFFERED_BODY as u64 + 1;
    for (length, forwarded) in [(Some(long), 0), (None, long)] {
        let response = start(length, now);
        assert_eq!(response.end_of_pause(forwarded, now), now + MAX_PAUSE);
    }
}
