//! Discovery: a watch on the list of app servers, opened again whenever it ends, falls silent or can't be read.
//!
//! What the agent on this machine holds counts as told at once, whether or not a watch is open on it. So a watch
//! that fails is noticed, opened again and read well inside the time that a drain leaves. Each watch asks for the
//! whole list: its first word then comes at once or not at all, and no version is held against another watch's.

mod list_reader;

use crate::endpoint_list::List;
use crate::node::Node;
use anyhow::{anyhow, bail, ensure, Context, Result};
use bytes::Bytes;
use edge_node::reconnect::{Failure, Reconnect, Word};
use edge_node::EndpointUpdate;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use list_reader::{Piece, Pieces};
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{timeout_at, Instant};

/// Why a watch is given up that discovery does serve; it is not asked again as quickly.
#[derive(Debug)]
enum Trouble {
    TurnedAway(StatusCode),
    Spoilt,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::TurnedAway(status) => write!(f, "the watch was answered {status}"),
            Trouble::Spoilt => f.write_str("something on the watch can't be read"),
        }
    }
}

impl std::error::Error for Trouble {}

/// Follows the list for ever, and moves when discovery gets another address. While it is down, and until the
/// new one has spoken, the old list stands. The first list that comes is told of.
pub async fn follow(
    node: Rc<Node>, mut address: watch::Receiver<SocketAddr>, known: Option<List>, heard: oneshot::Sender<()>,
) {
    if let Some(known) = known {
        node.listed(EndpointUpdate::Snapshot, &known.hosts.read);
    }
    let reconnect = Reconnect::new(node.named.drain_grace);
    let mut follower = Follower { node, reconnect, begun: Instant::now(), heard: Some(heard) };
    loop {
        let now = *address.borrow_and_update();
        tokio::select! {
            () = follower.stay(now) => {}
            Ok(()) = address.changed() => follower.reconnect.moved(),
        }
    }
}

/// A task that ends with its owner: a watch that is left must not keep its connection.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Follower {
    node: Rc<Node>,
    /// When the next call is made. Its clock runs since `begun`.
    reconnect: Reconnect,
    begun: Instant,
    /// Whom to tell that a list has come, until one has.
    heard: Option<oneshot::Sender<()>>,
}

impl Follower {
    /// Follows the list at one address, for ever.
    async fn stay(&mut self, address: SocketAddr) {
        let mut told = false;
        loop {
            self.reconnect.called(self.begun.elapsed());
            let Err(error) = self.watch(address).await;
            self.node.watch_ended();
            let now = self.begun.elapsed();
            if !std::mem::replace(&mut told, true) || self.reconnect.has_stood(now) {
                self.node.watch_lost(address, &error);
            }
            let failure = if error.is::<Trouble>() { Failure::Refused } else { Failure::Lost };
            let next = self.reconnect.ended(now, failure, fastrand::f64());
            tokio::time::sleep_until(self.begun + next).await;
        }
    }

    /// One watch, until it ends.
    async fn watch(&mut self, address: SocketAddr) -> Result<Infallible> {
        let answer_by = self.begun + self.reconnect.give_up();
        let (mut body, _driver) = timeout_at(answer_by, open(address)).await.context("no answer")??;
        let mut pieces = Pieces::default();
        // Versions are counted within one watch.
        let mut seq = None;
        loop {
            // A silent machine keeps its connection open: only the missing signs of life tell, or a list that
            // stands still half-way.
            let Ok(frame) = timeout_at(self.begun + self.reconnect.give_up(), body.frame()).await else {
                ensure!(pieces.is_within(), "the watch is silent");
                self.pick(pieces.give_up());
                bail!(Trouble::Spoilt);
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                ended => {
                    self.pick(pieces.give_up());
                    let error = ended.and_then(Result::err).map(anyhow::Error::new);
                    return Err(error.unwrap_or_else(|| anyhow!("the watch ended")));
                }
            };
            let came = pieces.feed(&data);
            let now = self.begun.elapsed();
            if !came.is_empty() {
                let listed = came.iter().any(|piece| matches!(piece, Piece::List(_)));
                self.reconnect.heard(now, if listed { Word::List } else { Word::Life });
            }
            if pieces.is_within() {
                self.reconnect.heard(now, Word::Part);
            }
            let mut spoilt = false;
            for piece in came {
                match piece {
                    Piece::List(list) => self.take(&mut seq, &list),
                    piece => spoilt |= self.pick(piece),
                }
            }
            if spoilt {
                bail!(Trouble::Spoilt);
            }
        }
    }

    /// Applies versions in order; what is old on this watch tells nothing.
    fn take(&mut self, seq: &mut Option<u64>, list: &List) {
        if !list.whole && seq.is_some_and(|seq| list.seq <= seq) {
            return;
        }
        *seq = Some(list.seq);
        let kind = if list.whole { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
        self.node.listed(kind, &list.hosts.read);
        self.node.list_came(list);
        // Whoever waited may have waited long enough.
        if let Some(heard) = self.heard.take() {
            let _ = heard.send(());
        }
    }

    /// Applies what can be read of something that is no list; whether it was spoilt. Guards drains that stand in it.
    fn pick(&mut self, piece: Piece) -> bool {
        let Piece::Spoilt(hosts) = piece else { return false };
        if !hosts.is_empty() {
            self.node.listed(EndpointUpdate::Delta, &hosts);
        }
        true
    }
}

/// Asks for a watch that begins with the whole list; its answer so far as it has come.
async fn open(address: SocketAddr) -> Result<(Incoming, Driver)> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = Driver(tokio::task::spawn_local(async move {
        // How it ended shows in the watch.
        let _ = connection.await;
    }));
    let request = Request::builder().uri("/api/targets?watch=1");
    let request = request.header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    if answer.status() != StatusCode::OK {
        bail!(Trouble::TurnedAway(answer.status()));
    }
    Ok((answer.into_body(), driver))
}
