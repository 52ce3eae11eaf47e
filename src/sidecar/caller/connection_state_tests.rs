//! Tests of the phases and deadlines of a caller's connection, with tokio's clock paused.

use super::super::phase::{HeadProgress, IncomingHead};
use super::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Wake;
use tokio::time::advance;

/// Time between the events of a test.
const STEP: Duration = Duration::from_millis(100);

/// Simulates a request head that arrives and is forwarded to hyper.
fn receive_request(state: &ConnectionState) {
    state.bytes_received(10);
    state.head_completed();
    state.head_forwarded();
}

/// Simulates a request up to the point at which its response is ready.
fn exchange(state: &ConnectionState, kind: ResponseKind) {
    receive_request(state);
    state.request_started();
    state.response_ready(kind);
}

#[tokio::test(start_paused = true)]
async fn new_connection_awaits_its_first_head() {
    let state = ConnectionState::new();
    let accepted_at = Instant::now();
    assert_eq!(
        state.phase(),
        Phase::AwaitingFirstHead { since: accepted_at }
    );
    assert_eq!(state.deadline(), Some(accepted_at + HEAD_TIMEOUT));
    assert_eq!(state.first_head_deadline(), accepted_at + HEAD_TIMEOUT);
    assert!(state.is_awaiting_first_request());
    advance(FIRST_REQUEST_GRACE).await;
    assert!(!state.is_awaiting_first_request());
}

#[tokio::test(start_paused = true)]
async fn closing_connection_waits_only_the_grace_for_its_first_request() {
    let state = ConnectionState::new();
    state.set_persistence(Persistence::Close);
    assert_eq!(state.deadline(), Some(Instant::now() + FIRST_REQUEST_GRACE));
}

#[tokio::test(start_paused = true)]
async fn head_deadline_counts_from_its_first_byte() {
    let state = ConnectionState::new();
    let accepted_at = Instant::now();
    advance(STEP).await;
    state.bytes_received(1);
    let started_at = Instant::now();
    advance(STEP).await;
    state.bytes_received(1);
    let head = IncomingHead {
        since: started_at,
        progress: HeadProgress::Receiving,
    };
    assert_eq!(
        state.phase(),
        Phase::ReceivingRequest {
            idle_since: accepted_at,
            head
        }
    );
    assert_eq!(state.deadline(), Some(started_at + HEAD_TIMEOUT));
    assert_eq!(state.last_byte_at(), started_at + STEP);
    assert!(!state.is_awaiting_response());
}

#[tokio::test(start_paused = true)]
async fn fin_without_bytes_starts_no_head() {
    let state = ConnectionState::new();
    state.bytes_received(0);
    assert!(!state.is_receiving_head());
    assert!(matches!(state.phase(), Phase::AwaitingFirstHead { .. }));
}

#[tokio::test(start_paused = true)]
async fn request_being_answered_has_no_deadline_and_keeps_its_start() {
    let state = ConnectionState::new();
    receive_request(&state);
    let started_at = Instant::now();
    assert!(state.is_awaiting_response(), "hyper has the head");
    assert_eq!(state.deadline(), Some(started_at + HEAD_TIMEOUT));
    advance(STEP).await;
    assert_eq!(state.request_started(), started_at);
    assert_eq!(state.phase(), Phase::Answering);
    assert_eq!(state.deadline(), None);
    assert!(state.is_awaiting_response());
    assert!(!state.is_receiving_head());
}

#[tokio::test(start_paused = true)]
async fn complete_response_leaves_the_connection_idle_and_wakes_the_reader() {
    struct Flag(AtomicBool);
    impl Wake for Flag {
        fn wake(self: Arc<Self>) {
            self.0.store(true, Ordering::Relaxed);
        }
    }
    let state = ConnectionState::new();
    receive_request(&state);
    state.request_started();
    let woken = Arc::new(Flag(AtomicBool::new(false)));
    state.wake_reader_when_answered(&Waker::from(woken.clone()));
    advance(STEP).await;
    state.response_ready(ResponseKind::Complete);
    let now = Instant::now();
    assert_eq!(state.phase(), Phase::Idle { since: now });
    assert_eq!(state.deadline(), Some(now + IDLE_TIMEOUT));
    assert!(woken.0.load(Ordering::Relaxed));
}

#[tokio::test(start_paused = true)]
async fn pipelined_head_starts_when_the_reader_reaches_it() {
    let state = ConnectionState::new();
    receive_request(&state);
    state.request_started();
    state.bytes_received(10);
    assert_eq!(state.phase(), Phase::Answering);
    state.response_ready(ResponseKind::Complete);
    let idle_since = Instant::now();
    advance(STEP).await;
    state.next_head_started();
    let head = IncomingHead {
        since: Instant::now(),
        progress: HeadProgress::Receiving,
    };
    assert_eq!(state.phase(), Phase::ReceivingRequest { idle_since, head });
}

