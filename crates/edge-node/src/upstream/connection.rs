//! One HTTP/1.1 connection to a server.

use super::connect_error::ConnectError;
use super::instance::ServerInstance;
use super::socket::{
    ObservedStream, OpenSocketGuard, RequestWrites, SharedReadBuffer, SharedStream,
};
use super::surplus::{Surplus, CLASSIFIED_BYTES};
use crate::memory::{
    MemoryBudget, MemoryExhausted, MemoryReservation, ReadBufferMemory, MAX_HEAD_BYTES,
};
use crate::socket_io::SocketIo;
use bytes::Bytes;
use gateway_core::RequestId;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use std::cell::RefCell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Length of the head of a request that does not count, because it is part of what is reserved for
/// every connection.
const UNCOUNTED_HEAD_BYTES: usize = 1024;

/// A connection that carries one request at a time and stays in a pool between requests.
///
/// A task, the driver, owns the socket. The owner of the connection ends it with
/// [`close`](Self::close) or [`close_in_background`](Self::close_in_background). If the connection
/// is dropped instead, for example with the future of an attempt, hyper detects that the sender is
/// gone and ends the driver, which closes the socket.
pub(super) struct PooledConnection {
    instance: ServerInstance,
    /// Weak, so that the socket is closed as soon as the driver ends.
    stream: Weak<RefCell<SocketIo>>,
    sender: SendRequest<Full<Bytes>>,
    /// Returns what was received and belongs to no response, once the connection has ended.
    driver: JoinHandle<Surplus>,
    /// What was written since the last [`begin_request`](Self::begin_request).
    writes: Rc<RequestWrites>,
    read_buffer: SharedReadBuffer,
    /// Memory of the buffer in which hyper writes heads.
    write_buffer: MemoryReservation,
    idle_since: Instant,
    /// Whether bytes were received that belong to no response.
    has_surplus: bool,
    /// Id of the last request that was answered on this connection.
    last_answered: Option<RequestId>,
}

impl PooledConnection {
    /// Connects to a server. Heads of responses count against `head_memory`. Dropping the future closes the socket, then releases its guard.
    ///
    /// # Errors
    /// Returns an error if the connection is refused, is not established within `connect_timeout`,
    /// or lacks local resources.
    pub(super) async fn open(
        instance: ServerInstance,
        connect_timeout: Duration,
        head_memory: &MemoryBudget,
        guard: OpenSocketGuard,
    ) -> Result<PooledConnection, ConnectError> {
        let stream = connect_tcp(instance.address, connect_timeout).await?;
        let stream = Rc::new(RefCell::new(SocketIo::new(stream)));
        PooledConnection::handshake(instance, stream, head_memory, guard).await
    }

    async fn handshake(
        instance: ServerInstance,
        stream: SharedStream,
        head_memory: &MemoryBudget,
        guard: OpenSocketGuard,
    ) -> Result<PooledConnection, ConnectError> {
        let writes = Rc::<RequestWrites>::default();
        let read_buffer = Rc::new(RefCell::new(ReadBufferMemory::new(head_memory)));
        let weak_stream = Rc::downgrade(&stream);
        let io = ObservedStream::new(stream, Rc::clone(&writes), Rc::clone(&read_buffer), guard);
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io)
            .await;
        let (sender, connection) = handshake.map_err(ConnectError::Handshake)?;
        let driver = tokio::task::spawn_local(drive(connection));
        Ok(PooledConnection {
            instance,
            stream: weak_stream,
            sender,
            driver,
            writes,
            read_buffer,
            write_buffer: head_memory.reservation(),
            idle_since: Instant::now(),
            has_surplus: false,
            last_answered: None,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.instance.address
    }

    /// Returns the process to which the connection was opened.
    pub(super) fn instance(&self) -> ServerInstance {
        self.instance
    }

    /// Closes the socket and returns once it is closed. If the future is dropped, the socket is
    /// closed in a later turn of the runtime.
    pub(super) async fn close(self) {
        self.driver.abort();
        // A driver that has ended has closed the socket, and its result may have been taken.
        if !self.driver.is_finished() {
            let _ = self.driver.await;
        }
    }

    /// Closes the socket in a later turn of the runtime.
    pub(super) fn close_in_background(self) {
        self.driver.abort();
    }

    /// Returns whether the connection may carry another request: the server has neither closed it, as
    /// far as hyper has detected it, nor sent surplus bytes.
    pub(super) fn is_reusable(&self) -> bool {
        !self.sender.is_closed() && !self.has_surplus
    }

    /// Returns whether the connection can take a request and has been idle for less than
    /// `idle_timeout`.
    pub(super) fn is_fresh(&self, idle_timeout: Duration) -> bool {
        let can_send = self.sender.is_ready() && !self.sender.is_closed();
        can_send && self.idle_time() < idle_timeout
    }

    /// Returns whether neither data nor the end of the stream has been received since the last
    /// response. Data in the socket would be read as the response to the next request.
    pub(super) fn has_received_nothing(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return false;
        };
        let has_received_nothing = stream.borrow().has_unread_bytes().is_none();
        has_received_nothing
    }

