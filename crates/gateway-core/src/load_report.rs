//! Load reports: how many requests a server has in flight, as it says in a header of its responses.

/// The field of a report that holds the number of requests in flight.
const IN_FLIGHT_FIELD: &str = "concurrent";
/// Maximum number of requests in flight that is believed: a report of more is malformed.
const MAX_IN_FLIGHT: f64 = 1e6;

/// The number of requests in flight in a report: names and values, separated by commas, with
/// `assignment` between a name and its value. `None` if the report does not have it, or has it
/// malformed.
#[must_use]
pub fn parse_in_flight(report: &str, assignment: char) -> Option<f64> {
    let mut fields = report
        .split(',')
        .filter_map(|field| field.split_once(assignment));
    let (_, value) = fields.find(|(name, _)| name.trim() == IN_FLIGHT_FIELD)?;
    value
        .trim()
        .parse()
        .ok()
        .filter(|in_flight| (0.0..=MAX_IN_FLIGHT).contains(in_flight))
}

#[cfg(test)]
#[path = "../tests/unit/load_report.rs"]
mod tests;