#[tokio::test(start_paused = true)]
async fn head_received_during_a_stream_keeps_its_start() {
    let state = ConnectionState::new();
    exchange(&state, ResponseKind::Streamed);
    assert_eq!(state.phase(), Phase::Streaming { next: None });
    advance(STEP).await;
    state.bytes_received(10);
    let started_at = Instant::now();
    assert!(state.is_receiving_head());
    assert_eq!(state.deadline(), None, "the stream has no deadline here");
    advance(STEP).await;
    state.stream_ended();
    assert_eq!(state.deadline(), Some(started_at + HEAD_TIMEOUT));
    assert!(!state.is_awaiting_response());
}

#[tokio::test(start_paused = true)]
async fn request_forwarded_during_a_stream_awaits_its_response() {
    let state = ConnectionState::new();
    exchange(&state, ResponseKind::Streamed);
    receive_request(&state);
    let started_at = Instant::now();
    assert!(state.is_awaiting_response());
    advance(STEP).await;
    state.stream_ended();
    let head = IncomingHead {
        since: started_at,
        progress: HeadProgress::Forwarded,
    };
    let idle_since = Instant::now();
    assert_eq!(state.phase(), Phase::ReceivingRequest { idle_since, head });
    assert_eq!(state.request_started(), started_at);
}

#[tokio::test(start_paused = true)]
async fn stream_end_leaves_the_connection_idle() {
    let state = ConnectionState::new();
    exchange(&state, ResponseKind::Streamed);
    advance(STEP).await;
    state.stream_ended();
    assert_eq!(
        state.phase(),
        Phase::Idle {
            since: Instant::now()
        }
    );
}

#[tokio::test(start_paused = true)]
async fn rejected_head_has_no_deadline_and_closes_the_connection() {
    let state = ConnectionState::new();
    state.bytes_received(10);
    state.head_completed();
    state.head_rejected(HeadError::AmbiguousFraming);
    assert_eq!(state.deadline(), None);
    assert!(
        !state.is_awaiting_response(),
        "the service is not called with it"
    );
    assert_eq!(state.persistence(), Persistence::Close);
    assert_eq!(state.head_error(), Some(HeadError::AmbiguousFraming));
    state.request_started();
    state.response_ready(ResponseKind::Complete);
    assert!(matches!(state.phase(), Phase::Idle { .. }));
    assert_eq!(state.head_error(), Some(HeadError::AmbiguousFraming));
}

#[tokio::test(start_paused = true)]
async fn connection_awaits_a_first_head_after_an_incomplete_one() {
    let state = ConnectionState::new();
    let accepted_at = Instant::now();
    state.bytes_received(10);
    advance(HEAD_TIMEOUT).await;
    state.head_timed_out();
    assert_eq!(state.deadline(), None);
    state.head_rejected(HeadError::TooSlow);
    state.request_started();
    state.response_ready(ResponseKind::Complete);
    let since = Instant::now();
    assert_eq!(state.phase(), Phase::AwaitingFirstHead { since });
    assert_eq!(state.deadline(), Some(accepted_at + FIRST_REQUEST_GRACE));
}

#[tokio::test(start_paused = true)]
async fn blocked_write_sets_the_deadline_until_a_write_succeeds() {
    let state = ConnectionState::new();
    exchange(&state, ResponseKind::Streamed);
    let blocked_since = Instant::now();
    state.on_write(&Poll::Pending);
    advance(STEP).await;
    state.on_write(&Poll::Pending);
    assert!(state.is_write_blocked());
    assert_eq!(state.deadline(), Some(blocked_since + WRITE_TIMEOUT));
    state.on_write(&Poll::Ready(Ok(1)));
    assert!(!state.is_write_blocked());
    assert_eq!(state.deadline(), None);
}

#[tokio::test(start_paused = true)]
async fn closing_idle_connection_keeps_only_its_write_deadline() {
    let state = ConnectionState::new();
    exchange(&state, ResponseKind::Complete);
    state.mark_closing_idle();
    assert!(state.is_closing_idle());
    assert_eq!(state.deadline(), None);
    state.on_write(&Poll::Pending);
    assert_eq!(state.deadline(), Some(Instant::now() + WRITE_TIMEOUT));
}

/// Guards a shutdown, a drain or an eviction that asks the connection to close while an upload is read: the end of the
/// upload does not keep the connection open.
#[tokio::test(start_paused = true)]
async fn finished_upload_leaves_a_closing_connection_closing() {
    let state = ConnectionState::new();
    state.set_unread_upload(true);
    assert_eq!(state.persistence(), Persistence::Close);
    state.set_unread_upload(false);
    assert_eq!(state.persistence(), Persistence::KeepAlive);

    state.set_unread_upload(true);
    state.set_persistence(Persistence::Close);
    state.set_unread_upload(false);
    assert_eq!(state.persistence(), Persistence::Close);
}
