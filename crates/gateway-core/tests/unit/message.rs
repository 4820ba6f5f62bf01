//! The layout of messages between gateways: fixed bytes that every version of this layout has to
//! read and write.

use super::layout::*;
use super::*;
use crate::types::GatewayId;

fn report(class: usize) -> HealthReport {
    HealthReport {
        server: ShortServerId(9),
        class: ClassId(class),
        failure_rate: 1.0,
        latency_us: 0.0,
        load: None,
        age: Duration::ZERO,
    }
}

fn granted(sequence: u16, lease_request_probability: f64, leased_units: f64) -> LeaseResponse {
    let decision = LeaseDecision::Granted;
    LeaseResponse {
        sequence,
        decision,
        lease_request_probability,
        leased_units: Units::new(leased_units),
    }
}

#[test]
fn a_report_on_a_class_beyond_the_field_is_left_out() {
    let reports = [1, MAX_CLASSES, MAX_CLASSES + 1].map(report).into();
    let digest = GossipDigest {
        reports,
        ..GossipDigest::default()
    };
    let bytes = encode(&Message::LeaseResponse(granted(7, 1.0, 0.0), digest));
    let Some(Message::LeaseResponse(LeaseResponse { sequence: 7, .. }, digest)) = decode(&bytes)
    else {
        panic!("a response")
    };
    let classes: Vec<_> = digest.reports.iter().map(|report| report.class.0).collect();
    assert_eq!(classes, [1]);
}

