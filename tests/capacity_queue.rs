//! Capacity by priority and team under overload, without a network: daemons with one [`CapacityQueue`]
//! each share the capacity of a service in discrete time, and know of each other what was announced in
//! the last period.

use arbutusmount::{
    CapacityQueue, CapacityRequest, CapacityStep, DemandTotals, MAX_RESERVED_SHARE, MonoTime,
    QueueOrder, ServiceId, demand_rows, priority_headroom,
};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

const STEP_MS: u64 = 10;
/// Period in which daemons announce demand and reservations.
const PERIOD_MS: u64 = 200;
/// Tokens of a request of operator A, and the time for which it holds them.
const TOKENS: f64 = 1_000.0;
const HOLD_MS: u64 = 2_000;
const WAIT_LIMIT: Duration = Duration::from_millis(400);
/// A third of the callers' time of 20 s.
const RETRY_LIMIT: Duration = Duration::from_millis(6_400);

fn at(millis: u64) -> MonoTime {
    MonoTime(millis * 1_000)
}

#[derive(Clone)]
struct Call {
    team: usize,
    priority: u8,
    is_retry: bool,
}

impl Call {
    fn request(&self) -> CapacityRequest {
        let team = format!("team-{}", self.team);
        CapacityRequest {
            team: Some(team.parse().expect("an identifier")),
            priority: self.priority,
            tokens: TOKENS,
        }
    }
}

#[derive(Default)]
struct Daemon {
    queue: CapacityQueue,
    waiting: Vec<(QueueOrder, Call, u64)>,
    /// Ends of the running requests.
    running: Vec<u64>,
    announced: DemandTotals,
    others_running: f64,
    /// Time until which the service is taken for full, after its refusal.
    full_until: u64,
}

/// Calls and served calls by priority and team.
type Counts = BTreeMap<(u8, usize), (u32, u32)>;

struct Fleet {
    daemons: Vec<Daemon>,
    capacity: f64,
    returns: Vec<(u64, Call)>,
    counts: Counts,
    /// Number of daemons whose digests do not arrive, or that announce no demand.
    silent: usize,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(daemons: usize, concurrent: f64, silent: usize) -> Self {
        Self {
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
            capacity: concurrent * TOKENS,
            returns: Vec::new(),
            counts: Counts::new(),
            silent,
            rng: fastrand::Rng::with_seed(23),
        }
    }

    /// Plays the time from `from_ms` to `to_ms` with these calls per second, by priority.
    fn play(&mut self, from_ms: u64, to_ms: u64, rates: [f64; 3], team: impl Fn(f64) -> usize) {
        for now in (from_ms..to_ms).step_by(STEP_MS as usize) {
            if now % PERIOD_MS == 0 {
                self.announce(now);
            }
            for (priority, rate) in rates.iter().enumerate() {
                let steps = 1_000 / STEP_MS;
                for _ in 0..10 {
                    if self.rng.f64() < rate / (steps * 10) as f64 {
                        let call = Call {
                            team: team(self.rng.f64()),
                            priority: priority as u8,
                            is_retry: false,
                        };
                        let key = (call.priority, call.team);
                        self.counts.entry(key).or_default().0 += 1;
                        self.arrive(call, now);
                    }
                }
            }
            let is_due = |(due, _): &mut (u64, Call)| *due <= now;
            let due: Vec<_> = self.returns.extract_if(.., is_due).collect();
            for (_, call) in due {
                self.arrive(call, now);
            }
            (0..self.daemons.len()).for_each(|index| self.serve(index, now));
        }
    }

