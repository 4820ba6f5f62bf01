//! Tests in which order connections are evicted when there are too many.

use super::*;

fn connection_state(idle_since: Option<Instant>, write_blocked: bool) -> ConnectionState {
    ConnectionState {
        idle_since: Cell::new(idle_since),
        write_blocked: Rc::new(Cell::new(write_blocked)),
        requests: Cell::new(0),
    }
}

#[test]
fn evicts_longest_idle_first_and_unwritten_response_last() {
    let start = Instant::now();
    let later = start + Duration::from_millis(1);
    let in_order = [
        connection_state(Some(start), false),
        connection_state(Some(later), false),
        connection_state(Some(start), true),
    ];
    let order = in_order.map(|state| state.eviction_order());
    assert!(order.iter().all(Option::is_some));
    assert!(order.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn connection_with_request_in_flight_is_not_evicted() {
    let state = connection_state(Some(Instant::now()), false);
    let guard = InFlightGuard::new(&state);
    assert!(state.eviction_order().is_none());
    drop(guard);
    assert!(state.eviction_order().is_some());
}

#[test]
fn record_request_returns_one_only_for_first_request() {
    let state = connection_state(None, false);
    assert_eq!(state.record_request(), 1);
    assert_eq!(state.record_request(), 2);
    assert_eq!(state.requests(), 2);
}

#[test]
fn connection_without_request_is_evicted_before_newly_idle_one() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .expect("failed to build a runtime");
    let unused = runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("failed to bind a port");
        let address = listener.local_addr().expect("the listener has no address");
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("failed to connect");
        ConnectionState::new(&ReadAheadStream::new(stream))
    });
    let just_idle = connection_state(Some(Instant::now()), false);
    assert!(unused.eviction_order() < just_idle.eviction_order());
}