    /// Returns what the server has sent beyond the response that was read last, as far as it has
    /// arrived. A connection with such bytes is not reusable afterwards.
    ///
    /// hyper looks for surplus bytes in the same poll in which it completes a response, and ends the
    /// connection if it finds some.
    pub(super) async fn take_surplus(&mut self) -> Surplus {
        let surplus = if self.sender.is_closed() {
            // The driver is aborted only by the owner of the connection, which waits here.
            (&mut self.driver).await.unwrap_or(Surplus::Unknown)
        } else {
            let stream = self.stream.upgrade();
            stream.map_or(Surplus::Nothing, |stream| take_unread(&stream.borrow()))
        };
        self.has_surplus |= surplus != Surplus::Nothing;
        surplus
    }

    /// Returns how long the connection has been idle.
    pub(super) fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns the time at which the connection became idle.
    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Records that the connection is idle from now on.
    pub(super) fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Clears the record of written bytes before the next request. No byte of that request is
    /// written after `write_deadline`; [`send`](Self::send) then fails. `head_bytes` is the length of
    /// the parts of its head that may be long: hyper keeps the memory to write the longest head.
    ///
    /// # Errors
    /// Returns an error if there is no memory to write the head.
    pub(super) fn begin_request(
        &mut self,
        write_deadline: Option<Instant>,
        head_bytes: usize,
    ) -> Result<(), MemoryExhausted> {
        let counted_bytes = head_bytes.saturating_sub(UNCOUNTED_HEAD_BYTES);
        self.write_buffer.grow_to(counted_bytes)?;
        self.writes.begin_request(write_deadline);
        self.read_buffer.borrow_mut().begin_message();
        Ok(())
    }

    /// Returns whether any byte was written since the last [`begin_request`](Self::begin_request).
    pub(super) fn has_written(&self) -> bool {
        self.writes.has_written()
    }

    /// Returns whether a part of the request was not written because its write deadline had passed.
    pub(super) fn has_missed_write_deadline(&self) -> bool {
        self.writes.has_missed_deadline()
    }

    pub(super) fn last_answered(&self) -> Option<&RequestId> {
        self.last_answered.as_ref()
    }

    /// Records the id of the last request that was answered on this connection.
    pub(super) fn set_last_answered(&mut self, id: RequestId) {
        self.last_answered = Some(id);
    }

    /// Sends a request and returns the head of its response. If the future is dropped, the
    /// connection must not be used again: the response would be read as that of the next request.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }
}

/// Runs a connection until it ends. Returns what was received and belongs to no response.
async fn drive(mut connection: Connection<ObservedStream, Full<Bytes>>) -> Surplus {
    // An error of the connection is also reported to the exchange that it interrupts.
    let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
    let parts = connection.into_parts();
    match Surplus::classify(&parts.read_buf) {
        Surplus::Nothing => take_unread(&parts.io.socket()),
        surplus => surplus,
    }
}

/// Takes and classifies bytes that the operating system has received and nothing has read yet.
fn take_unread(stream: &SocketIo) -> Surplus {
    if !stream.has_unread_bytes().unwrap_or(false) {
        return Surplus::Nothing;
    }
    let mut bytes = [0; CLASSIFIED_BYTES];
    let length = stream.read_received(&mut bytes).unwrap_or(0);
    Surplus::classify(&bytes[..length])
}

async fn connect_tcp(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ConnectError> {
    let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_elapsed| ConnectError::TimedOut)??;
    // Without this option, the second segment of a request would wait for the acknowledgement of
    // the first. The connection also works without the option, so an error is ignored.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}