    fn announce(&mut self, now: u64) {
        let service: ServiceId = "desk".parse().expect("an identifier");
        let rows = self.daemons.iter().map(|daemon| {
            let rows = demand_rows(&service, &daemon.queue.demand(at(now)));
            (rows, daemon.running.len() as f64 * TOKENS)
        });
        let rows: Vec<_> = rows.collect();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.announced = DemandTotals::default();
            daemon.others_running = 0.0;
            let others = rows.iter().enumerate().filter(|(other, _)| *other != index);
            for (other, (demand, running)) in others {
                daemon.others_running += running;
                if other >= self.silent {
                    for row in demand {
                        daemon.announced.add(row);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, call: Call, now: u64) {
        let index = self.rng.usize(0..self.daemons.len());
        let daemon = &mut self.daemons[index];
        match daemon.queue.enter(&call.request(), WAIT_LIMIT, at(now)) {
            CapacityStep::Wait(order) => daemon.waiting.push((order, call, now)),
            CapacityStep::Refuse(_) => self.refuse(index, call, now),
        }
    }

    fn refuse(&mut self, index: usize, mut call: Call, now: u64) {
        let queue = &mut self.daemons[index].queue;
        let rng = &mut self.rng;
        let delay = queue.book_return(call.priority, TOKENS, RETRY_LIMIT, at(now), rng);
        if !call.is_retry {
            call.is_retry = true;
            self.returns.push((now + delay.as_millis() as u64, call));
        }
    }

    fn serve(&mut self, index: usize, now: u64) {
        let service: ServiceId = "desk".parse().expect("an identifier");
        self.daemons[index].running.retain(|end| *end > now);
        self.daemons[index]
            .waiting
            .sort_by_key(|(order, _, _)| *order);
        for (order, call, arrived) in std::mem::take(&mut self.daemons[index].waiting) {
            let running: usize = self.daemons.iter().map(|daemon| daemon.running.len()).sum();
            let has_room = (running + 1) as f64 * TOKENS <= self.capacity;
            let daemon = &mut self.daemons[index];
            let demand = daemon
                .announced
                .with_local(&service, &daemon.queue.demand(at(now)));
            let age = Duration::from_millis(PERIOD_MS);
            let headroom = priority_headroom(&demand, call.priority, age, self.capacity);
            let own = (daemon.running.len() + 1) as f64 * TOKENS;
            let limit = MAX_RESERVED_SHARE * (1.0 - headroom) * self.capacity;
            let seems_free = own + daemon.others_running <= limit && now >= daemon.full_until;
            if daemon.queue.may_take(order) && seems_free {
                daemon.queue.start(order, at(now));
                if has_room {
                    daemon.running.push(now + HOLD_MS);
                    let key = (call.priority, call.team);
                    self.counts.entry(key).or_default().1 += 1;
                    continue;
                }
                daemon.queue.reenter(order, TOKENS);
                daemon.full_until = now + PERIOD_MS;
            }
            if at(now).since(at(arrived)) >= WAIT_LIMIT {
                daemon.queue.leave(order);
                self.refuse(index, call, now);
            } else {
                daemon.waiting.push((order, call, arrived));
            }
        }
    }

    /// Share of the calls that were served, of those that are counted.
    fn served(&self, is_counted: impl Fn(u8, usize) -> bool) -> f64 {
        let counts = self.counts.iter();
        let counted = counts.filter(|((priority, team), _)| is_counted(*priority, *team));
        let (calls, served) =
            counted.fold((0, 0), |sum, (_, count)| (sum.0 + count.0, sum.1 + count.1));
        f64::from(served) / f64::from(calls.max(1))
    }

    /// Acceptance criteria: no class is served less often than a lower one by more than 5 %, and each
    /// at least a quarter as often as all.
    fn assert_served_by_priority(&self) {
        let served = [0, 1, 2].map(|wanted| self.served(|priority, _| priority == wanted));
        let least = self.served(|_, _| true) / 4.0;
        assert!(
            served.is_sorted_by(|high, low| *high >= *low - 0.05),
            "{served:?}"
        );
        assert!(served.iter().all(|share| *share >= least), "{served:?}");
    }
}

fn any_team(draw: f64) -> usize {
    (draw * 24.0) as usize
}

/// Calls per second by priority: usual, and in bursts of the lowest and the highest one, in the
/// proportions of operator A.
const USUAL: [f64; 3] = [26.0, 14.0, 9.0];
const LOWEST_BURST: [f64; 3] = [26.0, 14.0, 40.0];
const HIGHEST_BURST: [f64; 3] = [46.0, 14.0, 9.0];

/// A burst of the lowest priority and then of the highest, also with the digests of one daemon missing
/// and with half of the daemons of a version that announces no demand. Guards against the most urgent
/// requests being served worst, as when whichever request polled first took the capacity.
#[test_case(1, 0; "one daemon")]
#[test_case(6, 0; "six daemons")]
#[test_case(6, 1; "digest of one daemon missing")]
#[test_case(6, 3; "two versions side by side")]
fn bursts_are_served_by_priority(daemons: usize, silent: usize) {
    let mut fleet = Fleet::new(daemons, 100.0, silent);

    fleet.play(0, 4_000, USUAL, any_team);
    fleet.play(4_000, 10_000, LOWEST_BURST, any_team);
    fleet.play(10_000, 14_000, HIGHEST_BURST, any_team);
    fleet.play(14_000, 24_000, USUAL, any_team);

    fleet.assert_served_by_priority();
}

/// A group of servers crashes, and half of the capacity is gone for 5 s, with the requests that ran
/// there. Guards against a queue that continues as if the former rate held, and against one that stays
/// blocked when the capacity is back.
#[test]
fn half_of_the_capacity_is_handed_out_by_priority() {
    let mut fleet = Fleet::new(6, 120.0, 0);
    fleet.play(0, 4_000, USUAL, any_team);

    fleet.capacity /= 2.0;
    fleet.play(4_000, 9_000, USUAL, any_team);
    fleet.assert_served_by_priority();

    fleet.capacity *= 2.0;
    fleet.play(9_000, 16_000, USUAL, any_team);
    fleet.counts.clear();
    fleet.play(16_000, 26_000, USUAL, any_team);
    let served = fleet.served(|_, _| true);
    assert!(served >= 0.95, "{served}");
}

/// One of 24 teams sends half of an overload. Guards against its requests taking the share of others.
#[test_case(1)]
#[test_case(6)]
fn large_team_leaves_the_others_their_share(daemons: usize) {
    let mut fleet = Fleet::new(daemons, 100.0, 0);
    let team = |draw: f64| {
        if draw < 0.5 {
            0
        } else {
            1 + ((draw - 0.5) * 46.0) as usize
        }
    };

    fleet.play(0, 60_000, [80.0, 0.0, 0.0], team);

    let mut shares: Vec<f64> = (0..24)
        .map(|team| fleet.served(|_, own| own == team))
        .collect();
    let (large, all) = (shares[0], fleet.served(|_, _| true));
    let others = fleet.served(|_, team| team > 0);
    shares.sort_by(f64::total_cmp);
    let worst = f64::midpoint(shares[0], shares[1]);
    assert!(worst >= all / 2.0, "{worst} of {all}");
    assert!(others >= large, "{others} beside {large}");
}

/// Queue of a service at which 50 requests of each priority start in a second.
fn busy_queue() -> CapacityQueue {
    let mut queue = CapacityQueue::default();
    for number in 0..300_u64 {
        let call = Call {
            team: 0,
            priority: (number % 3) as u8,
            is_retry: false,
        };
        let now = at(number * 7);
        let step = queue.enter(&call.request(), WAIT_LIMIT, now);
        if let CapacityStep::Wait(order) = step {
            queue.start(order, now);
        }
    }
    queue
}

/// A flood of callers that are refused at the same moment. Guards against return times that favour the
/// lowest priority.
#[test]
fn caller_of_a_higher_priority_is_never_asked_to_return_later() {
    for refused in 0..120 {
        let delays = [0, 1, 2].map(|asked| {
            let mut queue = busy_queue();
            let mut rng = fastrand::Rng::with_seed(refused);
            for number in 0..refused {
                let priority = (number % 3) as u8;
                queue.book_return(priority, TOKENS, RETRY_LIMIT, at(2_100), &mut rng);
            }
            // Callers of different priorities draw different random numbers.
            let mut rng = fastrand::Rng::with_seed(refused * 3 + u64::from(asked));
            queue.book_return(asked, TOKENS, RETRY_LIMIT, at(2_100), &mut rng)
        });
        assert!(
            delays.is_sorted(),
            "{delays:?} after {refused} refused callers"
        );
    }
}

/// The bounds of a return time: at least 0.4 s, at most a third of the caller's time.
#[test]
fn return_times_stay_within_their_bounds() {
    let mut queue = busy_queue();
    let mut rng = fastrand::Rng::with_seed(5);
    let bounds = Duration::from_millis(400)..=RETRY_LIMIT;
    for _ in 0..500 {
        let delay = queue.book_return(1, TOKENS, RETRY_LIMIT, at(2_100), &mut rng);
        assert!(bounds.contains(&delay), "{delay:?}");
    }
}

/// A flood of callers that are refused at the same moment, while requests start and while none does (a
/// stuck service). Guards against callers that all return at once: no 50 ms, less than a hundredth of
/// their time, get more than a tenth of them.
#[test_case(busy_queue(); "requests start")]
#[test_case(CapacityQueue::default(); "no request starts")]
fn returning_callers_are_spread(mut queue: CapacityQueue) {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut windows: BTreeMap<u128, u32> = BTreeMap::new();
    for _ in 0..300 {
        let delay = queue.book_return(0, TOKENS, RETRY_LIMIT, at(2_100), &mut rng);
        *windows.entry(delay.as_millis() / 50).or_default() += 1;
    }

    let most = windows.values().max().copied().unwrap_or_default();
    assert!(most <= 30, "{most} of 300 return within 50 ms");
}

/// A few calls at the same moment after a quiet time, in which the observed rate of starts has faded. Guards
/// against refusals while the whole capacity is free.
#[test]
fn calls_after_a_quiet_time_are_not_refused_at_once() {
    let mut queue = busy_queue();
    for priority in [0, 1, 1, 2] {
        let call = Call {
            team: 1,
            priority,
            is_retry: false,
        };
        let step = queue.enter(&call.request(), WAIT_LIMIT, at(30_000));
        assert!(matches!(step, CapacityStep::Wait(_)), "{step:?}");
    }
}
