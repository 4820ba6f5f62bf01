//! Tests of the codec of messages between gateways. Gateways of different releases exchange
//! messages, so every release has to encode and decode exactly these bytes while the version of the
//! layout stays the same.

use super::layout::*;
use super::*;
use crate::types::GatewayId;

fn health_report(class: usize) -> HealthReport {
    HealthReport {
        server: ShortServerId(9),
        class: ClassId(class),
        failure_rate: 1.0,
        latency_us: 0.0,
        load: None,
        age: Duration::ZERO,
    }
}

fn granted_response(
    sequence: u16,
    lease_request_probability: f64,
    leased_units: f64,
) -> LeaseResponse {
    let decision = LeaseDecision::Granted;
    LeaseResponse {
        sequence,
        decision,
        lease_request_probability,
        leased_units: Units::new(leased_units),
    }
}

#[test]
fn omits_health_report_of_class_out_of_range() {
    let reports = [1, MAX_CLASSES, MAX_CLASSES + 1].map(health_report).into();
    let digest = GossipDigest {
        reports,
        ..GossipDigest::default()
    };
    let bytes = encode(&Message::LeaseResponse(
        granted_response(7, 1.0, 0.0),
        digest,
    ));
    let Some(Message::LeaseResponse(LeaseResponse { sequence: 7, .. }, digest)) = decode(&bytes)
    else {
        panic!("expected a lease response")
    };
    let classes: Vec<_> = digest.reports.iter().map(|report| report.class.0).collect();
    assert_eq!(classes, [1]);
}

/// Parses hexadecimal digits; spaces separate the fields.
fn parse_hex(hex: &str) -> Vec<u8> {
    let digits: String = hex.split_whitespace().collect();
    assert!(
        digits.len().is_multiple_of(2),
        "number of digits must be even"
    );
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Version, kind, incarnation; then customer and count of each usage count.
const USAGE_COUNTS: &str = "04 00 0df0adde 0504030201 e803 ffffffffff ffff 0000000000 0000";
/// Version, kind, sequence, customer, plan, owner index, first gateway, gateway count, units,
/// requested units, sequence and units of the returned lease; then the gossip digest: throughput,
/// latency ratios, health reports.
const LEASE_REQUEST: &str = "04 01 3412 0504030201 01 02 0301 2c01 2800 4406 3012 0800 \
    38 03 08 ff 14 efbe 5f 0a 07 0a 0100 e0 00 ff 00";
/// Version, kind, sequence, decision, probability, leased units; then the gossip digest.
const LEASE_GRANT: &str = "04 02 3412 00 ff 4401 38 03 08 ff 14 efbe 5f 0a 07 0a 0100 e0 00 ff 00";
/// The fields of `LEASE_GRANT`, with an empty gossip digest.
const LEASE_REJECTION: &str = "04 02 ffff 01 33 0000 00 00";
/// Version, kind, sequence, customer.
const PERMIT_RELEASE: &str = "04 03 3412 0504030201";

/// Bytes of `LEASE_REQUEST` before its health reports.
const LEASE_REQUEST_HEAD: usize = 28;
/// Bytes of `LEASE_GRANT` before its health reports.
const LEASE_GRANT_HEAD: usize = 13;

fn usage_counts() -> Vec<UsageCount> {
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

/// Returns a gossip digest with known and unknown latency ratios and loads.
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
        ..health_report(7)
    };
    GossipDigest {
        throughput: 3.5,
        latency_ratios: vec![Some(0.5), None, Some(1.25)],
        reports: vec![known, unknown_load],
    }
}

/// Compares all fields. Destructuring makes the compiler reject a new field that is not compared.
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
fn usage_counts_match_fixed_bytes() {
    let bytes = parse_hex(USAGE_COUNTS);
    let usage = UsageCounts {
        incarnation: 0xdead_f00d,
        counts: usage_counts(),
    };
    assert_eq!(encode(&Message::UsageCounts(usage)), bytes);
    let Some(Message::UsageCounts(decoded)) = decode(&bytes) else {
        panic!("expected usage counts")
    };
    assert_eq!(
        (decoded.incarnation, decoded.counts),
        (0xdead_f00d, usage_counts())
    );
}

#[test]
fn lease_request_matches_fixed_bytes() {
    let bytes = parse_hex(LEASE_REQUEST);
    assert_eq!(
        encode(&Message::LeaseRequest(lease_request(), digest())),
        bytes
    );
    let Some(Message::LeaseRequest(request, decoded)) = decode(&bytes) else {
        panic!("expected a lease request")
    };
    assert_same_request(&request, &lease_request());
    assert_same_digest(&decoded, &digest());
}

