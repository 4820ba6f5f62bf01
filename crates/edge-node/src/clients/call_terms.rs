//! The `X-Call-Terms` header: the quota units of a request and the gateway set of its customer.

use super::header_value::{parse_decimal, parse_whole_number};
use gateway_core::{GatewayId, GatewaySet, Settings, Units};

/// The call terms of one request, checked against the settings.
#[derive(Debug, PartialEq)]
pub struct CallTerms {
    /// Quota units that the request costs.
    pub units: Units,
    /// The gateways over which the requests of the customer are spread.
    pub gateways: GatewaySet,
}

impl CallTerms {
    /// Parses terms such as `units=2.5,spread=3,first=17`, in any order. Ignores terms with other
    /// names.
    ///
    /// Returns `None` if `units`, `spread` or `first` is missing, repeated or outside the range
    /// that the settings allow, or if any term has no `=`.
    pub fn parse(text: &str, settings: &Settings) -> Option<CallTerms> {
        let mut units = None;
        let mut gateway_count = None;
        let mut first_gateway = None;
        for term in text.split(',') {
            let (name, value) = term.trim().split_once('=')?;
            match name {
                "units" => set_once(&mut units, parse_units(value, settings)?)?,
                "spread" => set_once(&mut gateway_count, parse_gateway_count(value, settings)?)?,
                "first" => set_once(&mut first_gateway, parse_first_gateway(value, settings)?)?,
                _ => {}
            }
        }
        let gateways = GatewaySet {
            first: first_gateway?,
            count: gateway_count?,
        };
        Some(CallTerms {
            units: units?,
            gateways,
        })
    }
}

/// Sets a value that may be given only once. Returns `None` if it is already set.
fn set_once<T>(slot: &mut Option<T>, value: T) -> Option<()> {
    slot.replace(value).is_none().then_some(())
}

fn parse_units(value: &str, settings: &Settings) -> Option<Units> {
    // Zero in the settings means that there is no limit.
    let limit = if settings.max_request_units > Units::ZERO {
        settings.max_request_units
    } else {
        Units::new(f64::MAX)
    };
    parse_decimal(value)
        .map(Units::new)
        .filter(|units| *units > Units::ZERO && *units <= limit)
}

fn parse_gateway_count(value: &str, settings: &Settings) -> Option<u32> {
    parse_whole_number(value).filter(|count| (1..=settings.gateway_count).contains(count))
}

fn parse_first_gateway(value: &str, settings: &Settings) -> Option<GatewayId> {
    parse_whole_number(value)
        .filter(|first| *first < settings.gateway_count)
        .map(GatewayId)
}
