//! A fake discovery agent, and endpoint lists in the JSON format of discovery.

use super::http::HttpMessage;
use super::refusing_address::RefusingAddress;
use super::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// The head of the response to a watch.
pub(crate) const WATCH_RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A watch that the edge node has opened: its request line and the connection on which to respond.
type OpenedWatch = (String, TcpStream);

/// The list that each new watch is sent first; `None` if the test writes the whole response.
type InitialList = Arc<Mutex<Option<String>>>;

/// A fake discovery agent. It hands each opened watch to the test, which writes the rest of the
/// response.
pub(crate) struct FakeDiscovery {
    /// Address on which the agent listens.
    pub(crate) address: SocketAddr,
    watches: Receiver<OpenedWatch>,
    initial_list: InitialList,
}

impl FakeDiscovery {
    /// Starts an agent that has a snapshot of these servers with sequence number 1.
    pub(crate) fn start(entries: &[String]) -> FakeDiscovery {
        FakeDiscovery::listen_on_free_port(Some(endpoint_list(1, true, entries)))
    }

    /// Starts an agent that sends nothing by itself. The test writes the whole response to a watch,
    /// including its head.
    pub(crate) fn silent() -> FakeDiscovery {
        FakeDiscovery::listen_on_free_port(None)
    }

    /// Starts an agent with this list at an address that has refused connections until now.
    pub(crate) fn start_at(address: RefusingAddress, list: String) -> FakeDiscovery {
        FakeDiscovery::listen(address.listen(), Some(list))
    }

    fn listen_on_free_port(initial_list: Option<String>) -> FakeDiscovery {
        FakeDiscovery::listen(
            TcpListener::bind("127.0.0.1:0").expect("free port"),
            initial_list,
        )
    }

    fn listen(listener: TcpListener, initial_list: Option<String>) -> FakeDiscovery {
        let address = listener.local_addr().expect("local address");
        let (watch_sender, watches) = mpsc::channel();
        let initial_list = Arc::new(Mutex::new(initial_list));
        let served_list = Arc::clone(&initial_list);
        thread::spawn(move || accept_watches(&listener, &served_list, &watch_sender));
        FakeDiscovery {
            address,
            watches,
            initial_list,
        }
    }

    /// Sets the list that each new watch is sent first.
    pub(crate) fn set_list(&self, list: String) {
        *self.initial_list.lock().expect("mutex is not poisoned") = Some(list);
    }

    /// Waits for the next watch that the edge node opens and returns it.
    pub(crate) fn next_watch(&self) -> OpenedWatch {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("edge node opens a watch")
    }

    /// Returns the watch that the edge node opened last; waits for one if there is none.
    pub(crate) fn latest_watch(&self) -> OpenedWatch {
        let first = self.next_watch();
        self.watches.try_iter().last().unwrap_or(first)
    }

    /// Takes all watches that the test has not yet taken, and returns their number.
    pub(crate) fn unseen_watches(&self) -> usize {
        self.watches.try_iter().count()
    }
}

/// Accepts watches one after another until the process ends.
fn accept_watches(
    listener: &TcpListener,
    initial_list: &InitialList,
    watch_sender: &Sender<OpenedWatch>,
) {
    for mut stream in listener.incoming().flatten() {
        let mut reader = BufReader::new(stream.try_clone().expect("socket is cloned"));
        let Some(request) = HttpMessage::read(&mut reader) else {
            continue;
        };
        if let Some(list) = &*initial_list.lock().expect("mutex is not poisoned") {
            // The edge node may have closed the connection.
            let _ =
                stream.write_all(format!("{WATCH_RESPONSE_HEAD}{}", list_chunk(list)).as_bytes());
        }
        // The receiver no longer exists if the test has ended.
        let _ = watch_sender.send((request.start_line, stream));
    }
}

/// Returns a list on a line of its own, as a chunk of the response to a watch.
pub(crate) fn list_chunk(list: &str) -> String {
    format!("{:x}\r\n{list}\n\r\n", list.len() + 1)
}

/// Sends a list on a watch, on a line and in a chunk of its own.
pub(crate) fn send_list(watch: &mut TcpStream, list: &str) {
    watch
        .write_all(list_chunk(list).as_bytes())
        .expect("watch is open");
}

/// Returns an entry of an endpoint list in the JSON format of discovery.
pub(crate) fn endpoint_entry(name: &str, address: SocketAddr, cell: u32, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"a","class":"k","block":{cell},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// Returns an endpoint list in the JSON format of discovery.
pub(crate) fn endpoint_list(sequence: u64, is_snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"seq":{sequence},"whole":{is_snapshot},"hosts":[{}]}}"#,
        entries.join(",")
    )
}
