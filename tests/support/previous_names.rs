//! The harness under the names that it had before, for the test files that still use them. To be deleted with the last
//! of these uses.
#![allow(non_snake_case, non_upper_case_globals)]

use super::{Client, EdgeNode, FakeDiscovery, FakeServers, HttpMessage, ReceivedRequest, ServerBehavior};
use std::net::{SocketAddr, TcpStream};

pub(crate) use super::client::request_text as request;
pub(crate) use super::fake_discovery::{
    endpoint_entry as host, endpoint_list as list, send_list as write_list,
};
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

    /// See [`FakeServers::unseen_requests`].
    pub(crate) fn all_that_came(&self) -> Vec<ReceivedRequest> {
        self.unseen_requests()
    }

    /// See [`FakeServers::assert_no_more_requests`].
    pub(crate) fn got_no_more(&self) {
        self.assert_no_more_requests();
    }
}

impl FakeDiscovery {
    /// See [`FakeDiscovery::restart_at`].
    pub(crate) fn back(address: SocketAddr, list: String) -> FakeDiscovery {
        FakeDiscovery::restart_at(address, list)
    }

    /// See [`FakeDiscovery::next_watch`].
    pub(crate) fn watch(&self) -> (String, TcpStream) {
        self.next_watch()
    }
}

impl EdgeNode {
    /// See [`EdgeNode::start_with`].
    pub(crate) fn with(
        tag: &str, discovery: SocketAddr, entries: &[String], edit: impl FnOnce(String) -> String,
    ) -> EdgeNode {
        EdgeNode::start_with(tag, discovery, entries, edit)
    }

    /// See [`EdgeNode::start_with_descriptor_limit`].
    pub(crate) fn with_sockets(
        tag: &str, discovery: SocketAddr, entries: &[String], descriptors: usize,
    ) -> EdgeNode {
        EdgeNode::start_with_descriptor_limit(tag, discovery, entries, descriptors)
    }

    /// See [`EdgeNode::suspend`].
    pub(crate) fn stop(&self) {
        self.suspend();
    }

    /// See [`EdgeNode::resume`].
    pub(crate) fn go_on(&self) {
        self.resume();
    }
}

impl Client {
    /// See [`Client::new`].
    pub(crate) fn on(stream: TcpStream) -> Client {
        Client::new(stream)
    }

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

    /// See [`Client::close`].
    pub(crate) fn leave(self) {
        self.close();
    }

    /// See [`Client::assert_closed`].
    pub(crate) fn ends(&mut self) {
        self.assert_closed();
    }
}
