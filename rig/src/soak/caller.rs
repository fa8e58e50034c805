//! Callers: each a thread that sends one request after the other and keeps its connection until it
//! ends.

use crate::soak::configuration::{FIRST_KEY, SECOND_KEY};
use crate::soak::connection::{CallerConnection, ReadEnd};
use crate::soak::evidence::{ExchangeEnd, RequestRule, SoakExchange};
use crate::soak::fault::CallerMood;
use crate::soak::shared::SoakShared;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time that callers wait for an answer: the timeout of the routes, half a second in which a late
/// answer is seen, and some more.
const PATIENCE: Duration = Duration::from_millis(3_800);
/// Pause in the middle of a body that is sent slowly.
const BODY_PAUSE: Duration = Duration::from_millis(300);
/// Most repeats of a caller that repeats at once.
const MAX_REPEATS: usize = 3;
/// Paths of the requests that crash servers; they come again with the same path, caller and body.
const POISON_TARGET: &str = "/get/crash/batch";

/// A caller.
#[derive(Debug)]
pub struct SoakCaller {
    number: usize,
    sent: usize,
    rng: fastrand::Rng,
    shared: Arc<SoakShared>,
    daemons: Arc<[SocketAddr]>,
    connection: Option<CallerConnection>,
    mood: Option<CallerMood>,
}

impl SoakCaller {
    /// Creates a caller with this number.
    pub fn new(
        number: usize,
        seed: u64,
        shared: &Arc<SoakShared>,
        daemons: &Arc<[SocketAddr]>,
    ) -> Self {
        Self {
            number,
            sent: 0,
            rng: fastrand::Rng::with_seed(seed.wrapping_mul(1_000).wrapping_add(number as u64)),
            shared: Arc::clone(shared),
            daemons: Arc::clone(daemons),
            connection: None,
            mood: None,
        }
    }

    /// Sends requests until the run is over.
    pub fn run(mut self) {
        while !self.shared.is_stopped() {
            self.mood = self.choose_mood();
            let request = self.draw_request();
            let is_pipelined = self.mood == Some(CallerMood::Pipeline);
            let mut requests = vec![request];
            if is_pipelined {
                requests.push(self.draw_request());
            }
            let is_served = self.send_requests(&requests);
            if !is_served && self.mood == Some(CallerMood::Repeat) {
                self.repeat(&requests[0]);
            }
            thread::sleep(Duration::from_millis(self.rng.u64(20..100)));
        }
    }

    /// A third of the requests follow one of the moods that are played.
    fn choose_mood(&mut self) -> Option<CallerMood> {
        let moods = self.shared.moods().clone();
        if moods.is_empty() || self.rng.u8(0..3) > 0 {
            return None;
        }
        Some(moods[self.rng.usize(0..moods.len())])
    }

    fn repeat(&mut self, request: &SoakExchange) {
        for _ in 0..MAX_REPEATS {
            let attempt = self.next_attempt();
            let again = SoakExchange {
                attempt,
                ..request.clone()
            };
            if self.send_requests(&[again]) {
                return;
            }
        }
    }

    fn next_attempt(&mut self) -> String {
        self.sent += 1;
        format!("c{}-{}", self.number, self.sent)
    }

    fn draw_request(&mut self) -> SoakExchange {
        let attempt = self.next_attempt();
        let added = self.shared.added_paths().clone();
        let (kind, method, target) = if self.mood == Some(CallerMood::Poison) {
            (RequestRule::Idempotent, "POST", POISON_TARGET.to_owned())
        } else if !added.is_empty() && self.rng.u8(0..12) == 0 {
            let prefix = &added[self.rng.usize(0..added.len())];
            (RequestRule::Idempotent, "GET", format!("{prefix}x"))
        } else {
            let tail = format!("{attempt}?q=%20{}", self.rng.u8(..));
            match self.rng.u8(0..8) {
                0..=3 => (RequestRule::Idempotent, "PUT", format!("/get/{tail}")),
                4..=5 => (RequestRule::AtMostOnce, "POST", format!("/post/{tail}")),
                _ => (RequestRule::Stream, "POST", format!("/stream/{tail}")),
            }
        };
        let is_poison = self.mood == Some(CallerMood::Poison);
        let body = if is_poison {
            b"the same".to_vec()
        } else {
            let length = self.rng.usize(0..2_000);
            std::iter::repeat_with(|| self.rng.u8(..))
                .take(length)
                .collect()
        };
        let uses_second = !is_poison && self.rng.u8(0..8) == 0;
        SoakExchange {
            fields: prompt_fields(kind, &attempt),
            attempt,
            daemon: 0,
            kind,
            method: method.to_owned(),
            target,
            key: (if uses_second { SECOND_KEY } else { FIRST_KEY }).to_owned(),
            body,
            kept: false,
            half_closed: false,
            sent: Duration::ZERO,
            ended: Duration::ZERO,
            end: ExchangeEnd::Waiting,
            stray: Vec::new(),
        }
    }

