//! Tests the memory budget of large bodies.

use super::*;

#[test]
fn accepts_small_body_without_budget() {
    let budget = BodyBudget::new(0);
    for declared in [0, 1, MAX_SMALL_BODY_BYTES as u64] {
        let reservation = budget.reserve(declared).expect("a small body was rejected");
        assert_eq!(reservation.max_bytes(), MAX_SMALL_BODY_BYTES);
    }
}

#[test]
fn accepts_large_body_while_budget_allows() {
    let size = MAX_SMALL_BODY_BYTES + 1;
    let declared = size as u64;
    let budget = BodyBudget::new(2 * size);
    let first = budget
        .reserve(declared)
        .expect("rejected although the whole budget is available");
    assert_eq!(first.max_bytes(), size);
    let _second = budget
        .reserve(declared)
        .expect("rejected although half of the budget is available");
    assert_eq!(
        budget.reserve(declared).err(),
        Some(BodyBudgetError::Exhausted { declared })
    );
    drop(first);
    assert!(
        budget.reserve(declared).is_ok(),
        "dropping the reservation returns it to the budget"
    );
}

#[test]
fn rejects_body_above_maximum_size() {
    let budget = BodyBudget::new(usize::MAX / 2);
    assert!(budget.reserve(MAX_LARGE_BODY_BYTES as u64).is_ok());
    for declared in [MAX_LARGE_BODY_BYTES as u64 + 1, u64::MAX] {
        assert_eq!(
            budget.reserve(declared).err(),
            Some(BodyBudgetError::TooLarge { declared })
        );
    }
}