#[test]
fn lease_grant_matches_fixed_bytes() {
    let bytes = parse_hex(LEASE_GRANT);
    let response = granted_response(0x1234, 1.0, 20.25);
    assert_eq!(encode(&Message::LeaseResponse(response, digest())), bytes);
    let Some(Message::LeaseResponse(decoded, decoded_digest)) = decode(&bytes) else {
        panic!("expected a lease response")
    };
    assert_same_response(&decoded, &response);
    assert_same_digest(&decoded_digest, &digest());
}

#[test]
fn lease_rejection_matches_fixed_bytes() {
    let bytes = parse_hex(LEASE_REJECTION);
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
        panic!("expected a lease response")
    };
    assert_same_response(&decoded, &response);
    assert_same_digest(&decoded_digest, &GossipDigest::default());
}

#[test]
fn permit_release_matches_fixed_bytes() {
    let bytes = parse_hex(PERMIT_RELEASE);
    let release = PermitRelease {
        sequence: 0x1234,
        customer: CustomerId(0x01_0203_0405),
    };
    assert_eq!(encode(&Message::PermitRelease(release)), bytes);
    let Some(Message::PermitRelease(decoded)) = decode(&bytes) else {
        panic!("expected a permit release")
    };
    assert_eq!(decoded, release);
}

/// Values out of range are clamped to the nearest value that the field can hold. Classes beyond the
/// eighth are left out.
#[test]
fn clamps_values_out_of_range_and_omits_ninth_class() {
    let extreme = |class: usize, failure_rate: f64| HealthReport {
        failure_rate,
        latency_us: 1e9,
        load: Some(1e6),
        age: Duration::MAX,
        ..health_report(class)
    };
    let latency_ratios = [1e6, 0.0, -0.5, 0.03, 0.04, 1.0, 2.0, 15.9, 3.0];
    let reports = vec![extreme(8, 1.0), extreme(0, 2.0), extreme(1, 0.5)];
    let digest = GossipDigest {
        throughput: 1e6,
        latency_ratios: latency_ratios.map(Some).to_vec(),
        reports,
    };
    let bytes = parse_hex(
        "04 02 0700 00 ff 0f00 ff 08 fe 00 ff 00 01 10 20 fe 0900 1f ff fe ff 0900 30 ff fe ff",
    );
    assert_eq!(
        encode(&Message::LeaseResponse(
            granted_response(7, 2.0, 0.99),
            digest
        )),
        bytes
    );

    let Some(Message::LeaseResponse(decoded, decoded_digest)) = decode(&bytes) else {
        panic!("expected a lease response")
    };
    assert_same_response(&decoded, &granted_response(7, 1.0, 0.9375));
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

/// Health reports identify servers by their short ids, so every gateway has to derive the same ids.
#[test]
fn short_ids_match_fixed_values() {
    let ids = [0, 1, 2, 3, u64::MAX].map(|server| short_id(ServerId(server)).0);
    assert_eq!(ids, [0, 0x9e37, 0x3c6e, 0xdaa6, 0x61c8]);
}

#[test]
fn limits_messages_to_256_bytes() {
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
        parse_hex(&("04 02 0700 00 ff 0000 00 00".to_owned() + &" 0900 00 00 00 00".repeat(number)))
    };
    assert_eq!(reports(41).len(), 256);
    assert!(decode(&reports(41)).is_some());
    assert!(
        decode(&reports(42)).is_none(),
        "accepted a well-formed message that is too long"
    );
    let counts = |number: usize| {
        parse_hex(&("04 00 00000000".to_owned() + &" 0100000000 0100".repeat(number)))
    };
    assert!(decode(&counts(35)).is_some());
    assert!(
        decode(&counts(36)).is_none(),
        "accepted a well-formed message that is too long"
    );
}

/// Returns the lengths at which a truncated message is still valid: those between whole usage
/// counts or whole health reports.
fn valid_truncated_lengths(message: &[u8]) -> Vec<usize> {
    (0..message.len())
        .filter(|length| decode(&message[..*length]).is_some())
        .collect()
}

#[test]
fn rejects_malformed_messages() {
    for hex in [
        USAGE_COUNTS,
        LEASE_REQUEST,
        LEASE_GRANT,
        LEASE_REJECTION,
        PERMIT_RELEASE,
    ] {
        let message = parse_hex(hex);
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
    assert_eq!(
        valid_truncated_lengths(&parse_hex(USAGE_COUNTS)),
        [6, 13, 20]
    );
    assert_eq!(
        valid_truncated_lengths(&parse_hex(LEASE_REQUEST)),
        [LEASE_REQUEST_HEAD, LEASE_REQUEST_HEAD + 6]
    );
    assert_eq!(
        valid_truncated_lengths(&parse_hex(LEASE_GRANT)),
        [LEASE_GRANT_HEAD, LEASE_GRANT_HEAD + 6]
    );
    assert!(valid_truncated_lengths(&parse_hex(LEASE_REJECTION)).is_empty());
    assert!(valid_truncated_lengths(&parse_hex(PERMIT_RELEASE)).is_empty());
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
