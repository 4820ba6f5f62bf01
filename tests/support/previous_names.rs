//! The harness under the names that it had before, for the test file that still uses them. To be deleted with the last
//! of these uses.
#![allow(non_snake_case, non_upper_case_globals)]

use super::{Client, FakeServers, HttpMessage, ReceivedRequest, ServerBehavior};

pub(crate) use super::client::request_text as request;
pub(crate) use super::fake_discovery::endpoint_entry as host;
pub(crate) use super::fake_server::{is_closed_in_time as closed, RESPONDS_OK as SERVES};
pub(crate) use super::{
    EdgeNode as Node, FakeDiscovery as Discovery, FakeServers as Servers, HttpMessage as Message,
    ReceivedRequest as Got, ServerBehavior as Does, TEST_TIMEOUT as PATIENCE,
};

impl ServerBehavior {
    /// See [`ServerBehavior::NeverRespond`].
    pub(crate) const IsSilent: ServerBehavior = ServerBehavior::NeverRespond;

    /// See [`ServerBehavior::Respond`].
    pub(crate) const fn Answers(response: &'static str) -> ServerBehavior {
        ServerBehavior::Respond(response)
    }
}

impl FakeServers {
    /// See [`FakeServers::next_request`].
    pub(crate) fn next(&self) -> ReceivedRequest {
        self.next_request()
    }

    /// See [`FakeServers::assert_no_more_requests`].
    pub(crate) fn got_no_more(&self) {
        self.assert_no_more_requests();
    }
}

impl Client {
    /// See [`Client::send`].
    pub(crate) fn write(&mut self, text: &str) {
        self.send(text);
    }

    /// See [`Client::read_response`].
    pub(crate) fn answer(&mut self) -> Option<HttpMessage> {
        self.read_response()
    }

    /// See [`Client::exchange`].
    pub(crate) fn ask(&mut self, request: &str) -> HttpMessage {
        self.exchange(request)
    }
}
