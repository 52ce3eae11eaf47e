//! Tests of the memory that a process may use.

use super::*;

/// Guards the limit on memory of two processes of an upgrade, which counts both.
#[test]
fn processes_share_the_memory() {
    let one = process_budget(192, 1, 0);
    let two = process_budget(192, 2, 0);
    assert!(2 * two < one);
    assert!(one < 192 * MEGABYTE);
}

/// Guards a process with a long endpoint list, and one that has less memory than its program takes.
#[test]
fn budget_leaves_room_for_the_list_and_is_never_empty() {
    assert!(process_budget(32, 1, 3_200) < process_budget(32, 1, 10));
    assert_eq!(process_budget(0, 1, 3_200), MIN_BUDGET);
    const { assert!(MIN_BUDGET > CALLER_CONNECTION + EXCHANGE) };
}
