//! Memory of responses in progress, without a network.

use arbutusmount::{ResponseBudget, ResponseHold};

const MB: usize = 1 << 20;
/// Size of an ordinary response.
const SMALL_BYTES: usize = 16 * 1024;

/// A budget of 2 MB.
fn budget() -> ResponseBudget {
    ResponseBudget::of_process(Some(8))
}

/// Responses that grow to `bytes` each, until there is no memory for a further one.
fn fill(budget: &ResponseBudget, bytes: usize) -> Vec<ResponseHold> {
    let mut holds = Vec::new();
    loop {
        let mut hold = budget.open();
        if !hold.resize(bytes) {
            return holds;
        }
        holds.push(hold);
    }
}

/// Load: many responses without end at once, each below its own size limit.
#[test]
fn responses_hold_no_more_than_the_budget_together() {
    let budget = budget();

    let holds = fill(&budget, MB / 2);

    assert_eq!(holds.len(), 4);
    assert!(budget.held() <= 2 * MB, "{} bytes", budget.held());
}

#[test]
fn ordinary_response_is_read_while_others_hold_the_budget() {
    let budget = budget();
    let _holds = fill(&budget, MB / 2);

    let mut ordinary = budget.open();

    assert!(ordinary.resize(SMALL_BYTES));
}

#[test]
fn response_that_cannot_grow_keeps_what_it_holds() {
    let budget = budget();
    let mut first = budget.open();
    assert!(first.resize(MB));
    let before = budget.held();
    let mut second = budget.open();
    assert!(second.resize(MB / 2));

    let grows = second.resize(2 * MB);

    assert!(!grows);
    assert_eq!(budget.held(), before + MB / 2 - SMALL_BYTES);
}

#[test]
fn ended_response_releases_its_memory() {
    let budget = budget();
    drop(fill(&budget, MB / 2));
    assert_eq!(budget.held(), 0);

    let mut next = budget.open();

    assert!(next.resize(2 * MB));
    assert!(next.resize(0), "a response may always shrink");
    assert_eq!(budget.held(), 0);
}

/// A buffer grows in steps rather than by doubling, and only after the memory for that was counted.
#[test]
fn buffer_grows_no_further_than_its_memory() {
    let budget = budget();
    let mut hold = budget.open();
    let mut buffer = Vec::new();

    while hold.reserve(&mut buffer, SMALL_BYTES) {
        buffer.resize(buffer.len() + SMALL_BYTES, 0);
    }

    assert!(
        buffer.capacity() <= 2 * MB + SMALL_BYTES,
        "{}",
        buffer.capacity()
    );
    assert!(buffer.len() > MB, "{}", buffer.len());
    assert_eq!(budget.held(), buffer.capacity() - SMALL_BYTES);
}
