//! A stand-in for the agent of discovery, and lists in the form in which it sends them.

use super::http::HttpMessage;
use super::refusing_address::RefusingAddress;
use super::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// How the response to a watch begins.
pub(crate) const WATCH_RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A watch that the edge node has opened: its request line, and the connection to respond on.
type OpenedWatch = (String, TcpStream);

/// The list with which each watch begins; `None` leaves the whole response to the test.
type InitialList = Arc<Mutex<Option<String>>>;

/// An agent of discovery. The watches that are opened on it go to the test, which writes to them.
pub(crate) struct FakeDiscovery {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    watches: Receiver<OpenedWatch>,
    initial_list: InitialList,
}

impl FakeDiscovery {
    /// Starts one that has a snapshot of these servers, version 1.
    pub(crate) fn start(entries: &[String]) -> FakeDiscovery {
        FakeDiscovery::listen_anywhere(Some(endpoint_list(1, true, entries)))
    }

    /// Starts one that sends nothing by itself: the response to a watch, with its head, is for the
    /// test to write.
    pub(crate) fn silent() -> FakeDiscovery {
        FakeDiscovery::listen_anywhere(None)
    }

    /// Starts one at an address that has refused connections so far, with this list.
    pub(crate) fn start_at(address: RefusingAddress, list: String) -> FakeDiscovery {
        FakeDiscovery::listen(address.listen(), Some(list))
    }

    fn listen_anywhere(initial_list: Option<String>) -> FakeDiscovery {
        FakeDiscovery::listen(
            TcpListener::bind("127.0.0.1:0").expect("a port"),
            initial_list,
        )
    }

    fn listen(listener: TcpListener, initial_list: Option<String>) -> FakeDiscovery {
        let address = listener.local_addr().expect("an address");
        let (report, watches) = mpsc::channel();
        let initial_list = Arc::new(Mutex::new(initial_list));
        let served_list = Arc::clone(&initial_list);
        thread::spawn(move || accept_watches(&listener, &served_list, &report));
        FakeDiscovery {
            address,
            watches,
            initial_list,
        }
    }

    /// From now on each watch begins with this list.
    pub(crate) fn set_list(&self, list: String) {
        *self.initial_list.lock().expect("no panic") = Some(list);
    }

    /// Waits for the next watch that the edge node opens: its request line, and the connection to
    /// respond on.
    pub(crate) fn next_watch(&self) -> OpenedWatch {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("a watch is opened")
    }

    /// The last watch that the edge node has opened so far; waits for one if there is none.
    pub(crate) fn latest_watch(&self) -> OpenedWatch {
        let first = self.next_watch();
        self.watches.try_iter().last().unwrap_or(first)
    }

    /// How many watches have been opened that the test has not taken.
    pub(crate) fn unseen_watches(&self) -> usize {
        self.watches.try_iter().count()
    }
}

/// Accepts watches one after the other, for ever.
fn accept_watches(
    listener: &TcpListener,
    initial_list: &InitialList,
    report: &Sender<OpenedWatch>,
) {
    for mut stream in listener.incoming().flatten() {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        let Some(request) = HttpMessage::read(&mut reader) else {
            continue;
        };
        if let Some(list) = &*initial_list.lock().expect("no panic") {
            // The edge node may have closed the connection.
            let _ =
                stream.write_all(format!("{WATCH_RESPONSE_HEAD}{}", list_chunk(list)).as_bytes());
        }
        // The test may have ended.
        let _ = report.send((request.start_line, stream));
    }
}

/// A line of a watch, as a chunk of its response.
pub(crate) fn list_chunk(list: &str) -> String {
    format!("{:x}\r\n{list}\n\r\n", list.len() + 1)
}

/// Sends a line on a watch.
pub(crate) fn send_list(watch: &mut TcpStream, list: &str) {
    watch
        .write_all(list_chunk(list).as_bytes())
        .expect("the watch is open");
}

/// An entry of a list, in the form of discovery.
pub(crate) fn endpoint_entry(name: &str, address: SocketAddr, cell: u32, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"a","class":"k","block":{cell},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A list, in the form of discovery.
pub(crate) fn endpoint_list(sequence: u64, is_snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"seq":{sequence},"whole":{is_snapshot},"hosts":[{}]}}"#,
        entries.join(",")
    )
}
