//! Tests which of several servers with one address is displaced.

use super::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);
const C: ServerId = ServerId(3);

fn claim(server: ServerId, port: u16, started_at_ms: u64) -> (ServerId, ServerInstance) {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let instance = ServerInstance {
        address,
        started_at_ms,
    };
    (server, instance)
}

fn displaced(
    listed: &[(ServerId, ServerInstance)],
    known: &[(ServerId, ServerInstance)],
) -> Vec<ServerId> {
    displaced_servers(listed, known.iter().copied())
}

#[test]
fn server_is_displaced_by_a_later_process_at_its_address() {
    let known = [claim(A, 80, 5), claim(C, 81, 5)];
    assert_eq!(displaced(&[claim(B, 80, 9)], &known), [A]);
    assert_eq!(displaced(&[claim(B, 80, 5)], &known), [A], "same time");
    assert_eq!(displaced(&[claim(B, 80, 4)], &known), [B], "an earlier one");
    assert_eq!(displaced(&[claim(B, 82, 9)], &known), []);
}

#[test]
fn servers_of_one_list_are_displaced_only_by_start_time() {
    let same = [claim(A, 80, 0), claim(B, 80, 0)];
    assert_eq!(displaced(&same, &[]), []);
    let other = [claim(A, 80, 3), claim(B, 80, 7), claim(C, 80, 5)];
    assert_eq!(displaced(&other, &[]), [A, C]);
}
