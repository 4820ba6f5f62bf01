//! Addresses at which connections are not established until the test allows it.

use super::refusing_address::RefusingAddress;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A listener whose backlog is full. The operating system drops the first packet of each further
/// connection; its client repeats the packet after a second.
pub(crate) struct FullBacklog {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
    /// The connection that fills the backlog.
    _filler: TcpStream,
}

impl FullBacklog {
    /// Listens on a free port on loopback.
    pub(crate) fn listen() -> FullBacklog {
        let reserved = RefusingAddress::reserve();
        let address = reserved.address;
        let listener = reserved.listen_with_backlog(0);
        let filler = TcpStream::connect(address).expect("backlog has room for one connection");
        FullBacklog {
            address,
            listener,
            _filler: filler,
        }
    }

    /// Empties the backlog, so that the clients that wait are connected when they try again.
    /// Returns the listener.
    pub(crate) fn empty(self) -> TcpListener {
        self.listener.accept().expect("backlog has a connection");
        self.listener
    }
}
