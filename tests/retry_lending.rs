//! Retries that daemons lend each other: faults that concentrate on some daemons, and the limit that
//! holds over all of them whatever becomes of the messages.

use arbutusmount::{BudgetLimits, MonoTime, QuestionClient, RetryBudget, RetryLoan, ServiceId};
use async_io::Async;
use async_std::task;
use futures_lite::future;
use std::collections::VecDeque;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use test_case::test_case;

/// Limits of a fleet of 195 daemons.
const LARGE_LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    allowance: 574.0,
    window: Duration::from_secs(10),
};
/// Requests a second of all callers in [`traffic`].
const REQUEST_RATE: usize = 490;

fn service() -> ServiceId {
    "desk".parse().expect("an identifier")
}

fn at(ms: u64) -> MonoTime {
    MonoTime(ms * 1_000)
}

fn fleet(daemons: usize) -> Vec<RetryBudget> {
    (0..daemons)
        .map(|_| RetryBudget::new(LARGE_LIMITS))
        .collect()
}

/// Counts the requests of one second at daemons chosen at random.
fn traffic(budgets: &[RetryBudget], from_ms: u64, rng: &mut fastrand::Rng) {
    for _ in 0..REQUEST_RATE {
        let budget = &budgets[rng.usize(..budgets.len())];
        budget.count_request(&service(), at(from_ms + rng.u64(..1_000)));
    }
}

/// What a daemon does about a request that needs another attempt.
fn retry(budgets: &[RetryBudget], index: usize, now: MonoTime, rng: &mut fastrand::Rng) -> bool {
    let daemons = budgets.len();
    let budget = &budgets[index];
    if !budget.may_spend(&service(), daemons, now) && budget.may_ask(&service(), now) {
        let lenders = (0..3).map(|_| rng.usize(..daemons));
        let mut lenders = lenders.filter(|lender| *lender != index);
        let loan =
            lenders.find_map(
                |lender| match budgets[lender].lend(&service(), 1, daemons, now) {
                    0 => None,
                    count => Some(count),
                },
            );
        match loan {
            Some(count) => budget.add_loan(&service(), count, now),
            None => budget.pause_asking(&service(), now),
        }
    }
    budget.try_spend(&service(), daemons, now)
}

/// Pattern: seven servers of one failure domain crash at once, and the daemons through whose chains they
/// were used have eight interrupted streams each, while the rest of the fleet has none. Guards against
/// streams that are left without another attempt, as the parts of these daemons are spent.
#[test]
fn streams_of_a_domain_that_loses_servers_are_all_tried_again() {
    let budgets = fleet(195);
    let mut rng = fastrand::Rng::with_seed(11);
    for second in 0..20 {
        traffic(&budgets, second * 1_000, &mut rng);
    }
    let (hit_daemons, streams) = (39, 8);

    let tried = (0..hit_daemons).flat_map(|index| std::iter::repeat_n(index, streams));
    let tried = tried
        .filter(|index| retry(&budgets, *index, at(20_000), &mut rng))
        .count();

    assert_eq!(tried, hit_daemons * streams);
}

/// Guards against loans that count nowhere while they are used: a tenth of the daemons needs more retries
/// than it has all the time, and which ones changes.
#[test_case(3, 1 ; "3 daemons")]
#[test_case(8, 2 ; "8 daemons")]
#[test_case(83, 3 ; "83 daemons")]
#[test_case(195, 4 ; "195 daemons")]
#[test_case(430, 5 ; "430 daemons")]
fn retries_stay_within_the_limit_in_every_window(daemons: usize, seed: u64) {
    let budgets = fleet(daemons);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut spent: VecDeque<u64> = VecDeque::new();
    let mut most = 0;
    for second in 0..45_u64 {
        traffic(&budgets, second * 1_000, &mut rng);
        for ms in (second * 1_000..(second + 1) * 1_000).step_by(10) {
            // A tenth of the daemons in turn needs most of the retries.
            let hit = daemons.div_ceil(10);
            let first = (second as usize / 3 * hit) % daemons;
            for _ in 0..60 {
                let index = (first + rng.usize(..hit)) % daemons;
                if retry(&budgets, index, at(ms), &mut rng) {
                    spent.push_back(ms);
                }
            }
            while spent.front().is_some_and(|at| ms - at > 10_000) {
                spent.pop_front();
            }
            most = most.max(spent.len());
        }
    }

    let allowed = LARGE_LIMITS.ratio * (REQUEST_RATE * 10) as f64 + LARGE_LIMITS.allowance;
    assert!(most as f64 <= allowed, "{most} of {allowed}");
}

/// Guards against retries lent twice: a question that arrives again, or whose reply is lost, costs the
/// lender as much as one that is used.
#[test]
fn lost_and_repeated_questions_cost_the_lender() {
    let lender = RetryBudget::new(LARGE_LIMITS);
    let now = at(20_000);
    (0..100).for_each(|_| lender.count_request(&service(), now));

    let lent: u32 = (0..100).map(|_| lender.lend(&service(), 2, 195, now)).sum();
    let left = (0..).take_while(|_| lender.try_spend(&service(), 195, now));
    let left = left.count();

    let own = 0.75 * (0.2 * 100.0 + 574.0 / 195.0);
    assert!(lent > 0 && left > 0, "{lent} lent, {left} left");
    assert!(f64::from(lent) + left as f64 <= own, "{left} after {lent}");
}

/// Guards against a borrowed retry that is used after the lender has it back.
#[test]
fn loan_ends_a_window_before_the_lender_counts_it_as_its_own_again() {
    let (lender, borrower) = (
        RetryBudget::new(LARGE_LIMITS),
        RetryBudget::new(LARGE_LIMITS),
    );
    (0..100).for_each(|_| lender.count_request(&service(), at(29_000)));
    let before = lender.lend(&service(), 1_000, 195, at(20_000));
    borrower.add_loan(&service(), before, at(20_000));

    let is_usable = |ms| borrower.may_spend(&service(), 0, at(ms));
    assert!(is_usable(20_900) && !is_usable(21_100));
    let returned = |ms: u64| lender.lend(&service(), 1, 195, at(ms));
    let kept: u32 = (20_001..31_000).step_by(500).map(returned).sum();
    let own = 0.75 * (0.2 * 100.0 + 574.0 / 195.0);
    assert!(f64::from(before + kept) <= own, "{before} and {kept}");
}

fn loopback_socket() -> (Arc<Async<UdpSocket>>, SocketAddr) {
    let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("a socket");
    let address = socket.get_ref().local_addr().expect("an address");
    (Arc::new(socket), address)
}

/// Guards against a grant that is acted on after it has run out: the process is suspended between the
/// arrival of the reply and its use.
#[test_case(Duration::from_millis(1), true ; "read in time")]
#[test_case(Duration::from_millis(200), false ; "read late")]
fn reply_counts_only_if_it_is_read_in_time(pause: Duration, counts: bool) {
    let (socket, address) = loopback_socket();
    let client = QuestionClient::<RetryLoan>::default();
    client.set_socket(socket);
    let loan = RetryLoan {
        number: 7,
        count: 1,
    };

    let reply = task::block_on(async {
        let mut asking = Box::pin(client.ask(address, 7, b"question"));
        // Sends the question and begins to wait.
        let begun = future::poll_once(&mut asking).await;
        assert!(begun.is_none());
        assert!(client.on_reply(7, loan));
        thread::sleep(pause);
        asking.await
    });

    assert_eq!(reply, counts.then_some(loan));
}
