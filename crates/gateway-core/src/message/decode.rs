//! Decoder of messages. It never panics, because bytes from the network may be malformed.

use super::layout::*;
use super::*;
use crate::types::GatewayId;

/// Decodes a message; returns `None` if it is empty, truncated, too long, of another version or
/// malformed.
pub(crate) fn decode(bytes: &[u8]) -> Option<Message> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut reader = Reader(bytes);
    if reader.byte()? != VERSION {
        return None;
    }
    match reader.byte()? {
        KIND_USAGE => Some(Message::UsageCounts(reader.usage()?)),
        KIND_LEASE_REQUEST => Some(Message::LeaseRequest(
            reader.lease_request()?,
            reader.digest()?,
        )),
        KIND_LEASE_RESPONSE => Some(Message::LeaseResponse(
            reader.lease_response()?,
            reader.digest()?,
        )),
        KIND_PERMIT_RELEASE => Some(Message::PermitRelease(reader.permit_release()?)),
        _ => None,
    }
}

/// Reads values from the front of a message, and holds the rest.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads a little-endian number of `size` bytes, at most 8.
    fn number(&mut self, size: usize) -> Option<u64> {
        let (taken, rest) = self.0.split_at_checked(size)?;
        self.0 = rest;
        Some(
            taken
                .iter()
                .rev()
                .fold(0, |number, byte| number << 8 | u64::from(*byte)),
        )
    }

    fn byte(&mut self) -> Option<u8> {
        Some(self.number(1)? as u8)
    }

    fn u16(&mut self) -> Option<u16> {
        Some(self.number(2)? as u16)
    }

    fn fraction(&mut self) -> Option<f64> {
        Some(f64::from(self.u16()?) / FRACTION_STEPS)
    }

    fn units(&mut self) -> Option<Units> {
        Some(Units::new(self.fraction()?))
    }

    fn customer(&mut self) -> Option<CustomerId> {
        Some(CustomerId(self.number(CUSTOMER_BYTES)?))
    }

    fn usage(&mut self) -> Option<UsageCounts> {
        let incarnation = self.number(4)? as u32;
        let mut counts = Vec::new();
        while !self.is_empty() {
            counts.push(UsageCount {
                customer: self.customer()?,
                count: self.u16()?,
            });
        }
        Some(UsageCounts {
            incarnation,
            counts,
        })
    }

    // Struct fields are evaluated in the order written, which must be that of the layout.
    fn lease_request(&mut self) -> Option<LeaseRequest> {
        let sequence = self.u16()?;
        let customer = self.customer()?;
        let plan = PlanId(usize::from(self.byte()?));
        let owner_index = u32::from(self.byte()?);
        let first = GatewayId(u32::from(self.u16()?));
        let count = u32::from(self.u16()?);
        let units = self.units()?;
        let requested_units = self.units()?;
        let returned = ReturnedLease {
            sequence: self.u16()?,
            units: self.units()?,
        };
        let gateways = GatewaySet { first, count };
        Some(LeaseRequest {
            sequence,
            customer,
            plan,
            gateways,
            owner_index,
            units,
            requested_units,
            returned,
        })
    }

    fn lease_response(&mut self) -> Option<LeaseResponse> {
        let sequence = self.u16()?;
        let decision = match self.byte()? {
            DECISION_GRANTED => LeaseDecision::Granted,
            DECISION_QUOTA_EXCEEDED => LeaseDecision::QuotaExceeded,
            _ => return None,
        };
        let lease_request_probability = f64::from(self.byte()?) / f64::from(u8::MAX);
        let leased_units = self.units()?;
        Some(LeaseResponse {
            sequence,
            decision,
            lease_request_probability,
            leased_units,
        })
    }

    fn permit_release(&mut self) -> Option<PermitRelease> {
        let release = PermitRelease {
            sequence: self.u16()?,
            customer: self.customer()?,
        };
        self.is_empty().then_some(release)
    }

    fn digest(&mut self) -> Option<GossipDigest> {
        let throughput = f64::from(self.byte()?) / FRACTION_STEPS;
        let classes = usize::from(self.byte()?).min(MAX_CLASSES);
        let mut latency_ratios = Vec::new();
        for _ in 0..classes {
            latency_ratios.push(self.latency_ratio()?);
        }
        let mut reports = Vec::new();
        while !self.is_empty() {
            reports.push(self.report()?);
        }
        Some(GossipDigest {
            throughput,
            latency_ratios,
            reports,
        })
    }

    /// Reads a latency ratio: `None` at the end of the message, `Some(None)` for an unknown ratio.
    fn latency_ratio(&mut self) -> Option<Option<f64>> {
        let byte = self.byte()?;
        let is_known = byte != UNKNOWN;
        Some(is_known.then(|| f64::from(byte) / FRACTION_STEPS))
    }

    fn report(&mut self) -> Option<HealthReport> {
        let server = ShortServerId(self.u16()?);
        let class_and_rate = self.byte()?;
        let failure_rate = class_and_rate % (FAILURE_RATE_STEPS + 1);
        Some(HealthReport {
            server,
            class: ClassId(usize::from(class_and_rate / (FAILURE_RATE_STEPS + 1))),
            failure_rate: f64::from(failure_rate) / f64::from(FAILURE_RATE_STEPS),
            latency_us: f64::from(self.byte()?) * LATENCY_STEP_US,
            load: Some(self.byte()?)
                .filter(|load| *load < UNKNOWN)
                .map(f64::from),
            age: AGE_STEP * u32::from(self.byte()?),
        })
    }
}
