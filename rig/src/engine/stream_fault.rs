//! Faults in the records that an engine streams.

use arbutusmount::{AttemptNumber, FinishCause, RequestId, StreamRecord, TokenPosition};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Position at which single faults happen.
const FAULT_POSITION: u32 = 10;

/// What an engine does wrong with its records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFault {
    /// Nothing.
    #[default]
    None,
    /// Sends each token twice.
    Duplicate,
    /// Sends a token of another request before each token.
    Crossed,
    /// Sends a wrong token of the attempt before, and of the one after, before each token.
    OldAttempt,
    /// Leaves out one token.
    Skip,
    /// Ends the stream without a finish record.
    Truncate,
    /// Sends a finish record that counts more tokens than were sent.
    FalseFinish,
    /// Says after some tokens that the wanted number is reached.
    ShortFinish,
}

/// Records to send in place of one.
#[derive(Debug)]
pub(super) struct Distorted {
    pub(super) records: Vec<StreamRecord>,
    /// True when the stream ends here.
    pub(super) ends: bool,
}

impl StreamFault {
    /// Applies the fault to a token record.
    pub(super) fn distort(self, record: StreamRecord) -> Distorted {
        let StreamRecord::Token {
            request,
            attempt,
            position,
            ..
        } = record
        else {
            return pass(vec![record]);
        };
        let is_here = position.0 == FAULT_POSITION;
        let finish = |tokens| StreamRecord::Finish {
            request,
            attempt,
            cause: FinishCause::Length,
            tokens,
        };
        match self {
            Self::Duplicate => pass(vec![record.clone(), record]),
            Self::Crossed => {
                let other = RequestId(request.0.wrapping_add(1));
                pass(vec![wrong_token(other, attempt, position), record])
            }
            Self::OldAttempt => {
                let old = AttemptNumber(attempt.0 - 1);
                let wrong = |attempt| wrong_token(request, attempt, position);
                pass(vec![wrong(old), wrong(attempt.next()), record])
            }
            Self::Skip if is_here => pass(Vec::new()),
            Self::Truncate if is_here => end(Vec::new()),
            Self::FalseFinish if is_here => end(vec![finish(position.0 + 5)]),
            Self::ShortFinish if is_here => end(vec![finish(position.0)]),
            Self::None | Self::Skip | Self::Truncate | Self::FalseFinish | Self::ShortFinish => {
                pass(vec![record])
            }
        }
    }
}

fn pass(records: Vec<StreamRecord>) -> Distorted {
    Distorted {
        records,
        ends: false,
    }
}

fn end(records: Vec<StreamRecord>) -> Distorted {
    Distorted {
        records,
        ends: true,
    }
}

fn wrong_token(
    request: RequestId,
    attempt: AttemptNumber,
    position: TokenPosition,
) -> StreamRecord {
    StreamRecord::Token {
        request,
        attempt,
        position,
        text: Arc::from("WRONG "),
    }
}
