//! The text of the stand-in model depends on every step and on the identity of the request.

use rig::{OracleState, reference_text};
use test_case::test_case;

const MODEL: (&str, &str, u32) = ("helpdesk", "v1", 24);

#[test_case(("helpdesk", "v1", 23), 1, "a question"; "a layer is skipped")]
#[test_case(("helpdesk", "v1", 25), 1, "a question"; "a layer is doubled")]
#[test_case(("helpdesk", "v2", 24), 1, "a question"; "another version")]
#[test_case(("helpdesk", "v1", 24), 2, "a question"; "another seed")]
#[test_case(("helpdesk", "v1", 24), 1, "another question"; "another caller's prompt")]
fn wrong_steps_change_the_text(model: (&str, &str, u32), seed: u64, prompt: &str) {
    let right = reference_text(MODEL, 1, "a question", 16);

    let wrong = reference_text(model, seed, prompt, 16);

    assert_ne!(right, wrong);
}

#[test]
fn lost_token_changes_the_state() {
    let (model, version) = ("helpdesk".parse().unwrap(), "v1".parse().unwrap());
    let mut complete = OracleState::new(&model, &version, 1, "a question");
    let mut shortened = complete;

    complete.push("w1 ");
    complete.push("w2 ");
    shortened.push("w2 ");

    assert_ne!(complete, shortened);
}
