//! Tests the count of client connections.

use super::*;

#[test]
fn client_connection_is_counted_until_guard_is_dropped() {
    let connections = Rc::new(Cell::new(0));
    let first = ClientConnectionGuard::new(&connections);
    let second = ClientConnectionGuard::new(&connections);
    assert_eq!(connections.get(), 2);
    drop(first);
    assert_eq!(connections.get(), 1);
    drop(second);
    assert_eq!(connections.get(), 0);
}
