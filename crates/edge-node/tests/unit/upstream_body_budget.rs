//! The memory budget of large bodies.

use super::*;

#[test]
fn small_bodies_need_no_budget() {
    let budget = BodyBudget::new(0);
    for declared in [0, 1, MAX_SMALL_BODY_BYTES as u64] {
        let reservation = budget.reserve(declared).expect("it is small");
        assert_eq!(reservation.max_bytes(), MAX_SMALL_BODY_BYTES);
    }
}

#[test]
fn a_large_body_is_accepted_while_the_budget_allows_it() {
    let size = MAX_SMALL_BODY_BYTES + 1;
    let declared = size as u64;
    let budget = BodyBudget::new(2 * size);
    let first = budget.reserve(declared).expect("the budget is whole");
    assert_eq!(first.max_bytes(), size);
    let _second = budget
        .reserve(declared)
        .expect("half of the budget is left");
    assert_eq!(
        budget.reserve(declared).err(),
        Some(BodyBudgetError::Exhausted { declared })
    );
    drop(first);
    assert!(
        budget.reserve(declared).is_ok(),
        "the reservation was returned"
    );
}

#[test]
fn a_body_above_the_limit_is_never_accepted() {
    let budget = BodyBudget::new(usize::MAX / 2);
    assert!(budget.reserve(MAX_LARGE_BODY_BYTES as u64).is_ok());
    for declared in [MAX_LARGE_BODY_BYTES as u64 + 1, u64::MAX] {
        assert_eq!(
            budget.reserve(declared).err(),
            Some(BodyBudgetError::TooLarge { declared })
        );
    }
}
