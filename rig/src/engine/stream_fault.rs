//! Faults in the records that an engine streams.

use arbutusmount::{AttemptNumber, FinishCause, RequestId, StreamRecord, TokenPosition};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Token position at which a fault that occurs once does so.
const FAULT_POSITION: u32 = 10;

/// Fault that an engine puts into its stream of records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFault {
    /// No fault.
    #[default]
    None,
    /// Sends each token twice.
    Duplicate,
    /// Sends a token of another request before each token.
    Crossed,
    /// Sends a wrong token of the previous attempt and one of the next attempt before each token.
    OldAttempt,
    /// Omits one token.
    Skip,
    /// Ends the stream without a finish record.
    Truncate,
    /// Sends a finish record that counts more tokens than were sent.
    FalseFinish,
    /// Sends a finish record with cause `length` before the requested number of tokens.
    ShortFinish,
}

/// Records to send in place of one token record.
#[derive(Debug)]
pub(super) struct FaultyRecords {
    pub(super) records: Vec<StreamRecord>,
    /// True when the stream ends after them.
    pub(super) ends_stream: bool,
}

impl StreamFault {
    /// Applies the fault to a token record.
    pub(super) fn apply(self, record: StreamRecord) -> FaultyRecords {
        let StreamRecord::Token {
            request,
            attempt,
            position,
            ..
        } = record
        else {
            return continue_with(vec![record]);
        };
        let is_fault_position = position.0 == FAULT_POSITION;
        let finish = |tokens| StreamRecord::Finish {
            request,
            attempt,
            cause: FinishCause::Length,
            tokens,
        };
        match self {
            Self::Duplicate => continue_with(vec![record.clone(), record]),
            Self::Crossed => {
                let other = RequestId(request.0.wrapping_add(1));
                continue_with(vec![wrong_token(other, attempt, position), record])
            }
            Self::OldAttempt => {
                let previous = AttemptNumber(attempt.0 - 1);
                let wrong = |attempt| wrong_token(request, attempt, position);
                continue_with(vec![wrong(previous), wrong(attempt.next()), record])
            }
            Self::Skip if is_fault_position => continue_with(Vec::new()),
            Self::Truncate if is_fault_position => end_with(Vec::new()),
            Self::FalseFinish if is_fault_position => end_with(vec![finish(position.0 + 5)]),
            Self::ShortFinish if is_fault_position => end_with(vec![finish(position.0)]),
            Self::None | Self::Skip | Self::Truncate | Self::FalseFinish | Self::ShortFinish => {
                continue_with(vec![record])
            }
        }
    }
}

fn continue_with(records: Vec<StreamRecord>) -> FaultyRecords {
    FaultyRecords {
        records,
        ends_stream: false,
    }
}

fn end_with(records: Vec<StreamRecord>) -> FaultyRecords {
    FaultyRecords {
        records,
        ends_stream: true,
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