/// The bytes that a text of hexadecimal digits stands for; blanks separate the fields.
fn bytes_of(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    assert!(digits.len().is_multiple_of(2), "whole bytes");
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Version, kind, incarnation; then customer and units of each.
const USAGE_COUNTS: &str = "04 00 0df0adde 0504030201 e803 ffffffffff ffff 0000000000 0000";
/// Version, kind, sequence, customer, plan, owner, first gateway, gateway count, units, requested
/// units, the returned lease's sequence and its units; then the gossip digest: throughput,
/// latencies, health reports.
const LEASE_REQUEST: &str = "04 01 3412 0504030201 01 02 0301 2c01 2800 4406 3012 0800 \
    38 03 08 ff 14 efbe 5f 0a 07 0a 0100 e0 00 ff 00";
/// Version, kind, sequence, decision, probability, units of the lease, the gossip digest.
const LEASE_GRANT: &str = "04 02 3412 00 ff 4401 38 03 08 ff 14 efbe 5f 0a 07 0a 0100 e0 00 ff 00";
const LEASE_REFUSAL: &str = "04 02 ffff 01 33 0000 00 00";
/// Version, kind, sequence, customer.
const PERMIT_RELEASE: &str = "04 03 3412 0504030201";

/// Lengths of the head of a lease request and of a grant, up to and with the latencies.
const LEASE_REQUEST_HEAD: usize = 28;
const LEASE_GRANT_HEAD: usize = 13;

fn counts() -> Vec<UsageCount> {
    let counts = [(0x01_0203_0405, 1000), (0xff_ffff_ffff, u16::MAX), (0, 0)];
    counts
        .map(|(customer, count)| UsageCount {
            customer: CustomerId(customer),
            count,
        })
        .into()
}

fn lease_request() -> LeaseRequest {
    LeaseRequest {
        sequence: 0x1234,
        customer: CustomerId(0x01_0203_0405),
        plan: PlanId(1),
        gateways: GatewaySet {
            first: GatewayId(0x0103),
            count: 300,
        },
        owner_index: 2,
        units: Units::new(2.5),
        requested_units: Units::new(100.25),
        returned: ReturnedLease {
            sequence: 0x1230,
            units: Units::new(0.5),
        },
    }
}

/// A gossip digest with a latency and a load that are known, and ones that are not.
fn digest() -> GossipDigest {
    let known = HealthReport {
        server: ShortServerId(0xbeef),
        class: ClassId(2),
        failure_rate: 1.0,
        latency_us: 80_000.0,
        load: Some(7.0),
        age: Duration::from_micros(320_000),
    };
    let unknown_load = HealthReport {
        server: ShortServerId(1),
        failure_rate: 0.0,
        ..report(7)
    };
    GossipDigest {
        throughput: 3.5,
        latency_ratios: vec![Some(0.5), None, Some(1.25)],
        reports: vec![known, unknown_load],
    }
}

/// Destructures, so that a new field can't be forgotten here.
fn assert_same_digest(decoded: &GossipDigest, expected: &GossipDigest) {
    let GossipDigest {
        throughput,
        latency_ratios,
        reports,
    } = decoded;
    assert_eq!(
        (*throughput, latency_ratios),
        (expected.throughput, &expected.latency_ratios)
    );
    assert_eq!(reports.len(), expected.reports.len());
    for (decoded, expected) in reports.iter().zip(&expected.reports) {
        let HealthReport {
            server,
            class,
            failure_rate,
            latency_us,
            load,
            age,
        } = decoded;
        assert_eq!((*server, *class), (expected.server, expected.class));
        assert_eq!(
            (*failure_rate, *latency_us),
            (expected.failure_rate, expected.latency_us)
        );
        assert_eq!((*load, *age), (expected.load, expected.age));
    }
}

fn assert_same_request(decoded: &LeaseRequest, expected: &LeaseRequest) {
    let LeaseRequest {
        sequence,
        customer,
        plan,
        gateways,
        owner_index,
        units,
        requested_units,
        returned,
    } = decoded;
    assert_eq!(
        (*sequence, *customer, *plan),
        (expected.sequence, expected.customer, expected.plan)
    );
    assert_eq!(
        (*gateways, *owner_index),
        (expected.gateways, expected.owner_index)
    );
    assert_eq!(
        (*units, *requested_units),
        (expected.units, expected.requested_units)
    );
    assert_eq!(*returned, expected.returned);
}

fn assert_same_response(decoded: &LeaseResponse, expected: &LeaseResponse) {
    let LeaseResponse {
        sequence,
        decision,
        lease_request_probability,
        leased_units,
    } = decoded;
    assert_eq!(
        (*sequence, *decision),
        (expected.sequence, expected.decision)
    );
    assert_eq!(
        *lease_request_probability,
        expected.lease_request_probability
    );
    assert_eq!(*leased_units, expected.leased_units);
}

#[test]
fn usage_counts_have_fixed_bytes() {
    let bytes = bytes_of(USAGE_COUNTS);
    let usage = UsageCounts {
        incarnation: 0xdead_f00d,
        counts: counts(),
    };
    assert_eq!(encode(&Message::UsageCounts(usage)), bytes);
    let Some(Message::UsageCounts(decoded)) = decode(&bytes) else {
        panic!("usage counts")
    };
    assert_eq!(
        (decoded.incarnation, decoded.counts),
        (0xdead_f00d, counts())
    );
}

#[test]
fn a_lease_request_has_fixed_bytes() {
    let bytes = bytes_of(LEASE_REQUEST);
    assert_eq!(
        encode(&Message::LeaseRequest(lease_request(), digest())),
        bytes
    );
    let Some(Message::LeaseRequest(request, decoded)) = decode(&bytes) else {
        panic!("a lease request")
    };
    assert_same_request(&request, &lease_request());
    assert_same_digest(&decoded, &digest());
}

#[test]
fn a_lease_grant_has_fixed_bytes() {
    let bytes = bytes_of(LEASE_GRANT);
    let response = granted(0x1234, 1.0, 20.25);
    assert_eq!(encode(&Message::LeaseResponse(response, digest())), bytes);
    let Some(Message::LeaseResponse(decoded, decoded_digest)) = decode(&bytes) else {
        panic!("a grant")
    };
    assert_same_response(&decoded, &response);
    assert_same_digest(&decoded_digest, &digest());
}

#[test]
fn a_refusal_of_a_lease_has_fixed_bytes() {
    let bytes = bytes_of(LEASE_REFUSAL);
    let decision = LeaseDecision::QuotaExceeded;
    let response = LeaseResponse {
        sequence: u16::MAX,
        decision,
        lease_request_probability: 0.2,
        leased_units: Units::new(0.0),
    };
    assert_eq!(
        encode(&Message::LeaseResponse(response, GossipDigest::default())),
        bytes
    );
    let Some(Message::LeaseResponse(decoded, decoded_digest)) = decode(&bytes) else {
        panic!("a refusal")
    };
    assert_same_response(&decoded, &response);
    assert_same_digest(&decoded_digest, &GossipDigest::default());
}

#[test]
fn a_permit_release_has_fixed_bytes() {
    let bytes = bytes_of(PERMIT_RELEASE);
    let release = PermitRelease {
        sequence: 0x1234,
        customer: CustomerId(0x01_0203_0405),
    };
    assert_eq!(encode(&Message::PermitRelease(release)), bytes);
    let Some(Message::PermitRelease(decoded)) = decode(&bytes) else {
        panic!("a permit release")
    };
    assert_eq!(decoded, release);
}

/// What does not fit its field is clamped to the nearest value that does; classes past the eighth
/// are left out.
#[test]
fn values_out_of_range_have_fixed_bytes() {
    let extreme = |class: usize, failure_rate: f64| HealthReport {
        failure_rate,
        latency_us: 1e9,
        load: Some(1e6),
        age: Duration::MAX,
        ..report(class)
    };
    let latency_ratios = [1e6, 0.0, -0.5, 0.03, 0.04, 1.0, 2.0, 15.9, 3.0];
    let reports = vec![extreme(8, 1.0), extreme(0, 2.0), extreme(1, 0.5)];
    let digest = GossipDigest {
        throughput: 1e6,
        latency_ratios: latency_ratios.map(Some).to_vec(),
        reports,
    };
    let bytes = bytes_of(
        "04 02 0700 00 ff 0f00 ff 08 fe 00 ff 00 01 10 20 fe 0900 1f ff fe ff 0900 30 ff fe ff",
    );
    assert_eq!(
        encode(&Message::LeaseResponse(granted(7, 2.0, 0.99), digest)),
        bytes
    );

    let Some(Message::LeaseResponse(decoded, decoded_digest)) = decode(&bytes) else {
        panic!("a grant")
    };
    assert_same_response(&decoded, &granted(7, 1.0, 0.9375));
    let nearest = |class: usize, failure_rate: f64| HealthReport {
        latency_us: 2_040_000.0,
        load: Some(254.0),
        age: Duration::from_micros(8_160_000),
        ..extreme(class, failure_rate)
    };
    let expected = GossipDigest {
        throughput: 15.9375,
        latency_ratios: vec![
            Some(15.875),
            Some(0.0),
            None,
            Some(0.0),
            Some(0.0625),
            Some(1.0),
            Some(2.0),
            Some(15.875),
        ],
        reports: vec![nearest(0, 1.0), nearest(1, 16.0 / 31.0)],
    };
    assert_same_digest(&decoded_digest, &expected);
}

/// Health reports name servers by these ids; every gateway has to derive the same ones.
#[test]
fn short_ids_of_servers_are_fixed() {
    let ids = [0, 1, 2, 3, u64::MAX].map(|server| short_id(ServerId(server)).0);
    assert_eq!(ids, [0, 0x9e37, 0x3c6e, 0xdaa6, 0x61c8]);
}

#[test]
fn a_message_is_no_longer_than_a_datagram_holds() {
    let usage_count = UsageCount {
        customer: CustomerId(1),
        count: 1,
    };
    let usage = UsageCounts {
        incarnation: 0,
        counts: vec![usage_count; MAX_USAGE_COUNTS + 1],
    };
    assert_eq!(
        (MAX_USAGE_COUNTS, encode(&Message::UsageCounts(usage)).len()),
        (35, 251)
    );
    let reports = |number: usize| {
        bytes_of(&("04 02 0700 00 ff 0000 00 00".to_owned() + &" 0900 00 00 00 00".repeat(number)))
    };
    assert_eq!(reports(41).len(), 256);
    assert!(decode(&reports(41)).is_some());
    assert!(
        decode(&reports(42)).is_none(),
        "too long, though well formed"
    );
    let counts = |number: usize| {
        bytes_of(&("04 00 00000000".to_owned() + &" 0100000000 0100".repeat(number)))
    };
    assert!(decode(&counts(35)).is_some());
    assert!(
        decode(&counts(36)).is_none(),
        "too long, though well formed"
    );
}

/// Lengths at which a message that is cut short still reads as a shorter one: after a whole count
/// or health report.
fn lengths_that_decode(message: &[u8]) -> Vec<usize> {
    (0..message.len())
        .filter(|length| decode(&message[..*length]).is_some())
        .collect()
}

#[test]
fn malformed_bytes_are_refused() {
    for hex in [
        USAGE_COUNTS,
        LEASE_REQUEST,
        LEASE_GRANT,
        LEASE_REFUSAL,
        PERMIT_RELEASE,
    ] {
        let message = bytes_of(hex);
        assert!(decode(&message).is_some(), "{hex}");
        for version in (0..=u8::MAX).filter(|version| *version != 4) {
            let other = [&[version], &message[1..]].concat();
            assert!(decode(&other).is_none(), "version {version}: {hex}");
        }
        for noise in 1..HEALTH_REPORT_BYTES {
            let longer = [message.as_slice(), &vec![0xa5; noise]].concat();
            assert!(decode(&longer).is_none(), "{noise} bytes appended: {hex}");
        }
        let too_long = [message.as_slice(), &vec![0; MAX_MESSAGE_BYTES]].concat();
        assert!(decode(&too_long).is_none(), "too long: {hex}");
    }
    assert_eq!(lengths_that_decode(&bytes_of(USAGE_COUNTS)), [6, 13, 20]);
    assert_eq!(
        lengths_that_decode(&bytes_of(LEASE_REQUEST)),
        [LEASE_REQUEST_HEAD, LEASE_REQUEST_HEAD + 6]
    );
    assert_eq!(
        lengths_that_decode(&bytes_of(LEASE_GRANT)),
        [LEASE_GRANT_HEAD, LEASE_GRANT_HEAD + 6]
    );
    assert!(lengths_that_decode(&bytes_of(LEASE_REFUSAL)).is_empty());
    assert!(lengths_that_decode(&bytes_of(PERMIT_RELEASE)).is_empty());
    for kind in 4..=u8::MAX {
        assert!(
            decode(&[4, kind, 0, 0, 0, 0, 0, 0, 0, 0]).is_none(),
            "kind {kind}"
        );
    }
    for decision in 2..=u8::MAX {
        assert!(
            decode(&[4, 2, 0, 0, decision, 0, 0, 0, 0, 0]).is_none(),
            "decision {decision}"
        );
    }
}
