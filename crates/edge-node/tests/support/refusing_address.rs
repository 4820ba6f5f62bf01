//! Addresses at which nobody listens.

use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Connections that the operating system accepts before the listener does.
const BACKLOG: i32 = 128;

/// An address that refuses connections. It is bound, so that no other process can take it meanwhile.
pub(crate) struct RefusingAddress {
    /// The address.
    pub(crate) address: SocketAddr,
    socket: Socket,
}

impl RefusingAddress {
    /// Reserves a free port on loopback.
    pub(crate) fn reserve() -> RefusingAddress {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&any_port.into()).expect("a port");
        let address = socket.local_addr().expect("an address").as_socket();
        RefusingAddress {
            address: address.expect("an IP address"),
            socket,
        }
    }

    /// Accepts connections from now on.
    pub(crate) fn listen(self) -> TcpListener {
        self.socket.listen(BACKLOG).expect("it listens");
        TcpListener::from(self.socket)
    }
}
