//! What one daemon tells another with a request that it passes on.

use crate::ids::InstanceId;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Request header field that holds a [`PeerDispatch`].
pub(in crate::relay) const PEER_FIELD: &str = "Arbutusmount-Peer";
/// Response header field that marks a local reply of the other daemon and names its cause.
pub(in crate::relay) const LOCAL_REPLY_FIELD: &str = "Arbutusmount-Local-Reply";

/// Metadata of a request that another daemon passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDispatch {
    /// Daemon that took the request from its caller.
    pub sender: InstanceId,
    /// Token of its presence entry.
    pub token: Arc<str>,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Id of the event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// Targets that may have executed the request so far.
    pub executions: u32,
}

impl fmt::Display for PeerDispatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sender, token) = (&self.sender, &self.token);
        let (time_left, executions) = (self.time_left.as_millis(), self.executions);
        write!(f, "{sender};{token};{time_left};{executions};")?;
        match self.resume_after {
            Some(event) => write!(f, "{event}"),
            None => Ok(()),
        }
    }
}

/// The field cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerDispatchError;

impl FromStr for PeerDispatch {
    type Err = PeerDispatchError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split(';').collect();
        let [sender, token, time_left, executions, event] = parts[..] else {
            return Err(PeerDispatchError);
        };
        let number = |text: &str| text.parse::<u64>().map_err(|_malformed| PeerDispatchError);
        Ok(Self {
            sender: sender.parse().map_err(|_malformed| PeerDispatchError)?,
            token: Arc::from(token),
            time_left: Duration::from_millis(number(time_left)?),
            resume_after: (!event.is_empty()).then(|| number(event)).transpose()?,
            executions: executions.parse().map_err(|_malformed| PeerDispatchError)?,
        })
    }
}
