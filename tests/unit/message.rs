//! The layout of messages between gateways: fixed bytes that every version of this layout has to read and write.

use super::*;

#[test]
fn a_rumour_of_a_class_that_cannot_be_named_is_no_rumour_of_another() {
    let rumour =
        |class| Rumour { server: 9, class: ClassId(class), failing: 1.0, wait: 0.0, load: None, age: 0 };
    let news = News { rumours: [1, CLASSES, CLASSES + 1].map(rumour).into(), ..News::default() };
    let grant = Grant { verdict: Verdict::Granted, chance: 1.0, lease: 0.0 };
    let bytes = write(&Message::Answer(7, grant, news));
    let Some(Message::Answer(7, _, news)) = read(&bytes) else { panic!("an answer") };
    let classes: Vec<_> = news.rumours.iter().map(|rumour| rumour.class.0).collect();
    assert_eq!(classes, [1]);
}

/// The bytes that a text of hexadecimal digits stands for; blanks part the fields.
fn bytes_of(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    assert!(digits.len().is_multiple_of(2), "whole bytes");
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Version, kind, incarnation; then customer and units of each.
const COUNTS: &str = "04 00 0df0adde 0504030201 e803 ffffffffff ffff 0000000000 0000";
/// Version, kind, sequence, customer, plan, owner, first gateway, gateway count, units, requested units, the returned
/// lease's sequence and its units; then the gossip digest: throughput, latencies, health reports.
const ASK: &str = "04 01 3412 0504030201 01 02 0301 2c01 2800 4406 3012 0800 \
    38 03 08 ff 14 efbe 5f 0a 07 0a 0100 e0 00 ff 00";
/// Version, kind, sequence, decision, probability, units of the lease, the gossip digest.
const GRANTED: &str = "04 02 3412 00 ff 4401 38 03 08 ff 14 efbe 5f 0a 07 0a 0100 e0 00 ff 00";
const SHORT: &str = "04 02 ffff 01 33 0000 00 00";
/// Version, kind, sequence, customer.
const DONE: &str = "04 03 3412 0504030201";

/// Lengths of the head of a lease request and of a grant, up to and with the latencies.
const ASK_HEAD: usize = 28;
const GRANTED_HEAD: usize = 13;

fn counts() -> Vec<(CustomerId, u16)> {
    vec![(CustomerId(0x01_0203_0405), 1000), (CustomerId(0xff_ffff_ffff), u16::MAX), (CustomerId(0), 0)]
}

fn ask() -> Ask {
    Ask {
        serial: 0x1234,
        customer: CustomerId(0x01_0203_0405),
        plan: PlanId(1),
        first: GatewayId(0x0103),
        spread: 300,
        home: 2,
        units: 2.5,
        want: 100.25,
        back: (0x1230, 0.5),
    }
}

/// A gossip digest with a latency and a load that are known, and ones that are not.
fn news() -> News {
    let reported = Rumour {
        server: 0xbeef,
        class: ClassId(2),
        failing: 1.0,
        wait: 80_000.0,
        load: Some(7.0),
        age: 320_000,
    };
    let unknown_load = Rumour { server: 1, class: ClassId(7), failing: 0.0, wait: 0.0, load: None, age: 0 };
    News { served: 3.5, aims: vec![0.5, -1.0, 1.25], rumours: vec![reported, unknown_load] }
}

/// Takes each field by name, so that a new one can't be forgotten here.
fn assert_same_news(read: &News, written: &News) {
    let News { served, aims, rumours } = read;
    assert_eq!((*served, aims), (written.served, &written.aims));
    assert_eq!(rumours.len(), written.rumours.len());
    for (read, written) in rumours.iter().zip(&written.rumours) {
        let Rumour { server, class, failing, wait, load, age } = read;
        assert_eq!((*server, *class), (written.server, written.class));
        assert_eq!((*failing, *wait), (written.failing, written.wait));
        assert_eq!((*load, *age), (written.load, written.age));
    }
}

fn assert_same_ask(read: &Ask, written: &Ask) {
    let Ask { serial, customer, plan, first, spread, home, units, want, back } = read;
    assert_eq!((*serial, *customer, *plan), (written.serial, written.customer, written.plan));
    assert_eq!((*first, *spread, *home), (written.first, written.spread, written.home));
    assert_eq!((*units, *want, *back), (written.units, written.want, written.back));
}

fn assert_same_grant(read: &Grant, written: &Grant) {
    let Grant { verdict, chance, lease } = read;
    assert!(*verdict == written.verdict);
    assert_eq!((*chance, *lease), (written.chance, written.lease));
}

#[test]
fn usage_counts_have_fixed_bytes() {
    let bytes = bytes_of(COUNTS);
    assert_eq!(write(&Message::Counts(0xdead_f00d, counts())), bytes);
    let Some(Message::Counts(incarnation, read)) = read(&bytes) else { panic!("counts") };
    assert_eq!((incarnation, read), (0xdead_f00d, counts()));
}

#[test]
fn a_lease_request_has_fixed_bytes() {
    let bytes = bytes_of(ASK);
    assert_eq!(write(&Message::Ask(ask(), news())), bytes);
    let Some(Message::Ask(read_ask, read_news)) = read(&bytes) else { panic!("a lease request") };
    assert_same_ask(&read_ask, &ask());
    assert_same_news(&read_news, &news());
}

#[test]
fn a_lease_grant_has_fixed_bytes() {
    let bytes = bytes_of(GRANTED);
    let grant = Grant { verdict: Verdict::Granted, chance: 1.0, lease: 20.25 };
    assert_eq!(write(&Message::Answer(0x1234, grant, news())), bytes);
    let Some(Message::Answer(0x1234, read_grant, read_news)) = read(&bytes) else { panic!("a grant") };
    assert_same_grant(&read_grant, &grant);
    assert_same_news(&read_news, &news());
}

#[test]
fn a_refusal_of_a_lease_has_fixed_bytes() {
    let bytes = bytes_of(SHORT);
    let grant = Grant { verdict: Verdict::Short, chance: 0.2, lease: 0.0 };
    assert_eq!(write(&Message::Answer(u16::MAX, grant, News::default())), bytes);
    let Some(Message::Answer(u16::MAX, read_grant, read_news)) = read(&bytes) else { panic!("a refusal") };
    assert_same_grant(&read_grant, &grant);
    assert_same_news(&read_news, &News::default());
}

#[test]
fn a_permit_release_has_fixed_bytes() {
    let bytes = bytes_of(DONE);
    let customer = CustomerId(0x01_0203_0405);
    assert_eq!(write(&Message::Done(0x1234, customer)), bytes);
    let Some(Message::Done(sequence, read_customer)) = read(&bytes) else { panic!("a permit release") };
    assert_eq!((sequence, read_customer), (0x1234, customer));
}

/// What has no place in its field is brought to the nearest value that has; classes past the eighth are left out.
#[test]
fn values_out_of_range_have_fixed_bytes() {
    let rumour = |class: usize, failing: f64| Rumour {
        server: 9,
        class: ClassId(class),
        failing,
        wait: 1e9,
        load: Some(1e6),
        age: Micros::MAX,
    };
    let aims = vec![1e6, 0.0, -0.5, 0.03, 0.04, 1.0, 2.0, 15.9, 3.0];
    let digest = News { served: 1e6, aims, rumours: vec![rumour(8, 1.0), rumour(0, 2.0), rumour(1, 0.5)] };
    let grant = Grant { verdict: Verdict::Granted, chance: 2.0, lease: 0.99 };
    let bytes =
        bytes_of("04 02 0700 00 ff 0f00 ff 08 fe 00 ff 00 01 10 20 fe 0900 1f ff fe ff 0900 30 ff fe ff");
    assert_eq!(write(&Message::Answer(7, grant, digest)), bytes);

    let Some(Message::Answer(7, read_grant, read_news)) = read(&bytes) else { panic!("a grant") };
    assert_same_grant(&read_grant, &Grant { verdict: Verdict::Granted, chance: 1.0, lease: 0.9375 });
    let nearest = |class: usize, failing: f64| Rumour {
        wait: 2_040_000.0,
        load: Some(254.0),
        age: 8_160_000,
        ..rumour(class, failing)
    };
    let expected = News {
        served: 15.9375,
        aims: vec![15.875, 0.0, -1.0, 0.0, 0.0625, 1.0, 2.0, 15.875],
        rumours: vec![nearest(0, 1.0), nearest(1, 16.0 / 31.0)],
    };
    assert_same_news(&read_news, &expected);
}

/// Health reports name servers by these numbers; every gateway has to draw the same ones.
#[test]
fn short_names_of_servers_are_fixed() {
    let names = [0, 1, 2, 3, u64::MAX].map(|server| short(ServerId(server)));
    assert_eq!(names, [0, 0x9e37, 0x3c6e, 0xdaa6, 0x61c8]);
}

#[test]
fn a_message_holds_no_more_than_a_datagram_has_room_for() {
    let counts = vec![(CustomerId(1), 1); ROOM + 1];
    assert_eq!((ROOM, write(&Message::Counts(0, counts)).len()), (35, 251));
    let reports = |number: usize| {
        bytes_of(&("04 02 0700 00 ff 0000 00 00".to_owned() + &" 0900 00 00 00 00".repeat(number)))
    };
    assert_eq!(reports(41).len(), 256);
    assert!(read(&reports(41)).is_some());
    assert!(read(&reports(42)).is_none(), "too long, though well formed");
    let counts =
        |number: usize| bytes_of(&("04 00 00000000".to_owned() + &" 0100000000 0100".repeat(number)));
    assert!(read(&counts(35)).is_some());
    assert!(read(&counts(36)).is_none(), "too long, though well formed");
}

/// Lengths at which a message that is cut short still reads as a shorter one: after a whole count or health report.
fn lengths_that_read(message: &[u8]) -> Vec<usize> {
    (0..message.len()).filter(|length| read(&message[..*length]).is_some()).collect()
}

#[test]
fn bytes_that_are_no_message_are_refused() {
    for hex in [COUNTS, ASK, GRANTED, SHORT, DONE] {
        let message = bytes_of(hex);
        assert!(read(&message).is_some(), "{hex}");
        for version in (0..=u8::MAX).filter(|version| *version != 4) {
            let other = [&[version], &message[1..]].concat();
            assert!(read(&other).is_none(), "version {version}: {hex}");
        }
        for noise in 1..RUMOUR {
            let longer = [message.as_slice(), &vec![0xa5; noise]].concat();
            assert!(read(&longer).is_none(), "{noise} bytes behind: {hex}");
        }
        let too_long = [message.as_slice(), &vec![0; SIZE]].concat();
        assert!(read(&too_long).is_none(), "too long: {hex}");
    }
    assert_eq!(lengths_that_read(&bytes_of(COUNTS)), [6, 13, 20]);
    assert_eq!(lengths_that_read(&bytes_of(ASK)), [ASK_HEAD, ASK_HEAD + 6]);
    assert_eq!(lengths_that_read(&bytes_of(GRANTED)), [GRANTED_HEAD, GRANTED_HEAD + 6]);
    assert!(lengths_that_read(&bytes_of(SHORT)).is_empty());
    assert!(lengths_that_read(&bytes_of(DONE)).is_empty());
    for kind in 4..=u8::MAX {
        assert!(read(&[4, kind, 0, 0, 0, 0, 0, 0, 0, 0]).is_none(), "kind {kind}");
    }
    for decision in 2..=u8::MAX {
        assert!(read(&[4, 2, 0, 0, decision, 0, 0, 0, 0, 0]).is_none(), "decision {decision}");
    }
}
