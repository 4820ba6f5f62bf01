//! Tests how much of the memory of a connection depends on what its client sends.

use super::*;
use crate::memory::MAX_HEAD_BYTES;
use hyper::rt::ReadBuf as HyperReadBuf;
use std::future::Future;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Memory for what is read ahead.
const HEAD_MEMORY_BYTES: usize = 1024 * 1024;
/// Number of bytes that the client sends at once, which fit into the system's buffers.
const SENT_BYTES: usize = 16 * 1024;

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to build a runtime");
    runtime.block_on(test);
}

/// Returns a connection on which the client has sent [`SENT_BYTES`], and the client's side.
async fn connection_with_sent_bytes(head_memory: &MemoryBudget) -> (ReadAheadStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("failed to bind a port");
    let address = listener.local_addr().expect("the listener has no address");
    let mut client = TcpStream::connect(address)
        .await
        .expect("failed to connect");
    client
        .write_all(&[b'p'; SENT_BYTES])
        .await
        .expect("failed to send");
    let (accepted, _) = listener.accept().await.expect("failed to accept");
    (ReadAheadStream::new(accepted, head_memory), client)
}

/// Reads as hyper does, with a buffer that has room for everything. Returns the number of bytes.
async fn read(stream: &mut ReadAheadStream) -> usize {
    let mut buffer = vec![0; SENT_BYTES];
    let mut buffer = HyperReadBuf::new(&mut buffer);
    poll_fn(|context| Pin::new(&mut *stream).poll_read(context, buffer.unfilled()))
        .await
        .expect("failed to read");
    buffer.filled().len()
}

/// Reads until everything that the client has sent is read. Returns the length of the longest read.
async fn longest_read(stream: &mut ReadAheadStream) -> usize {
    let (mut total, mut longest) = (0, 0);
    while total < SENT_BYTES {
        let length = read(stream).await;
        total += length;
        longest = longest.max(length);
    }
    longest
}

/// Guards against connections that keep a read buffer of 32 KiB after a body has been received at
/// full speed.
#[test]
fn reads_are_shorter_than_read_buffer_of_hyper() {
    block_on(async {
        let (mut stream, _client) =
            connection_with_sent_bytes(&MemoryBudget::new(HEAD_MEMORY_BYTES)).await;
        assert!(longest_read(&mut stream).await <= MAX_READ_BYTES);
    });
}

/// Guards against connections that keep the memory of what was read ahead during a request.
#[test]
fn bytes_read_ahead_are_released_when_hyper_has_read_them() {
    block_on(async {
        let head_memory = MemoryBudget::new(HEAD_MEMORY_BYTES);
        let (mut stream, _client) = connection_with_sent_bytes(&head_memory).await;
        while stream.0.borrow().buffer.bytes().len() < SENT_BYTES {
            let client_close = stream.wait_for_client_close();
            let _ = tokio::time::timeout(Duration::from_millis(1), client_close).await;
        }
        assert!(longest_read(&mut stream).await <= MAX_READ_BYTES);
        // What is left is the read buffer of the HTTP server, for a head without end.
        let http_server_bytes = MAX_HEAD_BYTES - 2 * MAX_READ_BYTES;
        assert_eq!(head_memory.reserved_bytes(), http_server_bytes);
    });
}
