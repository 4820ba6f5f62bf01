//! A stand-in of the discovery agent, with an outage after which it answers slowly.

use super::http::Message;
use super::schedule::{OutageKind, Schedule, SERVER_COUNT};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Interval at which an open watch is served: changes are sent, and heartbeats when they are due.
const PUSH_INTERVAL: Duration = Duration::from_millis(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of pieces in which a slow list is written.
const PIECES: u32 = 5;
const INITIAL_SEQUENCE: u64 = 1;
const REMOVAL_SEQUENCE: u64 = 2;

/// The stand-in, with what it needs to know to answer.
pub(super) struct Discovery {
    pub(super) schedule: Schedule,
    pub(super) servers: Vec<SocketAddr>,
    pub(super) started_at: Instant,
}

impl Discovery {
    fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn is_down(&self) -> bool {
        self.schedule.outage.contains(self.elapsed())
    }

    fn is_slow(&self) -> bool {
        self.elapsed() >= self.schedule.outage.to
    }

    /// Accepts watches until the task is aborted.
    pub(super) async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if self.is_down() {
                match self.schedule.outage_kind {
                    OutageKind::Closing => continue,
                    OutageKind::NotAccepting => {
                        sleep_until(self.started_at + self.schedule.outage.to).await;
                    }
                    OutageKind::Silent => {}
                }
            }
            let discovery = Rc::clone(&self);
            // An error means that the edge node has closed the watch.
            spawn_local(async move { discovery.serve_watch(stream).await.ok() });
        }
    }

    async fn serve_watch(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        if Message::read(&mut stream).await.is_none() {
            return Ok(());
        }
        if self.is_down() {
            return self.end_in_outage(stream).await;
        }
        let mut sent_sequence = self.send_first_list(&mut stream).await?;
        let mut last_sent_at = Instant::now();
        loop {
            sleep(PUSH_INTERVAL).await;
            if self.is_down() {
                return self.end_in_outage(stream).await;
            }
            if self.sequence() > sent_sequence {
                sent_sequence = self.sequence();
                stream.write_all(chunk(&self.list()).as_bytes()).await?;
                last_sent_at = Instant::now();
            } else if last_sent_at.elapsed() >= HEARTBEAT_INTERVAL {
                stream.write_all(b"1\r\n\n\r\n").await?;
                last_sent_at = Instant::now();
            }
        }
    }

    /// Ends a watch that is open during the outage, or leaves it silent forever.
    async fn end_in_outage(&self, stream: TcpStream) -> std::io::Result<()> {
        if self.schedule.outage_kind == OutageKind::Closing {
            return Ok(());
        }
        std::future::pending::<()>().await;
        drop(stream);
        Ok(())
    }

    /// Sends the response head and the whole list. Returns the sequence number of that list, which
    /// may be outdated when its last piece is written.
    async fn send_first_list(&self, stream: &mut TcpStream) -> std::io::Result<u64> {
        if !self.is_slow() {
            let sequence = self.sequence();
            let response = format!("{RESPONSE_HEAD}{}", chunk(&self.list()));
            stream.write_all(response.as_bytes()).await?;
            return Ok(sequence);
        }
        sleep(self.schedule.latency).await;
        let sequence = self.sequence();
        let response = format!("{RESPONSE_HEAD}{}", chunk(&self.list()));
        let piece_bytes = response.len().div_ceil(PIECES as usize);
        for piece in response.as_bytes().chunks(piece_bytes) {
            stream.write_all(piece).await?;
            sleep(self.schedule.list_duration / PIECES).await;
        }
        Ok(sequence)
    }

    fn sequence(&self) -> u64 {
        if self.elapsed() < self.schedule.removal {
            INITIAL_SEQUENCE
        } else {
            REMOVAL_SEQUENCE
        }
    }

    /// Returns the whole list. The first half of the servers is missing after the removal.
    pub(super) fn list(&self) -> String {
        let is_listed =
            |index: &usize| self.sequence() == INITIAL_SEQUENCE || *index >= SERVER_COUNT / 2;
        let entries: Vec<String> = (0..SERVER_COUNT)
            .filter(is_listed)
            .map(|index| {
                let address = self.servers[index];
                format!(
                    r#"{{"host":"s-{index}","dial":"{address}","site":"a","class":"k","block":1,"health":"ready","share":1.0,"born_ms":0}}"#
                )
            })
            .collect();
        let sequence = self.sequence();
        format!(
            r#"{{"seq":{sequence},"whole":true,"hosts":[{}]}}"#,
            entries.join(",")
        )
    }
}

fn chunk(list: &str) -> String {
    format!("{:x}\r\n{list}\n\r\n", list.len() + 1)
}
