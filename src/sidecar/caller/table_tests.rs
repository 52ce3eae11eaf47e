//! Tests of the table of callers' connections, with tokio's clock paused.

use super::super::connection_state::ResponseKind;
use super::*;
use tokio::time::advance;

/// Adds a connection for which there are descriptors.
fn add(table: &mut CallerTable) -> AddedCaller {
    table.add(Admission::Accepted)
}

/// Simulates a request up to the call of the service.
fn begin_request(caller: &AddedCaller) {
    caller.state.bytes_received(10);
    caller.state.head_completed();
    caller.state.head_forwarded();
    caller.state.request_started();
}

/// Simulates a request up to its complete response.
fn complete_request(caller: &AddedCaller) {
    begin_request(caller);
    caller.state.response_ready(ResponseKind::Complete);
}

/// Evicts connections until none can be evicted. Returns their positions in `callers` in the order of eviction.
fn eviction_order(table: &mut CallerTable, callers: &[AddedCaller]) -> Vec<usize> {
    let mut order = Vec::new();
    while table.evict_one(EvictionGain::Descriptor) {
        let is_new = |position: &usize| {
            callers[*position].state.is_closing_idle() && !order.contains(position)
        };
        let evicted = (0..callers.len()).find(is_new);
        order.push(evicted.expect("each eviction closes one more connection"));
    }
    order
}

#[tokio::test(start_paused = true)]
async fn idle_connections_are_evicted_before_possibly_active_ones() {
    let mut table = CallerTable::default();
    let possibly_active = 0;
    let (never_used, long_idle, recently_idle, stalled_head) = (1, 2, 3, 4);
    let callers: Vec<AddedCaller> = (0..5).map(|_| add(&mut table)).collect();
    complete_request(&callers[long_idle]);
    callers[stalled_head].state.bytes_received(1);
    advance(IDLE_GRACE).await;
    complete_request(&callers[recently_idle]);
    callers[possibly_active].state.bytes_received(1);
    let order = eviction_order(&mut table, &callers);
    assert_eq!(
        order,
        [
            never_used,
            long_idle,
            stalled_head,
            recently_idle,
            possibly_active
        ]
    );
}

#[tokio::test(start_paused = true)]
async fn longest_inactive_connection_of_a_rank_is_evicted_first() {
    let mut table = CallerTable::default();
    let callers: Vec<AddedCaller> = (0..3).map(|_| add(&mut table)).collect();
    for position in [1, 2, 0] {
        complete_request(&callers[position]);
        advance(Duration::from_millis(1)).await;
    }
    assert_eq!(eviction_order(&mut table, &callers), [1, 2, 0]);
}

#[tokio::test(start_paused = true)]
async fn connections_with_an_unfinished_response_are_not_evicted() {
    let mut table = CallerTable::default();
    let (answering, streaming) = (add(&mut table), add(&mut table));
    begin_request(&answering);
    begin_request(&streaming);
    streaming.state.response_ready(ResponseKind::Streamed);
    advance(IDLE_GRACE).await;
    assert!(!table.evict_one(EvictionGain::Descriptor));
    assert!(!answering.state.is_closing_idle());
    assert!(!streaming.state.is_closing_idle());
}

#[tokio::test(start_paused = true)]
async fn early_rejection_drain_and_shutdown_close_new_connections() {
    let mut table = CallerTable::default();
    let persistence = |table: &mut CallerTable, admission| table.add(admission).persistence;
    assert_eq!(
        persistence(&mut table, Admission::Accepted),
        Persistence::KeepAlive
    );
    assert_eq!(
        persistence(
            &mut table,
            Admission::RejectedEarly(EarlyRejection::Descriptors)
        ),
        Persistence::Close
    );
    table.set_drain_state(Some(DrainState::ClosingAfterResponses));
    assert_eq!(
        persistence(&mut table, Admission::Accepted),
        Persistence::KeepAlive
    );
    table.set_drain_state(Some(DrainState::ClosingIdle));
    assert_eq!(
        persistence(&mut table, Admission::Accepted),
        Persistence::Close
    );
    table.set_drain_state(None);
    table.begin_shutdown();
    assert_eq!(
        persistence(&mut table, Admission::Accepted),
        Persistence::Close
    );
}

/// Guards the answer of a rejected request while memory is short: a connection in a lingering close has no memory to free,
/// and an eviction would reset it before its client has read the answer.
#[tokio::test(start_paused = true)]
async fn lingering_connection_is_evicted_for_its_descriptor_only() {
    let mut table = CallerTable::default();
    let lingering = table.add(Admission::Accepted);
    lingering.state.mark_lingering();
    assert!(!table.evict_one(EvictionGain::Memory));
    assert!(table.evict_one(EvictionGain::Descriptor));
}

/// Guards a new caller's request that is arriving while memory is short: it is answered, not closed unread.
#[tokio::test(start_paused = true)]
async fn connection_in_use_is_not_evicted_for_its_memory() {
    let mut table = CallerTable::default();
    let (recent, arriving) = (add(&mut table), add(&mut table));
    complete_request(&recent);
    arriving.state.bytes_received(10);
    assert!(!table.evict_one(EvictionGain::Memory));
    advance(IDLE_GRACE).await;
    arriving.state.bytes_received(10);
    assert!(table.evict_one(EvictionGain::Memory));
    assert!(recent.state.is_closing_idle() && !arriving.state.is_closing_idle());
}
