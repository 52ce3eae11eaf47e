//! Tests of memory budgets.

use super::*;

/// Guards the memory of answers that a client reads slowly: they stay reserved for as long as a part of them is there.
#[test]
fn attached_bytes_stay_reserved_until_their_last_part_is_dropped() {
    let budget = MemoryBudget::fraction_of(1, 1);
    let all = 1 << 20;
    let reservation = budget.reserve(all).expect("an empty budget");
    assert!(budget.reserve(1).is_none());

    let bytes = reservation.attach(Bytes::from(vec![0; all / 2]));
    assert!(
        budget.reserve(all / 2).is_some(),
        "only its length is reserved"
    );
    let part = bytes.slice(all / 4..);
    drop(bytes);
    assert!(budget.reserve(all).is_none());
    drop(part);
    assert!(budget.reserve(all).is_some());
}
