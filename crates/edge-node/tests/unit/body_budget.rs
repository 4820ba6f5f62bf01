//! Tests the memory budget of bodies.

use super::*;

const SMALL: usize = MAX_SMALL_BODY_BYTES;
const LARGE: usize = MAX_SMALL_BODY_BYTES + 1;

fn is_exhausted<T>(result: &Result<T, BodyError>) -> bool {
    matches!(result, Err(BodyError::Exhausted(_)))
}

/// Guards against small bodies that do not count: hundreds of them took the process over its memory
/// limit.
#[test]
fn small_body_counts_with_what_has_arrived() {
    let budget = BodyBudget::new(SMALL);
    let mut first = budget
        .admit(SMALL as u64)
        .expect("a small body is admitted");
    let mut second = budget
        .admit(SMALL as u64)
        .expect("a small body is admitted");
    assert_eq!(budget.reserved_bytes(), 0, "nothing has arrived");
    first.grow_to(SMALL - 10).expect("the budget allows it");
    second.grow_to(10).expect("the budget allows it");
    assert!(is_exhausted(&second.grow_to(11)));
    assert_eq!(budget.reserved_bytes(), SMALL);
    first.shrink_to(SMALL - 11);
    second.grow_to(11).expect("the budget allows it again");
    drop(first);
    drop(second);
    assert_eq!(budget.reserved_bytes(), 0);
}

#[test]
fn body_without_declared_length_may_be_small() {
    let budget = BodyBudget::new(0);
    for declared in [0, 1, SMALL as u64] {
        let reservation = budget.admit(declared).expect("a small body is admitted");
        assert_eq!(reservation.max_body_bytes(), SMALL);
    }
}

#[test]
fn accepts_large_body_while_budget_allows() {
    let declared = LARGE as u64;
    let budget = BodyBudget::new(2 * LARGE * LARGE_BODY_DIVISOR);
    let first = budget
        .admit(declared)
        .expect("rejected although the whole budget is available");
    assert_eq!(first.max_body_bytes(), LARGE);
    assert_eq!(budget.reserved_bytes(), LARGE, "reserved at once");
    let _second = budget
        .admit(declared)
        .expect("rejected although half of the budget for large bodies is available");
    assert!(is_exhausted(&budget.admit(declared)));
    drop(first);
    assert!(
        budget.admit(declared).is_ok(),
        "dropping the reservation returns it to the budget"
    );
}

/// Guards against a few large bodies that shut out the bodies of the protocol's lengths.
#[test]
fn large_bodies_leave_half_of_budget_to_small_bodies() {
    let budget = BodyBudget::new(2 * LARGE);
    let _large = budget.admit(LARGE as u64).expect("half is available");
    assert!(is_exhausted(&budget.admit(LARGE as u64)));
    let mut small = budget
        .admit(SMALL as u64)
        .expect("a small body is admitted");
    assert!(small.grow_to(SMALL).is_ok());
}

#[test]
fn rejects_body_above_maximum_size() {
    let budget = BodyBudget::new(usize::MAX / 2);
    assert!(budget.admit(MAX_LARGE_BODY_BYTES as u64).is_ok());
    for declared in [MAX_LARGE_BODY_BYTES as u64 + 1, u64::MAX] {
        assert!(matches!(
            budget.admit(declared),
            Err(BodyError::TooLarge {
                max_bytes: MAX_LARGE_BODY_BYTES
            })
        ));
    }
}
