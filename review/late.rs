//! A stand-in for a loan server whose connections come up late. Its listener's queue is kept full,
//! so that the first packet of each new connection is dropped. The stand-in then opens the
//! connection from its side after the given time (both sides open the same connection, as TCP
//! allows), before the other side would send its packet again after 1 s.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn bind(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_REUSEADDR: i32 = 2;
const SO_REUSEPORT: i32 = 15;
/// State of a connection in /proc/net/tcp whose first packet has not been answered.
const SYN_SENT: &str = "02";

fn address(port: u16) -> SockAddrIn {
    SockAddrIn {
        family: AF_INET as u16,
        port: port.to_be(),
        address: u32::from(Ipv4Addr::LOCALHOST).to_be(),
        zero: [0; 8],
    }
}

/// Returns a socket that is bound to a loopback port, which several sockets may share.
fn bound_socket(port: u16) -> Option<i32> {
    // SAFETY: plain calls of the C library with valid pointers.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        for option in [SO_REUSEADDR, SO_REUSEPORT] {
            setsockopt(fd, SOL_SOCKET, option, &1, 4);
        }
        (fd >= 0 && bind(fd, &address(port), 16) == 0).then_some(fd)
    }
}

/// A listener whose queue is full, and the connection that fills it.
pub struct LateListener {
    pub address: SocketAddr,
    _listener: TcpListener,
    _filler: TcpStream,
}

impl LateListener {
    pub fn open() -> Option<LateListener> {
        let fd = bound_socket(0)?;
        // SAFETY: the descriptor is a new socket that nothing else owns.
        let listener = unsafe {
            listen(fd, 0);
            TcpListener::from_raw_fd(fd)
        };
        let address = listener.local_addr().ok()?;
        let filler = TcpStream::connect(address).ok()?;
        Some(LateListener {
            address,
            _listener: listener,
            _filler: filler,
        })
    }

    /// Waits for new connections for a while, and lets each come up `after` its first packet.
    pub fn open_late(self, wait: Duration, after: Duration, serve: impl Fn(TcpStream) + Send + Sync + Clone + 'static) {
        thread::spawn(move || {
            let mut seen = Vec::new();
            // Keeps the listener open while connections are awaited.
            let open = self;
            let port = open.address.port();
            let end = Instant::now() + wait;
            while Instant::now() < end {
                for peer in waiting_peers(port) {
                    if seen.contains(&peer) {
                        continue;
                    }
                    seen.push(peer);
                    let serve = serve.clone();
                    let at = Instant::now() + after;
                    thread::spawn(move || {
                        thread::sleep(at.saturating_duration_since(Instant::now()));
                        let Some(fd) = bound_socket(port) else { return };
                        // SAFETY: as above; the descriptor is passed on to the stream.
                        let stream = unsafe {
                            if connect(fd, &address(peer), 16) != 0 {
                                drop(TcpStream::from_raw_fd(fd));
                                return;
                            }
                            TcpStream::from_raw_fd(fd)
                        };
                        serve(stream);
                    });
                }
                thread::sleep(Duration::from_millis(4));
            }
        });
    }
}

/// Returns the ports of the connections to a loopback port whose first packet was not answered.
fn waiting_peers(port: u16) -> Vec<u16> {
    let text = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let remote = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let remote = format!("{:08X}:{:04X}", u32::from(*remote.ip()).to_be(), remote.port());
    let lines = text.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines
        .filter(|fields| fields.len() > 3 && fields[2] == remote && fields[3] == SYN_SENT)
        .filter_map(|fields| u16::from_str_radix(fields[1].split_once(':')?.1, 16).ok())
        .collect()
}
