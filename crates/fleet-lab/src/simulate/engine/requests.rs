//! The clients' side of a request: its arrival, its final answer, and the client's retry.

use super::queue::SimulationEvent;
use super::state::OpenRequest;
use super::Engine;
use crate::world::client_request::{ClientError, ClientRequest};
use crate::world::final_answer::FinalAnswer;
use crate::world::invariant_checker::ANSWER_GRACE;
use crate::world::{RequestNumber, START};
use gateway_core::{Event, GatewayId, GatewaySet, RequestId, Units};
use std::time::Duration;

impl Engine<'_> {
    /// Schedules the next request of a customer, unless it would arrive after the end of the
    /// simulation.
    pub(super) fn schedule_next_arrival(&mut self, customer: usize) {
        let end = START + self.experiment.duration;
        let next = self.clients.next_arrival(self.now, customer);
        if let Some(at) = next.filter(|at| *at < end) {
            self.schedule(at, SimulationEvent::Arrival { customer });
        }
    }

    /// Sends a new request of a customer, and schedules the customer's next one.
    pub(super) fn on_arrival(&mut self, customer: usize) {
        let request = self.clients.new_request(self.now, customer);
        self.submit(request);
        self.schedule_next_arrival(customer);
    }

    /// Receives a client's request at the front end, which forwards it to a gateway.
    pub(super) fn submit(&mut self, request: ClientRequest) {
        let Some(gateway) = self.pick_gateway(&request) else {
            self.checker.gateway_unreachable(self.now, &request);
            self.schedule_retry(&request, ClientError::Unreachable);
            return;
        };
        let client_timeout = self.clients.draw_timeout(self.now, &request);
        let deadline = self.now + client_timeout;
        let number = self.checker.request_arrived(self.now, request.clone());
        self.schedule(
            deadline + ANSWER_GRACE,
            SimulationEvent::AnswerOverdue(number),
        );
        if let Some(at) = request.disconnect_at.filter(|at| *at < deadline) {
            self.schedule(at, SimulationEvent::ClientDisconnects(number));
        }
        let event = self.request_event(number, &request, client_timeout);
        let run = self.current_run(gateway);
        let attempts = Vec::new();
        let open = OpenRequest {
            run,
            request,
            deadline,
            is_answered: false,
            attempts,
        };
        self.open_requests.insert(number, open);
        self.deliver_event(gateway, event);
    }

    /// Picks the gateway for a request; `None` if the front end knows that all gateways of the
    /// customer are down, or picks a gateway that is down but not yet known to be down.
    fn pick_gateway(&mut self, request: &ClientRequest) -> Option<GatewayId> {
        let (now, gateways) = (self.now, &self.gateways);
        let is_known_down = |id: GatewayId| {
            let gateway = &gateways[id.0 as usize];
            !gateway.is_up() && gateway.down_noticed_at <= now
        };
        let gateway =
            self.clients
                .pick_gateway(now, request, gateways.len() as u32, is_known_down)?;
        self.gateway(gateway).is_up().then_some(gateway)
    }

    fn request_event(
        &self,
        number: RequestNumber,
        request: &ClientRequest,
        client_timeout: Duration,
    ) -> Event {
        let customer = &self.clients.customers[request.customer];
        Event::RequestReceived {
            id: number.id(),
            class: request.class,
            plan: customer.plan,
            customer: customer.id,
            units: Units::new(request.estimated_units),
            gateways: GatewaySet {
                first: customer.first_gateway,
                count: customer.gateway_count,
            },
            client_timeout,
        }
    }

    /// Schedules the retry of a client after an error, if the client retries.
    pub(super) fn schedule_retry(&mut self, request: &ClientRequest, error: ClientError) {
        if let Some(retry) = self.clients.retry(self.now, request, error) {
            self.schedule(retry.at, SimulationEvent::Retry(Box::new(retry.request)));
        }
    }

    /// Records a gateway's rejection or failure of a request, and schedules the client's retry.
    pub(super) fn answer(&mut self, id: &RequestId, answer: FinalAnswer, error: ClientError) {
        let number = RequestNumber::parse(id).unwrap_or(RequestNumber::UNKNOWN);
        if !self.checker.answered(self.now, number, answer) {
            return;
        }
        let Some(open) = self.open_requests.get_mut(&number) else {
            return;
        };
        open.is_answered = true;
        let request = open.request.clone();
        self.remove_if_finished(number);
        self.schedule_retry(&request, error);
    }

    /// Disconnects a client, unless its request has already ended.
    pub(super) fn on_client_disconnect(&mut self, number: RequestNumber) {
        if self.checker.client_disconnected(self.now, number) {
            self.abandon(number);
        }
    }

    /// Abandons a request that has no final answer in time.
    pub(super) fn on_answer_overdue(&mut self, number: RequestNumber) {
        if self.checker.answer_overdue(self.now, number) {
            self.abandon(number);
        }
    }

    /// Marks a request as abandoned by its client, and tells the gateway.
    fn abandon(&mut self, number: RequestNumber) {
        let Some(open) = self.open_requests.get_mut(&number) else {
            return;
        };
        open.is_answered = true;
        let run = open.run;
        self.remove_if_finished(number);
        if self.is_current_run(run) {
            self.deliver_event(run.gateway, Event::ClientDisconnected { id: number.id() });
        }
    }

    /// Fails all requests that were open at a gateway that was killed.
    pub(super) fn fail_requests_of(&mut self, gateway: GatewayId) {
        let is_open = |open: &OpenRequest| open.run.gateway == gateway && !open.is_answered;
        let requests = self.open_requests.iter();
        let requests = requests.filter(|(_, open)| is_open(open));
        let numbers: Vec<RequestNumber> = requests.map(|(number, _)| *number).collect();
        for number in numbers {
            self.checker.gateway_killed(self.now, number);
            let Some(open) = self.open_requests.get_mut(&number) else {
                continue;
            };
            open.is_answered = true;
            let request = open.request.clone();
            self.remove_if_finished(number);
            self.schedule_retry(&request, ClientError::Failed);
        }
    }

    /// Removes a request that has ended and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, number: RequestNumber) {
        if self
            .open_requests
            .get(&number)
            .is_some_and(OpenRequest::is_finished)
        {
            self.open_requests.remove(&number);
        }
    }
}
