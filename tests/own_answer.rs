//! Each caller gets the complete answer to its own request, whatever faults engines and connections
//! have.

mod support;

use async_std::task;
use rig::{EngineKnobs, FleetSpec, ProcessFleet, StreamFault, reference_text};
use support::{MODEL, chat_request, ready_fleet, team_client};
use test_case::test_case;

const TOKENS: u32 = 40;

fn spec(engines: usize) -> FleetSpec {
    FleetSpec {
        daemons: 1,
        engines: vec![(EngineKnobs::default(), 8_000); engines],
        services: 0,
        ..FleetSpec::default()
    }
}

/// Makes engines distort the streams that they send as first engine of a chain.
async fn misbehave(fleet: &ProcessFleet, count: usize, fault: StreamFault) {
    for member in fleet.engines.iter().take(count) {
        let knobs = serde_json::json!({ "stream_fault": fault });
        fleet.set_knobs(member.row.address, knobs).await;
    }
}

async fn ask(fleet: &ProcessFleet, message: &str, seed: u64) -> (Result<String, String>, String) {
    let mut text = String::new();
    let daemon = fleet.daemons[0].addresses.listen;
    let wanted = chat_request(message, seed, TOKENS);
    let client = team_client();
    let finish = client
        .ask(daemon, &wanted, |piece| text.push_str(piece))
        .await;
    (finish.map_err(|cause| format!("{cause:?}")), text)
}

/// One of the two first engines is at fault, or both for records that the router can recognize as
/// wrong and drop.
#[test_case(StreamFault::Duplicate, 6)]
#[test_case(StreamFault::Crossed, 6)]
#[test_case(StreamFault::OldAttempt, 6)]
#[test_case(StreamFault::Skip, 3)]
#[test_case(StreamFault::Truncate, 3)]
#[test_case(StreamFault::FalseFinish, 3)]
#[test_case(StreamFault::ShortFinish, 3)]
fn misbehaving_heads_do_not_change_the_answer(fault: StreamFault, at_fault: usize) {
    task::block_on(async {
        // Arrange: engines are placed by failure domain, so every third one belongs to one replica.
        let fleet = ready_fleet(spec(6), 2).await;
        let heads: Vec<usize> = (0..6).collect();
        for index in heads
            .iter()
            .filter(|index| at_fault == 6 || **index % 3 == 0)
        {
            let knobs = serde_json::json!({ "stream_fault": fault });
            fleet
                .set_knobs(fleet.engines[*index].row.address, knobs)
                .await;
        }

        for seed in 0..4 {
            // Act
            let (finish, text) = ask(&fleet, "Which size fits?", seed).await;

            // Assert
            assert_eq!(finish, Ok("length".to_owned()), "{fault:?}");
            assert_eq!(
                text,
                reference_text(MODEL, seed, "Which size fits?", TOKENS)
            );
        }
    });
}

#[test_case(StreamFault::Truncate)]
#[test_case(StreamFault::FalseFinish)]
#[test_case(StreamFault::ShortFinish)]
fn answer_that_cannot_be_completed_never_ends_silently(fault: StreamFault) {
    task::block_on(async {
        // Arrange
        let fleet = ready_fleet(spec(3), 1).await;
        misbehave(&fleet, 3, fault).await;

        // Act
        let (finish, text) = ask(&fleet, "Which size fits?", 3).await;

        // Assert
        let cause = finish.expect_err("the answer is incomplete");
        assert!(
            cause.contains("Incomplete") && cause.contains("partial"),
            "{cause}"
        );
        assert!(reference_text(MODEL, 3, "Which size fits?", TOKENS).starts_with(&text));
    });
}

#[async_std::test]
async fn connections_reused_after_cuts_never_carry_another_answer() {
    // Arrange: callers disconnect in mid-answer again and again, so that connections to the first
    // engines are dropped in every state.
    let fleet = ready_fleet(spec(6), 2).await;
    let daemon = fleet.daemons[0].addresses.listen;

    for round in 0..6_u64 {
        let leavers = (0..4_u64).map(|index| {
            let wanted = chat_request("I leave early.", 100 + index, TOKENS);
            task::spawn(async move {
                let client = team_client();
                let mut tokens = 0;
                let asked = client.ask(daemon, &wanted, |_piece| tokens += 1);
                let cut = std::time::Duration::from_millis(20 + 17 * (index + round));
                let asked = async_std::future::timeout(cut, asked);
                Box::pin(asked).await.is_err()
            })
        });
        let leavers: Vec<_> = leavers.collect();

        // Act
        let stayers = (0..4_u64).map(|index| {
            let message = format!("Question {index} of round {round}");
            let fleet = &fleet;
            async move { (ask(fleet, &message, index).await, message, index) }
        });
        let answers = futures_util::future::join_all(stayers).await;
        for leaver in leavers {
            leaver.await;
        }

        // Assert
        for ((finish, text), message, seed) in answers {
            assert_eq!(finish, Ok("length".to_owned()), "{message}");
            assert_eq!(
                text,
                reference_text(MODEL, seed, &message, TOKENS),
                "{message}"
            );
        }
    }
}
