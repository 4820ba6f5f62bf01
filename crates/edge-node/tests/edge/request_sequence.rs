//! A client that sends requests one after the other, so that a test sees which server receives
//! each.

use super::support::*;

/// Requests that one client sends one after the other, to observe which server receives each.
pub(super) struct RequestSequence<'a> {
    servers: &'a FakeServers,
    client: Client,
    sent: usize,
}

impl<'a> RequestSequence<'a> {
    /// Connects a new client to the edge node.
    pub(super) fn new(node: &EdgeNode, servers: &'a FakeServers) -> RequestSequence<'a> {
        RequestSequence {
            servers,
            client: node.client(),
            sent: 0,
        }
    }

    /// Sends a request, which has to succeed. Returns the name of the server that received it.
    pub(super) fn next_server(&mut self) -> String {
        self.sent += 1;
        let request = request_text(&format!("r{}", self.sent), "read", "20000m");
        assert_eq!(self.client.exchange(&request).status(), 200);
        self.servers.next_request().server
    }

    /// Sends requests until ten have arrived at this server. Fails if, after the first of them, a
    /// request arrives at another server.
    pub(super) fn wait_until_received_by(&mut self, name: &str) {
        let mut received = 0;
        while received < 10 {
            let server = self.next_server();
            assert!(received == 0 || server == name, "{server} after {name}");
            received += u32::from(server == name);
        }
    }
}
