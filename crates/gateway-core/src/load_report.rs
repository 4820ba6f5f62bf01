//! Load reports: how many requests a server says it has in flight, in a header of its answers.

/// The field of a report that tells the requests in flight.
const IN_FLIGHT_FIELD: &str = "concurrent";
/// No server has more requests in flight: a report that says so is malformed.
const MAX_IN_FLIGHT: f64 = 1e6;

/// Requests in flight according to a report: names and values, separated by commas, with `assignment` between
/// a name and its value. `None` where the report does not say, or is malformed.
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
