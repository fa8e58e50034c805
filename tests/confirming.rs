//! Plan confirmation: a plan takes effect at most once, and the operator is told whether it did.

mod support;

use arbutusmount::OperatorError;
use futures_lite::future::zip;
use rig::sample_declaration;
use serde_json::json;
use support::proxied::{ProxiedFleet, operator, with_team};

#[async_std::test]
async fn lost_confirm_reply_is_settled_and_never_repeated() {
    // Arrange
    let proxied = ProxiedFleet::declared(2).await;
    let plan = proxied.plan(0, "somchai", with_team("audit")).await;

    // Act: the first write takes effect but its reply is lost; then the operator confirms again.
    proxied.set_platform(json!({ "lose_replies": 1 })).await;
    let first = operator().confirm(proxied.address(0), &plan).await;
    let second = operator().confirm(proxied.address(1), &plan).await;

    // Assert
    let first = first.expect("the outcome is found out after the lost reply");
    let second = second.expect("confirming again succeeds");
    assert_eq!(first.revision, second.revision);
    proxied.wait_revision(&[0, 1], first.revision).await;
}

#[async_std::test]
async fn one_of_two_racing_confirms_wins_and_the_other_learns_what_changed() {
    // Arrange
    let proxied = ProxiedFleet::declared(2).await;
    let ours = proxied.plan(0, "somchai", with_team("audit")).await;
    let theirs = proxied.plan(1, "liga", with_team("customs")).await;

    // Act
    let (operator, client) = (operator(), operator());
    let (ours, theirs) = zip(
        Box::pin(operator.confirm(proxied.address(0), &ours)),
        Box::pin(client.confirm(proxied.address(1), &theirs)),
    )
    .await;

    // Assert
    let (winner, lost, author, team) = match (ours, theirs) {
        (Ok(winner), Err(lost)) => (winner, lost, "somchai", "audit"),
        (Err(lost), Ok(winner)) => (winner, lost, "liga", "customs"),
        both => panic!("exactly one of two confirmations succeeds: {both:?}"),
    };
    let OperatorError::Problem { status, body } = lost else {
        panic!("the other confirmation gets a problem answer: {lost}");
    };
    assert_eq!(status, 409);
    assert!(
        body.contains(author) && body.contains(&format!("team {team}")),
        "{body}"
    );
    assert!(body.contains("not_run"), "{body}");
    proxied.wait_revision(&[0, 1], winner.revision).await;
}

#[async_std::test]
async fn confirm_repeated_after_a_later_plan_changes_nothing() {
    // Arrange
    let proxied = ProxiedFleet::declared(2).await;
    let first = proxied.plan(0, "somchai", with_team("audit")).await;
    let confirmed = operator().confirm(proxied.address(0), &first).await;
    let confirmed = confirmed.expect("the first plan is confirmed");
    let second = proxied.plan(0, "liga", with_team("customs")).await;
    let latest = operator().confirm(proxied.address(0), &second).await;
    let latest = latest.expect("the second plan is confirmed");

    // Act
    let repeated = operator().confirm(proxied.address(1), &first).await;

    // Assert: the first plan took effect once, and the second one is still in force.
    let repeated = repeated.expect("the repeated confirmation reports that the plan took effect");
    assert_eq!(repeated.revision, confirmed.revision);
    assert_eq!(repeated.superseded_by, Some(latest.revision));
    proxied.wait_revision(&[0, 1], latest.revision).await;
}

#[async_std::test]
async fn confirm_in_a_hanging_store_is_unknown_and_can_be_repeated() {
    // Arrange
    let proxied = ProxiedFleet::declared(1).await;
    let plan = proxied.plan(0, "somchai", with_team("audit")).await;
    proxied.set_platform(json!({ "hang": true })).await;

    // Act
    let hanging = operator().confirm(proxied.address(0), &plan).await;
    proxied.set_platform(json!({ "hang": false })).await;
    let repeated = operator().confirm(proxied.address(0), &plan).await;

    // Assert
    let Err(OperatorError::Problem { body, .. }) = hanging else {
        panic!("the outcome is unknown while the store hangs: {hanging:?}");
    };
    assert!(body.contains("\"unknown\""), "{body}");
    let revision = repeated.expect("the plan is confirmed").revision;
    proxied.wait_revision(&[0], revision).await;
}

#[async_std::test]
async fn plan_edited_into_an_invalid_declaration_is_refused() {
    // Arrange
    let proxied = ProxiedFleet::serving(1).await;
    let before = proxied.revision(0).await;
    let mut plan = proxied.plan(0, "somchai", sample_declaration(1)).await;
    plan.document.declaration.models[0].floor = 9;

    // Act
    let confirmed = operator().confirm(proxied.address(0), &plan).await;

    // Assert
    let Err(OperatorError::Problem { status, body }) = confirmed else {
        panic!("the plan is refused: {confirmed:?}");
    };
    assert_eq!(status, 400);
    assert!(body.contains("$.models[0].floor"), "{body}");
    assert_eq!(proxied.revision(0).await, before);
}
