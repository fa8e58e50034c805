//! The whole path with real processes: declare, plan, confirm and serve.

mod support;

use rig::{EngineKnobs, FleetSpec, reference_text};
use support::{MODEL, chat_request, ready_fleet, team_client};

#[async_std::test]
async fn streamed_answer_equals_reference() {
    // Arrange
    let fleet = ready_fleet(FleetSpec::default(), 1).await;
    let ask = chat_request("Where is my delivery slip?", 11, 64);

    // Act
    let mut text = String::new();
    let daemon = fleet.daemons[1].addresses.listen;
    let finish = team_client()
        .ask(daemon, &ask, |piece| text.push_str(piece))
        .await;

    // Assert
    assert_eq!(finish, Ok("length".to_owned()));
    assert_eq!(
        text,
        reference_text(MODEL, 11, "Where is my delivery slip?", 64)
    );
}

#[async_std::test]
async fn answer_survives_the_loss_of_each_stage() {
    for killed in 0..3 {
        // Arrange: two replicas of the model; engines 0, 3 and so on hold it by domain.
        let engines = vec![(EngineKnobs::default(), 8_000); 6];
        let mut fleet = ready_fleet(
            FleetSpec {
                engines,
                ..FleetSpec::default()
            },
            2,
        )
        .await;
        let ask = chat_request("My coverall is torn.", 5, 80);
        let daemon = fleet.daemons[0].addresses.listen;

        // Act
        let (mut text, mut tokens) = (String::new(), 0);
        let finish = team_client()
            .ask(daemon, &ask, |piece| {
                text.push_str(piece);
                tokens += 1;
                if tokens == 20 {
                    fleet.engines[killed].process.kill();
                }
            })
            .await;

        // Assert
        assert_eq!(finish, Ok("length".to_owned()), "engine {killed} killed");
        assert_eq!(text, reference_text(MODEL, 5, "My coverall is torn.", 80));
    }
}
