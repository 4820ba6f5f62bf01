//! Tests of messages between gateways.

use crate::common::{MICROSECOND, SECOND};
use fleet_lab::world::datagrams::{
    Datagrams, MessageCounts, NetworkConditions, Partition, Partitions,
};
use fleet_lab::world::{random_stream, TimeSpan, START};
use gateway_core::{GatewayId, ZoneId};

#[test]
fn accepts_messages_up_to_rate_and_blocks_them_across_partition() {
    let conditions = NetworkConditions {
        delay: 10 * MICROSECOND..20 * MICROSECOND,
        loss: 0.5,
        temporary_loss: None,
        accepted_per_second: 5.0,
    };
    let mut datagrams = Datagrams::new(random_stream(1, 3), START, conditions, 2);
    let accepted = (0..20)
        .filter(|_| datagrams.accept(START, GatewayId(1), 100))
        .count();
    assert_eq!((accepted, datagrams.traffic.dropped), (5, 15));
    assert_eq!(
        datagrams.traffic.received[1],
        MessageCounts {
            messages: 20,
            bytes: 2_000
        }
    );
    assert!(
        datagrams.accept(START + SECOND, GatewayId(1), 100)
            && datagrams.accept(START, GatewayId(0), 1)
    );
    let delivered = (0..1_000)
        .filter(|_| datagrams.send(START, false).is_some())
        .count();
    assert!((400..600).contains(&delivered), "{delivered}");
    assert!((0..100).all(|_| datagrams.send(START, true).is_none()));
    let span = TimeSpan {
        start: START,
        end: START + SECOND,
    };
    let partitions = Partitions(vec![Partition {
        zone: ZoneId(1),
        span,
    }]);
    let is_partitioned = |one, other, at| partitions.is_partitioned(at, ZoneId(one), ZoneId(other));
    assert!(
        is_partitioned(1, 0, START)
            && is_partitioned(2, 1, START)
            && !is_partitioned(1, 1, START)
            && !is_partitioned(0, 2, START)
    );
    assert!(
        !is_partitioned(1, 0, START + SECOND)
            && partitions.isolated_until(START, ZoneId(1)) == Some(START + SECOND)
    );
}
