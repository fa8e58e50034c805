//! Replies that a test dictates to a server, byte for byte.

use crate::site::http::AfterReply;
use arbutusmount::WireHead;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Time before a delayed end, so that the peer reads the bytes sent before it.
const END_DELAY: Duration = Duration::from_millis(50);

/// When a server sends a scripted reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyMoment {
    /// As soon as the head of the request has arrived, with most of a long body unread.
    AfterHead,
    /// Once the whole request was read.
    AfterRequest,
}

/// What a server does with the connection after a scripted reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyEnd {
    /// Closes it at once. When a part of the request is unread, that resets it.
    Close,
    /// Closes its own side, and the whole connection a little later.
    HalfClose,
    /// Resets it a little later.
    Reset,
    /// Reads what is left of the request and keeps the connection.
    Keep,
}

/// A reply to each request that has an attempt id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptedReply {
    /// When it is sent.
    pub moment: ReplyMoment,
    /// Its bytes; `{id}` is replaced by the attempt id.
    pub text: String,
    /// What follows it.
    pub end: ReplyEnd,
}

/// The scripted reply of a server, if any, and how often it was sent.
#[derive(Debug, Default)]
pub(super) struct ReplyScript {
    state: Mutex<ScriptState>,
}

#[derive(Debug, Default)]
struct ScriptState {
    reply: Option<ScriptedReply>,
    sent: usize,
}

impl ReplyScript {
    /// Sets the reply; `None` lets the server reply by itself again.
    pub(super) fn set(&self, reply: Option<ScriptedReply>) {
        self.lock().reply = reply;
    }

    /// Number of scripted replies so far.
    pub(super) fn sent(&self) -> usize {
        self.lock().sent
    }

    /// Sends the reply if it is due at this moment of a request; `None` when the server is to reply by itself.
    pub(super) fn send(
        &self,
        moment: ReplyMoment,
        request: &WireHead,
        stream: &mut TcpStream,
    ) -> Option<AfterReply> {
        let attempt_id = request.field("X-Attempt-Id")?;
        let reply = self.take_due(moment)?;
        // The daemon may have closed the connection.
        let _sent = stream.write_all(reply.text.replace("{id}", attempt_id).as_bytes());
        match reply.end {
            ReplyEnd::Close => return Some(AfterReply::Close),
            ReplyEnd::Keep => return Some(AfterReply::Keep),
            ReplyEnd::HalfClose => {
                let _closed = stream.shutdown(Shutdown::Write);
            }
            ReplyEnd::Reset => {}
        }
        thread::sleep(END_DELAY);
        Some(match reply.end {
            ReplyEnd::Reset => AfterReply::Reset,
            _ => AfterReply::Close,
        })
    }

    fn take_due(&self, moment: ReplyMoment) -> Option<ScriptedReply> {
        let mut state = self.lock();
        let reply = state.reply.clone().filter(|reply| reply.moment == moment)?;
        state.sent += 1;
        Some(reply)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ScriptState> {
        self.state.lock().expect("script is never poisoned")
    }
}
