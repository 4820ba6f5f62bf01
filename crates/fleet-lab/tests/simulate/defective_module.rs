//! A gateway that violates an invariant on purpose, for tests of the invariant checker.

use fleet_lab::simulate::DecisionModule;
use gateway_core::{
    Action, ClassId, Endpoint, EndpointState, Event, Gateway, Idempotency, RequestId, ServerId,
    Settings, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The way in which a gateway violates an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    /// No violation.
    None,
    /// Sends attempts to draining servers, more than 600 ms after the gateway learned of the drain.
    SendToDrained,
    /// Sends the requests that the decision library rejects.
    ExceedQuotas,
    /// Sends all attempts to the server that started last.
    OverloadColdServer,
    /// Answers each rejected request twice.
    AnswerTwice,
    /// Sends non-idempotent requests to two servers.
    RunTwice,
    /// Suppresses the rejections and failures of the decision library.
    NeverAnswer,
    /// Sends an attempt after the rejection.
    SendLate,
    /// Sends attempts without their write deadlines.
    WriteLate,
}

/// An endpoint, and the time at which the gateway received it.
#[derive(Clone, Copy)]
struct KnownEndpoint {
    endpoint: Endpoint,
    received_at: Timestamp,
}

/// The decision library, with some of its actions replaced.
pub(crate) struct DefectiveModule {
    gateway: Gateway,
    settings: Settings,
    defect: Defect,
    known_endpoints: BTreeMap<ServerId, KnownEndpoint>,
    classes: BTreeMap<RequestId, ClassId>,
    /// Requests that were sent although the decision library rejected them; the library no longer
    /// knows them.
    sent_after_rejection: BTreeSet<RequestId>,
}

impl DefectiveModule {
    pub(crate) fn new(gateway: Gateway, settings: Settings, defect: Defect) -> DefectiveModule {
        DefectiveModule {
            gateway,
            settings,
            defect,
            known_endpoints: BTreeMap::new(),
            classes: BTreeMap::new(),
            sent_after_rejection: BTreeSet::new(),
        }
    }

    fn observe(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::EndpointsUpdated { endpoints, .. } => {
                for endpoint in endpoints {
                    let known = KnownEndpoint {
                        endpoint: *endpoint,
                        received_at: now,
                    };
                    self.known_endpoints.insert(endpoint.server, known);
                }
            }
            Event::RequestReceived { id, class, .. } => {
                self.classes.insert(id.clone(), *class);
            }
            _ => {}
        }
    }

    fn endpoints_in_state(&self, state: EndpointState) -> impl Iterator<Item = &KnownEndpoint> {
        self.known_endpoints
            .values()
            .filter(move |known| known.endpoint.state == state)
    }

    fn ready_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.endpoints_in_state(EndpointState::Ready)
            .map(|known| known.endpoint.server)
    }

    /// Returns the server that replaces the decision library's choice for an attempt, if any.
    fn misrouted_server(&self, now: Timestamp) -> Option<ServerId> {
        let known = match self.defect {
            Defect::SendToDrained => {
                let mut draining = self.endpoints_in_state(EndpointState::Draining);
                draining.find(|known| known.received_at + Duration::from_millis(600) < now)
            }
            Defect::OverloadColdServer => {
                let newest = self
                    .endpoints_in_state(EndpointState::Ready)
                    .max_by_key(|known| known.endpoint.started_at);
                newest.filter(|known| known.endpoint.started_at.is_some())
            }
            _ => None,
        };
        known.map(|known| known.endpoint.server)
    }

    fn idempotency(&self, id: &RequestId) -> Option<Idempotency> {
        let class = self.classes.get(id)?;
        Some(self.settings.classes[class.0].idempotency)
    }

    fn replace_action(&mut self, now: Timestamp, action: Action, actions_out: &mut Vec<Action>) {
        match (self.defect, action) {
            (
                Defect::SendToDrained | Defect::OverloadColdServer,
                Action::SendAttempt {
                    id,
                    server,
                    timeout,
                    write_deadline,
                },
            ) => {
                let server = self.misrouted_server(now).unwrap_or(server);
                actions_out.push(Action::SendAttempt {
                    id,
                    server,
                    timeout,
                    write_deadline,
                });
            }
            (Defect::ExceedQuotas, Action::Reject { id, .. }) => {
                actions_out.push(self.send_rejected(now, id));
            }
            (Defect::AnswerTwice, reject @ Action::Reject { .. }) => {
                actions_out.extend([reject.clone(), reject]);
            }
            (Defect::RunTwice, attempt @ Action::SendAttempt { .. }) => {
                let second = self.second_attempt(&attempt);
                actions_out.push(attempt);
                actions_out.extend(second);
            }
            (
                Defect::WriteLate,
                Action::SendAttempt {
                    id,
                    server,
                    timeout,
                    write_deadline: _,
                },
            ) => actions_out.push(Action::SendAttempt {
                id,
                server,
                timeout,
                write_deadline: None,
            }),
            (Defect::NeverAnswer, Action::Reject { .. } | Action::Fail { .. }) => {}
            (Defect::SendLate, reject @ Action::Reject { .. }) => {
                let attempt = self.attempt_after(&reject);
                actions_out.push(reject);
                actions_out.extend(attempt);
            }
            (_, action) => actions_out.push(action),
        }
    }

    /// Returns an attempt that replaces a rejection, and records the request as sent.
    fn send_rejected(&mut self, now: Timestamp, id: RequestId) -> Action {
        let ready: Vec<_> = self.ready_servers().collect();
        let server = ready[now.as_micros() as usize % ready.len()];
        self.sent_after_rejection.insert(id.clone());
        Action::SendAttempt {
            id,
            server,
            timeout: None,
            write_deadline: None,
        }
    }

    /// Returns the same attempt at another ready server, if the request is non-idempotent.
    fn second_attempt(&self, attempt: &Action) -> Option<Action> {
        let Action::SendAttempt {
            id,
            server,
            timeout,
            write_deadline,
        } = attempt
        else {
            return None;
        };
        let other = self.ready_servers().find(|other| other != server)?;
        let is_sent_twice = self.idempotency(id) == Some(Idempotency::NonIdempotent);
        is_sent_twice.then(|| Action::SendAttempt {
            id: id.clone(),
            server: other,
            timeout: *timeout,
            write_deadline: *write_deadline,
        })
    }

    /// Returns an attempt of a request that has just been rejected.
    fn attempt_after(&self, reject: &Action) -> Option<Action> {
        let Action::Reject { id, .. } = reject else {
            return None;
        };
        let server = self.ready_servers().next()?;
        Some(Action::SendAttempt {
            id: id.clone(),
            server,
            timeout: None,
            write_deadline: None,
        })
    }
}

impl DecisionModule for DefectiveModule {
    fn handle(&mut self, now: Timestamp, event: Event, actions_out: &mut Vec<Action>) {
        self.observe(now, &event);
        if let Event::AttemptFinished { id, closed, .. } = &event {
            if self.sent_after_rejection.remove(id) && !closed {
                actions_out.push(Action::Fail { id: id.clone() });
            }
        }
        let mut actions = Vec::new();
        self.gateway.handle(now, event, &mut actions);
        for action in actions {
            self.replace_action(now, action, actions_out);
        }
    }
}
