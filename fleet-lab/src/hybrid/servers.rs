//! Stand-ins for the loan servers. Attempts of hollow nodes come by a call, those of real ones over HTTP; both meet
//! the same queue.

use super::environment::World;
use super::scenario::{Mode, SERVERS, WORK};
use bytes::Bytes;
use edge_node::ServerId;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{http, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Requests that wait at a server, for each that it works on.
const QUEUE: usize = 8;

/// What a server says to an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Reply {
    /// How it went.
    pub status: Status,
    /// How many requests the server holds.
    pub holds: usize,
}

/// How an attempt went at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Done,
    /// An error; it may have run.
    Error,
    /// Turned away: it never ran.
    NotRun,
}

/// One loan server.
pub struct Server {
    /// Its name on the list.
    pub name: String,
    /// Its id at every node.
    pub id: ServerId,
    mode: Cell<Mode>,
    slots: Semaphore,
    holds: Cell<usize>,
    most: usize,
    random: RefCell<ChaCha8Rng>,
}

/// A place in a server, for as long as a request holds it.
struct Place<'a>(&'a Cell<usize>);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    fn new(place: usize, slots: usize, seed: u64) -> Server {
        let name = format!("s-{place:08x}");
        // The edge node's way from a name to an id: the rumours of both kinds have to mean the same server.
        let mut hash = fnv::FnvHasher::default();
        hash.write(name.as_bytes());
        Server {
            id: ServerId(hash.finish()),
            name,
            mode: Cell::new(Mode::Serves),
            slots: Semaphore::new(slots),
            holds: Cell::new(0),
            most: slots * (1 + QUEUE),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ (place as u64 + 1))),
        }
    }

    /// All servers of a run.
    pub fn all(slots: usize, seed: u64) -> Vec<Server> {
        (0..SERVERS).map(|place| Server::new(place, slots, seed)).collect()
    }

    /// From now on it does this with what comes.
    pub fn turn(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// An attempt that has come whole, to its end. Whoever stops waiting drops it, and the server lets go of it.
    pub async fn attempt(&self, world: &World, id: &str) -> Reply {
        let reply = |status| Reply { status, holds: self.holds.get() };
        let mode = self.mode.get();
        if mode == Mode::TurnsAway || self.holds.get() >= self.most {
            return reply(Status::NotRun);
        }
        world.ledger.borrow_mut().ran(id);
        self.holds.set(self.holds.get() + 1);
        let _place = Place(&self.holds);
        if mode == Mode::Hangs {
            std::future::pending::<()>().await;
        }
        let (work, coin) = {
            let mut random = self.random.borrow_mut();
            (WORK.0 * (1.0 + WORK.1 * random.random_range(-1.0..1.0)), random.random::<bool>())
        };
        // The slots are never closed, and a permit that could not be had would only let one more run.
        let _slot = self.slots.acquire().await;
        tokio::time::sleep(Duration::from_micros(work as u64)).await;
        reply(if mode == Mode::Errs && coin { Status::Error } else { Status::Done })
    }

    /// Serves real nodes on a socket, for ever.
    pub async fn listen(world: Rc<World>, place: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            // Without it an answer in two pieces would wait for an acknowledgement; it works all the same.
            let _ = stream.set_nodelay(true);
            let world = Rc::clone(&world);
            tokio::task::spawn_local(async move {
                let answer = service_fn(|request| Server::answer(&world, place, request));
                // A node that closes its connection has given its attempt up.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), answer).await;
            });
        }
    }

    async fn answer(
        world: &World, place: usize, request: Request<Incoming>,
    ) -> http::Result<Response<Full<Bytes>>> {
        let plain = |status| Response::builder().status(status).body(Full::default());
        let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).map(str::to_owned);
        let Some(id) = id else { return plain(StatusCode::NOT_FOUND) };
        if request.into_body().collect().await.is_err() {
            return plain(StatusCode::BAD_REQUEST);
        }
        let server = &world.servers[place];
        let units = world.ledger.borrow_mut().arrived(world.clock.now(), &id, server.id);
        let Some(units) = units else { return plain(StatusCode::BAD_REQUEST) };
        let Reply { status, holds } = server.attempt(world, &id).await;
        let answer = Response::builder().header("x-load", format!("concurrent={holds}"));
        match status {
            Status::Done => answer.header("x-cost-units", units.to_string()).body(Full::from(id)),
            Status::Error => answer.status(StatusCode::INTERNAL_SERVER_ERROR).body(Full::default()),
            Status::NotRun => {
                answer.status(StatusCode::SERVICE_UNAVAILABLE).header("x-not-run", "1").body(Full::default())
            }
        }
    }
}
