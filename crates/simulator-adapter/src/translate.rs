//! Translates lines of the simulator's protocol into events for a gateway.

use crate::line::Line;
use crate::line_error::{LineError, LineErrorKind};
use gateway_core::settings::{self, ResolvedSettings};
use gateway_core::{
    load_report, AttemptNumber, AttemptOutcome, CellId, ClassId, CustomerId, Endpoint,
    EndpointState, EndpointUpdate, Event, GatewayId, GatewaySet, PlanId, RequestId, ServerId,
    Timestamp, Units, ZoneId,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// An endpoint of a list, with the name of its zone. The id of the zone depends on the settings of
/// the gateway that the list is sent to.
pub(crate) struct ListedEndpoint {
    zone_name: String,
    /// The endpoint, with a placeholder as its zone.
    endpoint: Endpoint,
}

impl ListedEndpoint {
    /// Returns the endpoint with the id of its zone, which is looked up in `zone_names`. `line`
    /// refers to the endpoint's list, and an error names that line.
    fn resolve(&self, line: &Line, zone_names: &[String]) -> Result<Endpoint, LineError> {
        let Some(zone) = settings::zone_by_name(zone_names, &self.zone_name) else {
            return Err(line.error(LineErrorKind::UnknownZone {
                zone: self.zone_name.clone(),
            }));
        };
        Ok(Endpoint {
            zone,
            ..self.endpoint
        })
    }
}

/// Parses an `item` line, which describes one endpoint of a list.
///
/// # Errors
/// Returns an error if the line is not an `item` line or is malformed.
pub(crate) fn parse_listed_endpoint(line: &Line) -> Result<ListedEndpoint, LineError> {
    line.expect_name("item")?;
    let weight = line.non_negative("capacityHint")?;
    let zone_name = line.text("campus")?.to_owned();
    let endpoint = Endpoint {
        server: ServerId(line.parsed("server")?),
        zone: ZoneId(0),
        cell: CellId(line.parsed("bay")?),
        state: endpoint_state(line)?,
        weight,
        started_at: started_at(line)?,
    };
    Ok(ListedEndpoint {
        zone_name,
        endpoint,
    })
}

fn endpoint_state(line: &Line) -> Result<EndpointState, LineError> {
    match line.text("readiness")? {
        "Ready" => Ok(EndpointState::Ready),
        "Terminating" => Ok(EndpointState::Draining),
        "Gone" => Ok(EndpointState::Gone),
        _ => Err(line.invalid("readiness")),
    }
}

/// Parses the time at which a server started. 0 or a missing field means that it is unknown.
fn started_at(line: &Line) -> Result<Option<Timestamp>, LineError> {
    let started_at: u64 = line.parsed_or("cameUpUs", 0)?;
    Ok((started_at != 0).then_some(Timestamp::from_micros(started_at)))
}

/// Parses the event that a line reports to a gateway with these settings. Returns `None` for a line
/// that is not passed to the gateway.
///
/// # Errors
/// Returns an error if the line's name is unknown or the line is malformed.
pub(crate) fn parse_event(
    line: &Line,
    settings: &ResolvedSettings,
    lists: &BTreeMap<u8, Vec<ListedEndpoint>>,
) -> Result<Option<Event>, LineError> {
    let event = match line.name {
        "update" => endpoints_updated(line, settings, lists)?,
        "knock" => request_received(line, settings)?,
        "opened" => Event::StreamStarted {
            id: request_id(line)?,
        },
        "finished" => attempt_finished(line)?,
        "gone" => Event::ClientDisconnected {
            id: request_id(line)?,
        },
        "elapsed" => Event::TimerFired {
            token: line.parsed("nonce")?,
        },
        "whisper" => peer_message(line)?,
        // Responses to health probes and to requests for the simulator's counter. Gateways send
        // neither probes nor such requests, so the lines are only validated.
        "echo" | "counter_reply" => {
            attempt_outcome(line)?;
            return Ok(None);
        }
        other => return Err(line.error(LineErrorKind::UnknownName(other.to_owned()))),
    };
    Ok(Some(event))
}

fn endpoints_updated(
    line: &Line,
    settings: &ResolvedSettings,
    lists: &BTreeMap<u8, Vec<ListedEndpoint>>,
) -> Result<Event, LineError> {
    let kind = match line.text("kind")? {
        "Error" => return Ok(Event::WatchFailed),
        "Partial" => EndpointUpdate::Delta,
        "Complete" | "Persisted" => EndpointUpdate::Snapshot,
        _ => return Err(line.invalid("kind")),
    };
    let list = lists
        .get(&line.parsed("list")?)
        .ok_or_else(|| line.invalid("list"))?;
    let mut endpoints = Vec::with_capacity(list.len());
    for listed in list {
        endpoints.push(listed.resolve(line, &settings.zone_names)?);
    }
    Ok(Event::EndpointsUpdated { kind, endpoints })
}

fn request_received(line: &Line, settings: &ResolvedSettings) -> Result<Event, LineError> {
    Ok(Event::RequestReceived {
        id: request_id(line)?,
        class: ClassId(index_of(line, "grade", &settings.class_names)?),
        plan: PlanId(index_of(line, "package", &settings.plan_names)?),
        customer: CustomerId(line.parsed("clientId")?),
        units: Units::new(line.non_negative("quotaUnits")?),
        gateways: GatewaySet {
            first: GatewayId(line.parsed("base")?),
            count: line.parsed("setSize")?,
        },
        client_timeout: Duration::from_micros(line.parsed("ttlUs")?),
    })
}

fn attempt_finished(line: &Line) -> Result<Event, LineError> {
    Ok(Event::AttemptFinished {
        id: request_id(line)?,
        attempt: AttemptNumber(line.parsed("shot")?),
        outcome: attempt_outcome(line)?,
        closed: line.flag("doneFlag")?,
        reported_load: reported_load(line),
    })
}

fn peer_message(line: &Line) -> Result<Event, LineError> {
    let from = GatewayId(line.parsed("originPeer")?);
    let bytes = line.hex("blob")?;
    Ok(Event::PeerMessage { from, bytes })
}

fn request_id(line: &Line) -> Result<RequestId, LineError> {
    match line.text("call")? {
        "" => Err(line.invalid("call")),
        id => Ok(RequestId(id.into())),
    }
}

fn attempt_outcome(line: &Line) -> Result<AttemptOutcome, LineError> {
    match line.parsed("ending")? {
        100 => Ok(AttemptOutcome::Success),
        301 => Ok(AttemptOutcome::ServerError),
        302 => Ok(AttemptOutcome::Overloaded),
        303 => Ok(AttemptOutcome::TimedOut),
        304 => Ok(AttemptOutcome::Unreachable),
        305 => Ok(AttemptOutcome::ConnectionLost),
        306 => Ok(AttemptOutcome::Cancelled),
        307 => Ok(AttemptOutcome::NotSent),
        _ => Err(line.invalid("ending")),
    }
}

/// Parses the load report: the number of requests in flight at the server. Returns `None` if the
/// report is missing or malformed.
fn reported_load(line: &Line) -> Option<f64> {
    let report = line.optional("telemetry")?;
    load_report::parse_in_flight(report, ':')
}

/// Returns the index of a field's value in `names`, which the settings define.
fn index_of(line: &Line, field: &'static str, names: &[String]) -> Result<usize, LineError> {
    let name = line.text(field)?;
    names
        .iter()
        .position(|known| known == name)
        .ok_or_else(|| line.invalid(field))
}
