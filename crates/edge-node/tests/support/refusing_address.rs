//! Addresses that refuse connections.

use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Maximum number of connections that wait to be accepted by the listener.
const BACKLOG: i32 = 128;

/// An address that refuses connections. A socket is bound to it, so no other process can bind it in
/// the meantime.
pub(crate) struct RefusingAddress {
    pub(crate) address: SocketAddr,
    socket: Socket,
}

impl RefusingAddress {
    /// Reserves a free port on loopback.
    pub(crate) fn reserve() -> RefusingAddress {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket is created");
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&any_port.into()).expect("free port");
        let address = socket.local_addr().expect("local address").as_socket();
        RefusingAddress {
            address: address.expect("IP address"),
            socket,
        }
    }

    /// Starts to accept connections. Returns the listener.
    pub(crate) fn listen(self) -> TcpListener {
        self.listen_with_backlog(BACKLOG)
    }

    /// Starts to accept connections, of which at most `backlog` + 1 wait to be accepted. Returns
    /// the listener.
    pub(super) fn listen_with_backlog(self, backlog: i32) -> TcpListener {
        self.socket.listen(backlog).expect("socket listens");
        TcpListener::from(self.socket)
    }
}
