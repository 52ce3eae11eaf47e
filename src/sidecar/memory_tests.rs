//! Tests of memory budgets.

use super::*;

/// Guards the memory of answers that a client reads slowly: they stay reserved for as long as a part of them is there.
#[test]
fn attached_bytes_stay_reserved_until_their_last_part_is_dropped() {
    let budget = MemoryBudget::new(1 << 20);
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

/// Guards the whole budget against its parts, and a part against the whole one.
#[test]
fn part_reserves_from_the_whole_budget() {
    let whole = MemoryBudget::new(10);
    let part = whole.part(6);
    let reserved = part.reserve(4).expect("an empty budget");
    assert!(part.reserve(3).is_none(), "beyond the part");
    assert!(whole.reserve(7).is_none(), "beyond the whole");
    let _rest = whole.reserve(6).expect("the rest of the whole");
    assert!(part.reserve(1).is_none(), "the whole has none left");
    drop(reserved);
    assert!(part.reserve(4).is_some());
}

/// Guards a lower limit: what is reserved stays, and nothing is added until there is room again.
#[test]
fn lower_limit_keeps_reservations() {
    let budget = MemoryBudget::new(10);
    let reserved = budget.reserve(8).expect("an empty budget");
    budget.set_limit(4);
    assert_eq!(budget.reserved(), 8);
    assert!(budget.reserve(1).is_none());
    drop(reserved);
    assert!(budget.reserve(4).is_some());
}
