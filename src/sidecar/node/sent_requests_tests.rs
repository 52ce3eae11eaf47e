//! Tests of the memory of requests that must not be sent again.

use super::*;

const START: Timestamp = Timestamp::from_nanos(1);

fn request(number: usize) -> RequestId {
    format!("r{number}").as_str().into()
}

#[test]
fn request_is_remembered_from_its_last_attempt() {
    let mut sent = SentRequests::default();
    sent.insert(START, &request(1));
    sent.insert(START + LIFETIME / 2, &request(1));
    assert!(sent.contains(START + LIFETIME, &request(1)));
    assert_eq!(sent.iter().count(), 1);
    assert!(!sent.contains(START + LIFETIME / 2 + LIFETIME, &request(1)));
}

#[test]
fn request_that_has_not_run_is_forgotten() {
    let mut sent = SentRequests::default();
    sent.insert(START, &request(1));
    sent.remove(&request(1));
    assert!(!sent.contains(START, &request(1)));
}

/// Guards the memory of a sidecar that is sent ever new ids.
#[test]
fn number_of_remembered_requests_is_bounded() {
    let mut sent = SentRequests::default();
    for number in 0..3 * MAX_REQUESTS {
        sent.insert(START, &request(number));
        assert!(sent.order.len() <= MAX_REQUESTS && sent.sent_at.len() <= MAX_REQUESTS);
    }
    assert!(sent.contains(START, &request(3 * MAX_REQUESTS - 1)));
    assert!(!sent.contains(START, &request(0)));
}
