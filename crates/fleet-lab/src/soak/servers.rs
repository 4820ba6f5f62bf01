//! Stand-ins of the loan servers.

use super::http::Message;
use super::records::{Attempt, Records};
use super::schedule::{Schedule, ServerFault};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Time that a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(15);

/// One stand-in. A removed server still answers, so that requests to it are seen.
pub(super) struct Server {
    pub(super) index: usize,
    pub(super) schedule: Schedule,
    pub(super) started_at: Instant,
    pub(super) records: Rc<Records>,
}

impl Server {
    /// Accepts connections until the task is aborted.
    pub(super) async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                let server = Rc::clone(&self);
                // An error means that the edge node has closed the connection.
                spawn_local(async move { server.serve_connection(stream).await.ok() });
            }
        }
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        while let Some(request) = Message::read(&mut stream).await {
            let id = request.header("x-request-id").to_owned();
            let fault = self.fault();
            self.records.attempt_arrived(&id, self.attempt(&request));
            match fault {
                Some(ServerFault::Hang) => std::future::pending().await,
                // Dropping the connection with nothing unread closes it without a response.
                Some(ServerFault::Reset) => {
                    sleep(WORK_TIME / 2).await;
                    return Ok(());
                }
                None => sleep(WORK_TIME).await,
            }
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
                id.len()
            );
            stream.write_all(response.as_bytes()).await?;
        }
        Ok(())
    }

    fn attempt(&self, request: &Message) -> Attempt {
        let told = request.header("x-deadline").trim_end_matches('m').parse();
        Attempt {
            server: self.index,
            at: request.first_byte_at,
            told_deadline: Duration::from_millis(told.unwrap_or(0)),
        }
    }

    fn fault(&self) -> Option<ServerFault> {
        let fault = self.schedule.server_fault?;
        let is_faulty = self.index % 2 == 1 && fault.span.contains(self.started_at.elapsed());
        is_faulty.then_some(fault.fault)
    }
}
