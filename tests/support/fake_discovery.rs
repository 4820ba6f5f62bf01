//! A stand-in for the agent of discovery, and lists in its form.

use super::http::Message;
use super::PATIENCE;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;

/// An agent of discovery. Watches come to the test, which writes to them.
pub(crate) struct Discovery {
    pub(crate) address: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
    /// The list with which it begins each watch, if it answers at once.
    held: Arc<Mutex<Option<String>>>,
}

/// How the answer to a watch begins.
pub(crate) const WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Discovery {
    /// One that holds a list of these servers, version 1.
    pub(crate) fn start(hosts: &[String]) -> Discovery {
        Discovery::of(Some(list(1, true, hosts)))
    }

    /// One that says nothing: what comes on a watch, to the head of its answer, is for the test to write.
    pub(crate) fn mute() -> Discovery {
        Discovery::of(None)
    }

    /// One that comes back at its old address, with a list that it holds.
    pub(crate) fn back(address: SocketAddr, list: String) -> Discovery {
        Discovery::on(TcpListener::bind(address).expect("its port"), Some(list))
    }

    fn of(held: Option<String>) -> Discovery {
        Discovery::on(TcpListener::bind("127.0.0.1:0").expect("a port"), held)
    }

    fn on(listener: TcpListener, held: Option<String>) -> Discovery {
        let address = listener.local_addr().expect("an address");
        let (tell, watches) = mpsc::channel();
        let held = Arc::new(Mutex::new(held));
        let holds = Arc::clone(&held);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let Some(head) = Message::read(&mut BufReader::new(stream.try_clone().expect("a clone")))
                else {
                    continue;
                };
                if let Some(list) = &*holds.lock().expect("no panic") {
                    // The edge node may have left.
                    let _ = stream.write_all(format!("{WATCH}{}", line(list)).as_bytes());
                }
                // The test may have ended.
                let _ = tell.send((head.start, stream));
            }
        });
        Discovery { address, watches, held }
    }

    /// From now on it begins each watch with this list.
    pub(crate) fn holds(&self, list: String) {
        *self.held.lock().expect("no panic") = Some(list);
    }

    /// The next watch that the edge node opens: how it was asked for, and where to write.
    pub(crate) fn watch(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(PATIENCE).expect("a watch is opened")
    }

    /// How many watches have been opened that nobody looked at.
    pub(crate) fn further(&self) -> usize {
        self.watches.try_iter().count()
    }
}

/// A line of a watch, as a chunk.
pub(crate) fn line(list: &str) -> String {
    format!("{:x}\r\n{list}\n\r\n", list.len() + 1)
}

pub(crate) fn write_list(watch: &mut TcpStream, list: &str) {
    watch.write_all(line(list).as_bytes()).expect("the watch is open");
}

/// An entry of the list, in discovery's form.
pub(crate) fn host(name: &str, dial: SocketAddr, block: u32, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"k","block":{block},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

pub(crate) fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}
