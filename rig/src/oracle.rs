//! The stand-in model: a chain of hashes over every layer, every token and the identity of the
//! request, so that a skipped, repeated or misordered step changes the text.

use arbutusmount::{LayerRange, ModelId, VersionId};
use std::sync::Arc;

/// Number of different token texts.
const VOCABULARY_SIZE: u64 = 65_536;
/// One in this many activations ends the answer.
const STOP_ONE_IN: u64 = 4_096;

/// State of a generation at the first stage: a hash of the request's identity and the tokens so
/// far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OracleState(u64);

impl OracleState {
    /// Starts from the model, its version, the sampling seed and the prompt.
    pub fn new(model: &ModelId, version: &VersionId, seed: u64, prompt: &str) -> Self {
        let mut state = mix(seed, 1);
        for part in [model.as_str(), version.as_str(), prompt] {
            state = mix_text(state, part);
        }
        Self(state)
    }

    /// Appends a generated token.
    pub fn push(&mut self, token: &str) {
        self.0 = mix_text(self.0, token);
    }

    /// Activation for the next token, as it enters layer 0.
    pub fn activation(self) -> u64 {
        mix(self.0, 2)
    }
}

/// Applies the layers of a range to an activation.
pub fn run_layers(layers: LayerRange, activation: u64) -> u64 {
    (layers.from..layers.to).fold(activation, |value, layer| {
        mix(value, u64::from(layer) + 100)
    })
}

/// Decodes the token from the activation that leaves the last layer; `None` ends the answer.
pub fn read_token(activation: u64) -> Option<Arc<str>> {
    if activation.is_multiple_of(STOP_ONE_IN) {
        return None;
    }
    Some(Arc::from(format!(
        "w{:x} ",
        (activation >> 16) % VOCABULARY_SIZE
    )))
}

/// The tokens that a correct system generates, computed without engines.
pub fn reference_answer(
    model: &ModelId,
    version: &VersionId,
    layers: u32,
    seed: u64,
    prompt: &str,
    max_tokens: u32,
) -> Vec<Arc<str>> {
    let mut state = OracleState::new(model, version, seed, prompt);
    let mut tokens = Vec::new();
    while tokens.len() < max_tokens as usize {
        let activation = run_layers(LayerRange::new(0, layers), state.activation());
        let Some(token) = read_token(activation) else {
            break;
        };
        state.push(&token);
        tokens.push(token);
    }
    tokens
}

/// The text of [`reference_answer`] for a single user message.
///
/// # Panics
/// When the name of the model or of the version is invalid.
pub fn reference_text(
    (model, version, layers): (&str, &str, u32),
    seed: u64,
    message: &str,
    max_tokens: u32,
) -> String {
    let model = model.parse().expect("the model name is valid");
    let version = version.parse().expect("the version name is valid");
    let prompt = format!("user: {message}");
    reference_answer(&model, &version, layers, seed, &prompt, max_tokens).concat()
}

/// Hashes a text with its length, so that the ends of texts count.
fn mix_text(state: u64, text: &str) -> u64 {
    let with_length = mix(state, text.len() as u64);
    text.bytes()
        .fold(with_length, |value, byte| mix(value, u64::from(byte)))
}

/// Hashes both inputs with one round of the `SplitMix64` generator.
fn mix(state: u64, input: u64) -> u64 {
    let mut value = state
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        .wrapping_add(input);
    value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
