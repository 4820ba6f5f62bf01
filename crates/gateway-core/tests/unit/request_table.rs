//! The table of open requests and its queue.

use super::*;

#[test]
fn queue_keeps_order_and_drops_removed_requests() {
    let id = |name: &str| RequestId(name.into());
    let mut table = RequestTable::default();
    for name in ["b", "a", "c"] {
        table.insert(id(name), Request::default());
        table.enqueue(id(name));
    }
    assert!(table.remove(&id("a")).is_some());
    assert!(table.remove(&id("a")).is_none());
    assert!(table.queued().map(|(id, _)| id).eq([&id("b"), &id("c")]));
    table.remove(&id("b"));
    table.remove(&id("c"));
    assert!(table.is_queue_empty());
}
