//! Discovery: a watch on the list of app servers, opened again whenever it ends, falls silent or can't be read.
//!
//! What the agent on this machine holds counts as told at once, whether or not a watch is open on it. So a watch
//! that fails is noticed, opened again and read well inside the time that a drain leaves. Each watch asks for the
//! whole list: its first word then comes at once or not at all, and no version is held against another watch's.

use crate::lists::{List, Piece, Pieces};
use crate::node::Node;
use anyhow::{anyhow, bail, ensure, Context, Result};
use bytes::Bytes;
use doordock::interface::{ListKind, Micros};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{timeout_at, Instant};

/// A watch says something every 2 s; one that is this late is taken for dead. Guards drains: what discovery
/// has to tell counts as told 6 s later, also on a watch that nobody serves any more.
const SILENT_FOR: Duration = Duration::from_secs(3);
/// The longest pause before one is opened again that was turned away or could not be read. Guards against a herd:
/// a discovery that turns calls away goes on doing so for as long as they come back faster than it can serve them.
const TURNED_AWAY_MOST: Duration = Duration::from_secs(1);

/// How quickly a watch is opened again: in parts of the time that a drain leaves, which is counted from the moment
/// at which the agent learns of it. The longest wait for an answer, pause and read after it fill under half of that.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// The agent answers at once. One that has not by then is silent, and is asked again.
    answer_in: Duration,
    /// A list that has begun is whole by then.
    whole_in: Duration,
    /// The first pause, doubled each time, and the longest.
    pauses: (Duration, Duration),
}

impl Pace {
    fn within(drain_grace: Micros) -> Pace {
        let grace = Duration::from_micros(drain_grace);
        Pace { answer_in: grace / 4, whole_in: grace / 4, pauses: (grace / 40, grace / 16) }
    }
}

/// For how long a new edge node may wait for its first list, by the time that a drain leaves.
pub fn first_word_in(drain_grace: Micros) -> Duration {
    Duration::from_micros(drain_grace) / 2
}

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
        node.listed(ListKind::Complete, &known.hosts.read);
    }
    let pace = Pace::within(node.named.drain_grace);
    let mut follower = Follower { node, pace, heard: Some(heard) };
    loop {
        let now = *address.borrow_and_update();
        tokio::select! {
            () = follower.stay(now) => {}
            Ok(()) = address.changed() => {}
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
    pace: Pace,
    /// Whom to tell that a list has come, until one has.
    heard: Option<oneshot::Sender<()>>,
}

impl Follower {
    /// Follows the list at one address, for ever.
    async fn stay(&mut self, address: SocketAddr) {
        let (first, longest) = self.pace.pauses;
        let mut pause = first;
        let mut told = false;
        loop {
            let opened = Instant::now();
            let Err(error) = self.watch(address).await;
            self.node.watch_ended();
            // One that has stood for a while has served; this is a new trouble.
            if opened.elapsed() > TURNED_AWAY_MOST {
                (pause, told) = (first, false);
            }
            if !std::mem::replace(&mut told, true) {
                self.node.watch_lost(address, &error);
            }
            let longest = if error.is::<Trouble>() { TURNED_AWAY_MOST } else { longest };
            // Spread out, so that all edge nodes do not come back at one stroke.
            tokio::time::sleep(pause.min(longest).mul_f64(0.5 + fastrand::f64())).await;
            pause = (pause * 2).min(longest);
        }
    }

    /// One watch, until it ends.
    async fn watch(&mut self, address: SocketAddr) -> Result<Infallible> {
        let opened = Instant::now();
        let answer_by = opened + self.pace.answer_in;
        let (mut body, _driver) = timeout_at(answer_by, open(address)).await.context("no answer")??;
        let mut pieces = Pieces::default();
        // Versions are counted within one watch.
        let mut seq = None;
        let mut until = answer_by;
        loop {
            // A silent machine keeps its connection open: only the missing signs of life tell, or a list that
            // stands still half-way.
            let Ok(frame) = timeout_at(until, body.frame()).await else {
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
            let was_within = pieces.is_within();
            let came = pieces.feed(&data);
            let now = Instant::now();
            match (pieces.is_within(), came.is_empty()) {
                (true, true) if was_within => {}
                (true, _) => until = now + self.pace.whole_in,
                (false, false) => until = now + SILENT_FOR,
                (false, true) => {}
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
        let kind = if list.whole { ListKind::Complete } else { ListKind::Changes };
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
            self.node.listed(ListKind::Changes, &hosts);
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_watch_that_fails_is_read_again_in_half_the_time_that_a_drain_leaves() {
        for grace in [100_000, 500_000, 2_000_000] {
            let pace = Pace::within(grace);
            // The pause is up to half as long again; the list comes within one answer.
            let most = pace.answer_in + pace.pauses.1.mul_f64(1.5);
            assert!(most < Duration::from_micros(grace) / 2, "{pace:?}");
            assert!(first_word_in(grace) >= pace.answer_in, "one answer at the least is waited for");
        }
    }
}
