//! The time of the next probe of an ejected server.

use super::*;
use crate::types::Endpoint;

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Attempts that were sent before an ejection and fail after it must not postpone the probe.
#[test]
fn failure_after_ejection_does_not_postpone_probe() {
    const CLASS: ClassId = ClassId(0);
    let mut server = Server::unknown(Endpoint::default(), at(0), 1);
    server.observe_failure(CLASS, true, 1.0, 0.0);
    assert_eq!(server.class_health(CLASS).failure_rate(), 1.0);
    for probe_at in [at(100), at(200)] {
        update_ejection(&mut server, CLASS, 0.0, probe_at);
    }
    assert_eq!(server.class_health(CLASS).next_probe_at(), Some(at(100)));
}
