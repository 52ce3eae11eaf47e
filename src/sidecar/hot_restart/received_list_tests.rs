//! Tests of lists that another process sends in parts.

use super::*;

fn part(version: u64, names: &[&str], total: usize) -> ServingEndpoints {
    ServingEndpoints {
        discovery: ([127, 0, 0, 1], 1).into(),
        version,
        serving: names.iter().map(|name| ((*name).to_owned(), 0)).collect(),
        total,
    }
}

/// Guards serving endpoints against a lost part, without which they would count as gone.
#[test]
fn list_is_known_once_all_its_parts_have_come() {
    let mut received = ReceivedList::default();
    assert_eq!(received.add(&mut part(1, &["a"], 2)), None);
    // The other part of version 1 is lost, and version 2 begins.
    assert_eq!(received.add(&mut part(2, &["a"], 3)), None);
    assert_eq!(received.add(&mut part(2, &["b"], 3)), None);
    let all = received.add(&mut part(2, &["c"], 3)).expect("all parts");
    assert_eq!(all.len(), 3);
}
