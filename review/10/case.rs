//! Case 10: an edge node is told to end while a half of the loan servers hang, and is held up for
//! 0.15 s just when the last answers are due.

#[path = "../common-2.rs"]
mod common;

use common::*;
use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline of the settings: short, as on the day `roll+brink`.
const DEADLINE: Duration = Duration::from_millis(2000);
const CLIENTS: usize = 60;
/// When the edge node is held up, counted from SIGTERM, and for how long.
const HELD_UP_AT: Duration = Duration::from_millis(2466);
const HELD_UP_FOR: Duration = Duration::from_millis(150);
/// The earliest time of SIGKILL, counted from SIGTERM: the longest deadline and 0.7 s.
const KILL_AT: Duration = Duration::from_millis(2700);
const ROUNDS: usize = 4;

/// What became of a payment that a client sent after SIGTERM.
struct Payment {
    id: String,
    sent_after: Duration,
    answer: Result<u16, String>,
}

fn main() {
    let mut env = Env::from_args();
    let hangs = Arc::new(AtomicBool::new(false));
    let forwarded = Arc::new(Mutex::new(HashSet::new()));
    let mut unanswered = 0;
    for round in 1..=ROUNDS {
        unanswered += play_round(&mut env, round, &hangs, &forwarded);
    }
    env.record.say(&format!(
        "payments that were forwarded and got no final answer: {unanswered}"
    ));
    std::process::exit(if unanswered > 0 { BROKEN } else { HELD });
}

/// Plays one planned restart, and returns how many forwarded payments got no answer.
fn play_round(
    env: &mut Env,
    round: usize,
    hangs: &Arc<AtomicBool>,
    forwarded: &Arc<Mutex<HashSet<String>>>,
) -> usize {
    hangs.store(false, Ordering::SeqCst);
    let hanging = Arc::new(Mutex::new(HashSet::new()));
    let (is_hanging, all_forwarded, hangs_now) = (
        Arc::clone(&hanging),
        Arc::clone(forwarded),
        Arc::clone(hangs),
    );
    let write_answer = move |received: &Received, stream: &mut TcpStream| {
        all_forwarded.lock().unwrap().insert(received.id.clone());
        if hangs_now.load(Ordering::SeqCst) && is_hanging.lock().unwrap().contains(&received.server)
        {
            // Takes requests and answers none, through the whole shutdown.
            thread::sleep(Duration::from_secs(6));
            return false;
        }
        write_sound_answer(received, stream)
    };
    let servers = start_servers(env, 10, Arc::new(write_answer));
    hanging.lock().unwrap().extend(
        servers
            .hosts
            .iter()
            .step_by(2)
            .map(|host| host.name.clone()),
    );
    let discovery = Discovery::new(&env.record, servers.hosts.clone());
    let settings = Settings {
        deadline_ms: 2000,
        ..Settings::default()
    };
    let mut nodes = start_nodes(env, &settings, &discovery);
    let listen = nodes[0].listen;
    // SIGTERM comes 1.2 s after the clients have begun; each has a resting connection by then.
    let term_at = Instant::now() + Duration::from_millis(1200);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let random = Random::new(env.random.next());
            let record = env.record.clone();
            thread::spawn(move || play_client(listen, random, term_at, &record))
        })
        .collect();
    thread::sleep(term_at.saturating_duration_since(Instant::now()));
    hangs.store(true, Ordering::SeqCst);
    nodes[0].signal(&env.record, "TERM");
    if env.trouble {
        thread::sleep((term_at + HELD_UP_AT).saturating_duration_since(Instant::now()));
        nodes[0].signal(&env.record, "STOP");
        thread::sleep(HELD_UP_FOR);
        nodes[0].signal(&env.record, "CONT");
    }
    while !nodes[0].has_ended() && term_at.elapsed() < KILL_AT {
        thread::sleep(millis(1));
    }
    let ended_after = term_at.elapsed().as_millis();
    let payments: Vec<Payment> = clients
        .into_iter()
        .filter_map(|client| client.join().unwrap_or(None))
        .collect();
    drop(nodes);
    let forwarded = forwarded.lock().unwrap();
    let mut unanswered = 0;
    for payment in &payments {
        let was_forwarded = forwarded.contains(&payment.id);
        let Err(error) = &payment.answer else {
            continue;
        };
        if was_forwarded {
            unanswered += 1;
            env.record.line(&format!(
                "payment {}, sent {} ms after SIGTERM, was forwarded and got no answer: {error}",
                payment.id,
                payment.sent_after.as_millis()
            ));
        }
    }
    let answered = payments
        .iter()
        .filter(|payment| payment.answer.is_ok())
        .count();
    env.record.say(&format!(
        "round {round}: the edge node ended {ended_after} ms after SIGTERM; {} payments sent, {answered} answered, {unanswered} forwarded and without an answer",
        payments.len()
    ));
    unanswered
}

/// Plays a client: one payment before SIGTERM, and one on the same connection 0.48 to 0.58 s after
/// it, if the connection has stayed open.
fn play_client(
    listen: SocketAddr,
    mut random: Random,
    term_at: Instant,
    record: &Record,
) -> Option<Payment> {
    thread::sleep(millis(random.range(0, 500)));
    let mut stream = TcpStream::connect(listen).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(DEADLINE + millis(550)));
    let mut reader = Reader::new(stream.try_clone().ok()?);
    let customer = random.range(1, 40);
    let deadline_ms = DEADLINE.as_millis() as u64;
    let first = format!("{:016x}", random.next());
    stream
        .write_all(request_text(&first, "post-payment", customer, 1, deadline_ms).as_bytes())
        .ok()?;
    let response = reader.response().ok()?;
    if response.headers.contains_key("connection") {
        return None;
    }
    let sends_at = term_at + millis(random.range(480, 581));
    thread::sleep(sends_at.saturating_duration_since(Instant::now()));
    let id = format!("{:016x}", random.next());
    stream
        .write_all(request_text(&id, "post-payment", customer, 1, deadline_ms).as_bytes())
        .ok()?;
    let sent_after = term_at.elapsed();
    let answer = reader.response().map(|response| response.status);
    record.line(&format!(
        "client: payment {id}, sent {} ms after SIGTERM: {answer:?}",
        sent_after.as_millis()
    ));
    Some(Payment {
        id,
        sent_after,
        answer,
    })
}