    /// Sends requests on one connection, all before the first answer; true when the last one was
    /// answered with success.
    fn send_requests(&mut self, requests: &[SoakExchange]) -> bool {
        let (Some(mut connection), stray) = self.take_connection() else {
            return false;
        };
        let mut numbers = Vec::new();
        for request in requests {
            let request = SoakExchange {
                stray: stray.clone(),
                ..request.clone()
            };
            numbers.push(self.send_one(&mut connection, request));
        }
        let patience = if self.mood == Some(CallerMood::Leave) {
            Duration::from_millis(self.rng.u64(30..600))
        } else {
            PATIENCE
        };
        let mut is_served = false;
        for number in numbers {
            let Some(number) = number else {
                return false;
            };
            let end = read_end(&mut connection, patience);
            is_served = matches!(&end, ExchangeEnd::Answered(answer) if answer.status() == 200);
            let is_over = is_last(&end);
            let mut evidence = self.shared.evidence();
            let exchange = &mut evidence.exchanges[number];
            exchange.ended = self.shared.now();
            exchange.end = end;
            drop(evidence);
            if is_over {
                // The requests after this one on the connection end with it.
                self.end_waiting(&connection);
                return is_served;
            }
        }
        let is_half_closed = self.mood == Some(CallerMood::HalfClose);
        self.connection = (!is_half_closed && self.rng.u8(0..10) > 0).then_some(connection);
        is_served
    }

    /// The kept connection if it is still open, else a new one, and bytes that came on the kept one
    /// without a request.
    fn take_connection(&mut self) -> (Option<CallerConnection>, Vec<u8>) {
        let mut stray = Vec::new();
        if let Some(mut kept) = self.connection.take() {
            let (bytes, is_open) = kept.take_stray();
            if is_open {
                return (Some(kept), bytes);
            }
            stray = bytes;
        }
        let daemon = self.rng.usize(0..self.daemons.len());
        (CallerConnection::open(daemon, self.daemons[daemon]), stray)
    }

    /// Records a request and sends it; returns its place in the evidence if it was sent whole.
    fn send_one(
        &mut self,
        connection: &mut CallerConnection,
        request: SoakExchange,
    ) -> Option<usize> {
        let bytes = encode(&request);
        let half_closes = self.mood == Some(CallerMood::HalfClose);
        let exchange = SoakExchange {
            daemon: connection.daemon,
            kept: connection.served > 0,
            half_closed: half_closes,
            sent: self.shared.now(),
            ended: self.shared.now() + PATIENCE,
            ..request
        };
        let mut evidence = self.shared.evidence();
        evidence.exchanges.push(exchange);
        let number = evidence.exchanges.len() - 1;
        drop(evidence);
        let is_sent = if self.mood == Some(CallerMood::SlowBody) {
            let (first, rest) = bytes.split_at(bytes.len() * 2 / 3);
            let is_begun = connection.send(first);
            thread::sleep(BODY_PAUSE);
            is_begun && connection.send(rest)
        } else {
            connection.send(&bytes)
        };
        if half_closes {
            connection.half_close();
        }
        let mut evidence = self.shared.evidence();
        let exchange = &mut evidence.exchanges[number];
        exchange.sent = self.shared.now();
        exchange.ended = exchange.sent + PATIENCE;
        if is_sent {
            return Some(number);
        }
        exchange.ended = exchange.sent;
        exchange.end = ExchangeEnd::Unsent;
        None
    }

    /// Ends the requests of this caller that still wait on a connection that is over.
    fn end_waiting(&self, connection: &CallerConnection) {
        let prefix = format!("c{}-", self.number);
        let now = self.shared.now();
        let mut evidence = self.shared.evidence();
        let recent = evidence.exchanges.iter_mut().rev();
        let own =
            recent.filter(|e| e.daemon == connection.daemon && e.attempt.starts_with(&prefix));
        for exchange in own.take(2).filter(|e| e.end == ExchangeEnd::Waiting) {
            exchange.ended = now;
            exchange.end = ExchangeEnd::Unsent;
        }
    }
}

fn read_end(connection: &mut CallerConnection, patience: Duration) -> ExchangeEnd {
    match connection.read_response(Instant::now() + patience) {
        ReadEnd::Complete(message) => ExchangeEnd::Answered(message),
        ReadEnd::Ended(partial) => ExchangeEnd::Broken(partial),
        ReadEnd::TimedOut(_) if patience < PATIENCE => ExchangeEnd::Left,
        ReadEnd::TimedOut(partial) => ExchangeEnd::TimedOut(partial),
    }
}

/// True when no more responses come on the connection.
fn is_last(end: &ExchangeEnd) -> bool {
    match end {
        ExchangeEnd::Answered(answer) => answer
            .field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close")),
        _ => true,
    }
}

/// Fields that describe the prompt of a stream.
fn prompt_fields(kind: RequestRule, attempt: &str) -> Vec<(String, String)> {
    if kind != RequestRule::Stream {
        return Vec::new();
    }
    let digits = attempt
        .bytes()
        .fold(0, |sum: u64, byte| (sum << 8) | u64::from(byte));
    let part = format!("5c1e07a2:40,{digits:x}:60");
    let fields = [
        ("X-Model", "model-1"),
        ("X-Token-Count", "100,60"),
        ("X-Prompt-Prefix", part.as_str()),
    ];
    let owned = fields.map(|(name, value)| (name.to_owned(), value.to_owned()));
    owned.to_vec()
}

fn encode(request: &SoakExchange) -> Vec<u8> {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: 3000\r\n\
         Authorization: Token {}\r\nX-Tenant: forged\r\nContent-Length: {}\r\n",
        request.method,
        request.target,
        request.attempt,
        request.key,
        request.body.len()
    );
    for (name, value) in &request.fields {
        text.extend([name, ": ", value, "\r\n"]);
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&request.body);
    bytes
}
