//! Parser of load reports: the response header in which a server states how many requests it has
//! in flight.

/// Field of a report that holds the number of requests in flight.
const IN_FLIGHT_FIELD: &str = "concurrent";
/// Largest valid number of requests in flight; a report of a larger number is malformed.
const MAX_IN_FLIGHT: f64 = 1e6;

/// Returns the number of requests in flight that a load report states, or `None` if that field is
/// missing or malformed. Fields are separated by commas, and `assignment` separates the name of a
/// field from its value.
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
