//! Tests for how long the ids of executed requests are kept.

use super::*;

fn id(number: usize) -> RequestId {
    RequestId(format!("r{number}").as_str().into())
}

#[test]
fn id_is_kept_for_its_retention() {
    let executed = ExecutedRequests::default();
    let start = Instant::now();
    executed.insert(&id(1), start);
    let last = start + RETENTION - Duration::from_millis(1);
    assert!(executed.contains(&id(1), last));
    assert!(!executed.contains(&id(2), last));
    assert!(!executed.contains(&id(1), start + RETENTION));
}

/// Guards against memory that grows with every request.
#[test]
fn number_of_ids_is_bounded_and_the_oldest_are_dropped() {
    let executed = ExecutedRequests::default();
    let start = Instant::now();
    for number in 0..3 * MAX_IDS {
        executed.insert(&id(number), start);
    }
    let recent = executed.recent.borrow();
    assert_eq!(
        (recent.hashes.len(), recent.by_age.len()),
        (MAX_IDS, MAX_IDS)
    );
    drop(recent);
    assert!(!executed.contains(&id(0), start));
    assert!(executed.contains(&id(3 * MAX_IDS - 1), start));
}
