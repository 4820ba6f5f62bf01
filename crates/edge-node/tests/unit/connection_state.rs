//! Which connection is closed first when there are too many.

use super::*;

fn state(idle_since: Option<Instant>, write_blocked: bool) -> ConnectionState {
    ConnectionState {
        idle_since: Cell::new(idle_since),
        write_blocked: Rc::new(Cell::new(write_blocked)),
        awaits_first_request: Cell::new(true),
    }
}

#[test]
fn the_longest_idle_is_evicted_first_and_one_with_an_unwritten_response_last() {
    let start = Instant::now();
    let later = start + Duration::from_millis(1);
    let in_order = [
        state(Some(start), false),
        state(Some(later), false),
        state(Some(start), true),
    ];
    let order = in_order.map(|state| state.eviction_order());
    assert!(order.iter().all(Option::is_some));
    assert!(order.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn a_connection_with_a_request_in_flight_is_not_evicted() {
    let state = state(Some(Instant::now()), false);
    let guard = InFlightGuard::new(&state);
    assert!(state.eviction_order().is_none());
    drop(guard);
    assert!(state.eviction_order().is_some());
}

#[test]
fn only_one_request_of_a_connection_is_its_first() {
    let state = state(None, false);
    assert!(state.take_first_request());
    assert!(!state.take_first_request());
}

#[test]
fn a_connection_without_a_request_is_evicted_before_one_that_has_just_become_idle() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .expect("a runtime");
    let unused = runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("a connection");
        ConnectionState::new(&ReadAheadStream::new(stream))
    });
    let just_idle = state(Some(Instant::now()), false);
    assert!(unused.eviction_order() < just_idle.eviction_order());
}
