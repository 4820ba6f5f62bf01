//! A fake discovery agent, and endpoint lists in the JSON format of discovery.

use super::http::HttpMessage;
use super::pieces::Pieces;
use super::refusing_address::RefusingAddress;
use super::TEST_TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The head of the response to a watch.
pub(crate) const WATCH_RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A watch that the edge node has opened: its request line and the connection on which to respond.
type OpenedWatch = (String, TcpStream);

/// The list that each new watch is sent first; `None` if the test writes the whole response.
type InitialList = Arc<Mutex<Option<String>>>;

/// How slowly an agent sends the initial list on each watch.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListPace {
    /// The list is sent at once.
    Immediate,
    /// The head of the response and the list are sent after this time.
    Late(Duration),
    /// The head of the response and the list are sent in pieces.
    InPieces(Pieces),
}

impl ListPace {
    /// Sends the response to a watch up to the end of its initial list. Ignores errors, because the
    /// edge node may have closed the connection.
    fn send(self, stream: &mut TcpStream, response: &[u8]) {
        let _ = match self {
            ListPace::Immediate => stream.write_all(response),
            ListPace::Late(delay) => {
                thread::sleep(delay);
                stream.write_all(response)
            }
            ListPace::InPieces(pieces) => pieces.write(stream, response),
        };
    }
}

/// A fake discovery agent. It hands each opened watch to the test, which writes the rest of the
/// response.
pub(crate) struct FakeDiscovery {
    /// Address on which the agent listens.
    pub(crate) address: SocketAddr,
    watches: Receiver<OpenedWatch>,
    initial_list: InitialList,
    pace: Arc<Mutex<ListPace>>,
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
        let pace = Arc::new(Mutex::new(ListPace::Immediate));
        let agent = Agent {
            initial_list: Arc::clone(&initial_list),
            pace: Arc::clone(&pace),
            watch_sender,
        };
        thread::spawn(move || agent.accept_watches(&listener));
        FakeDiscovery {
            address,
            watches,
            initial_list,
            pace,
        }
    }

    /// Sets how slowly the initial list is sent on the watches that are accepted from now on.
    pub(crate) fn set_pace(&self, pace: ListPace) {
        *self.pace.lock().expect("mutex is not poisoned") = pace;
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

/// The side of a fake agent that accepts watches.
struct Agent {
    initial_list: InitialList,
    pace: Arc<Mutex<ListPace>>,
    watch_sender: Sender<OpenedWatch>,
}

impl Agent {
    /// Accepts watches one after another until the process ends.
    fn accept_watches(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().expect("socket is cloned"));
            let Some(request) = HttpMessage::read(&mut reader) else {
                continue;
            };
            self.send_initial_list(&stream);
            // The receiver no longer exists if the test has ended.
            let _ = self.watch_sender.send((request.start_line, stream));
        }
    }

    /// Sends the initial list, if there is one; in a thread of its own unless it is sent at once.
    fn send_initial_list(&self, stream: &TcpStream) {
        let Some(list) = self
            .initial_list
            .lock()
            .expect("mutex is not poisoned")
            .clone()
        else {
            return;
        };
        let pace = *self.pace.lock().expect("mutex is not poisoned");
        let mut stream = stream.try_clone().expect("socket is cloned");
        let response = format!("{WATCH_RESPONSE_HEAD}{}", list_chunk(&list));
        match pace {
            ListPace::Immediate => pace.send(&mut stream, response.as_bytes()),
            _ => {
                thread::spawn(move || pace.send(&mut stream, response.as_bytes()));
            }
        }
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
