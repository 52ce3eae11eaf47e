//! Tests of the time at which a client may have written its last byte.

use super::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Records looks a second apart, between which `bytes` arrive while the receive buffer is full.
fn looks_while_full(start: Instant, count: u32, bytes: u64) -> ArrivalHistory {
    let mut history = ArrivalHistory::new(start, 0);
    for number in 1..=count {
        let arrived = u64::from(number) * bytes;
        history.look(start + SECOND * number, arrived, FULL_BUFFER);
    }
    history
}

/// Guards the final answer of a body that arrives for longer than the client has written it: the time counts from when the
/// client's kernel may have held the rest.
#[test]
fn client_may_have_written_what_its_kernel_holds() {
    let start = Instant::now();
    let history = looks_while_full(start, 20, CLIENT_BUFFER / 4);
    let total = 20 * CLIENT_BUFFER / 4;
    assert_eq!(history.arrived_bytes_written_at(), start + SECOND * 15);
    assert_eq!(
        history.unarrived_bytes_written_at(total + CLIENT_BUFFER / 2),
        Some(start + SECOND * 17)
    );
    assert_eq!(
        history.unarrived_bytes_written_at(total + 2 * CLIENT_BUFFER),
        None
    );
}

/// Guards slow clients: what arrives while there is room was just written.
#[test]
fn room_in_the_receive_buffer_starts_anew() {
    let start = Instant::now();
    let mut history = looks_while_full(start, 5, CLIENT_BUFFER / 4);
    history.on_all_read();
    assert_eq!(history.unarrived_bytes_written_at(2 * CLIENT_BUFFER), None);
    history.look(start + SECOND * 6, 2 * CLIENT_BUFFER, 0);
    assert_eq!(history.arrived_bytes_written_at(), start + SECOND * 6);
}

/// Guards the memory of a long upload.
#[test]
fn number_of_looks_is_bounded() {
    let history = looks_while_full(Instant::now(), 10_000, 4_000);
    assert!(history.looks.len() as u64 <= CLIENT_BUFFER / LOOK_INTERVAL + 2);
}
