//! Encoder of messages. Numbers are little-endian. Usage counts, classes and health reports that do
//! not fit into a message are left out; measured values and units out of range are clamped.

use super::layout::*;
use super::*;
use crate::time::DurationExt;

/// Encodes a message. Leaves out the health reports that do not fit into the maximum length.
pub(crate) fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    match message {
        Message::UsageCounts(usage) => encode_usage(usage, &mut bytes),
        Message::LeaseRequest(request, digest) => {
            encode_lease_request(request, &mut bytes);
            encode_digest(digest, &mut bytes);
        }
        Message::LeaseResponse(response, digest) => {
            encode_lease_response(response, &mut bytes);
            encode_digest(digest, &mut bytes);
        }
        Message::PermitRelease(release) => {
            bytes.push(KIND_PERMIT_RELEASE);
            bytes.extend_from_slice(&release.sequence.to_le_bytes());
            bytes.extend_from_slice(&customer_bytes(release.customer));
        }
    }
    bytes
}

fn encode_usage(usage: &UsageCounts, bytes: &mut Vec<u8>) {
    bytes.push(KIND_USAGE);
    bytes.extend_from_slice(&usage.incarnation.to_le_bytes());
    for usage in usage.counts.iter().take(MAX_USAGE_COUNTS) {
        bytes.extend_from_slice(&customer_bytes(usage.customer));
        bytes.extend_from_slice(&usage.count.to_le_bytes());
    }
}

fn encode_lease_request(request: &LeaseRequest, bytes: &mut Vec<u8>) {
    bytes.push(KIND_LEASE_REQUEST);
    bytes.extend_from_slice(&request.sequence.to_le_bytes());
    bytes.extend_from_slice(&customer_bytes(request.customer));
    bytes.push(request.plan.0 as u8);
    bytes.push(request.owner_index as u8);
    bytes.extend_from_slice(&(request.gateways.first.0 as u16).to_le_bytes());
    bytes.extend_from_slice(&(request.gateways.count as u16).to_le_bytes());
    bytes.extend_from_slice(&units_bytes(request.units));
    bytes.extend_from_slice(&units_bytes(request.requested_units));
    bytes.extend_from_slice(&request.returned.sequence.to_le_bytes());
    bytes.extend_from_slice(&units_bytes(request.returned.units));
}

fn encode_lease_response(response: &LeaseResponse, bytes: &mut Vec<u8>) {
    bytes.push(KIND_LEASE_RESPONSE);
    bytes.extend_from_slice(&response.sequence.to_le_bytes());
    bytes.push(match response.decision {
        LeaseDecision::Granted => DECISION_GRANTED,
        LeaseDecision::QuotaExceeded => DECISION_QUOTA_EXCEEDED,
    });
    bytes.push(rounded_byte(
        response.lease_request_probability * f64::from(u8::MAX),
    ));
    bytes.extend_from_slice(&leased_units_bytes(response.leased_units));
}

fn encode_digest(digest: &GossipDigest, bytes: &mut Vec<u8>) {
    bytes.push(rounded_byte(digest.throughput * FRACTION_STEPS));
    bytes.push(digest.latency_ratios.len().min(MAX_CLASSES) as u8);
    for ratio in digest.latency_ratios.iter().take(MAX_CLASSES) {
        bytes.push(match ratio {
            Some(ratio) if *ratio >= 0.0 => known_byte(ratio * FRACTION_STEPS),
            _ => UNKNOWN,
        });
    }
    // The class of a health report has 3 bits: a larger number would be decoded as another class.
    for report in digest
        .reports
        .iter()
        .filter(|report| report.class.0 < MAX_CLASSES)
    {
        if bytes.len() + HEALTH_REPORT_BYTES > MAX_MESSAGE_BYTES {
            break;
        }
        encode_report(report, bytes);
    }
}

fn encode_report(report: &HealthReport, bytes: &mut Vec<u8>) {
    let failure_rate = report.failure_rate.clamp(0.0, 1.0) * f64::from(FAILURE_RATE_STEPS);
    bytes.extend_from_slice(&report.server.0.to_le_bytes());
    bytes.push(report.class.0 as u8 * (FAILURE_RATE_STEPS + 1) + failure_rate.round() as u8);
    bytes.push(rounded_byte(report.latency_us / LATENCY_STEP_US));
    bytes.push(report.load.map_or(UNKNOWN, known_byte));
    bytes.push((report.age.whole_micros() / AGE_STEP.whole_micros()).min(u64::from(u8::MAX)) as u8);
}

fn customer_bytes(customer: CustomerId) -> [u8; CUSTOMER_BYTES] {
    let [a, b, c, d, e, ..] = customer.0.to_le_bytes();
    [a, b, c, d, e]
}

fn units_bytes(units: Units) -> [u8; 2] {
    ((units.as_f64() * FRACTION_STEPS).round() as u16).to_le_bytes()
}

/// Encodes leased units, rounded down so that the recipient does not use more than was granted.
fn leased_units_bytes(units: Units) -> [u8; 2] {
    ((units.as_f64() * FRACTION_STEPS).floor() as u16).to_le_bytes()
}

fn rounded_byte(value: f64) -> u8 {
    value.round().clamp(0.0, f64::from(u8::MAX)) as u8
}

/// Encodes a known value, clamped below [`UNKNOWN`].
fn known_byte(value: f64) -> u8 {
    rounded_byte(value).min(UNKNOWN - 1)
}
