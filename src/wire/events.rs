//! Splits a server-sent event stream into complete events, kept byte for byte.

/// Incremental splitter: takes the bytes of a stream and returns its complete events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    /// Length of the part of `pending` that holds no complete event.
    scanned: usize,
}

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvent {
    /// The event as sent, with the empty line that ends it.
    pub bytes: Vec<u8>,
    /// Value of its `id` field; `None` when the field is absent or not a number.
    pub id: Option<u64>,
}

impl CompleteEvent {
    /// True when it holds comments alone, so that it is no event to the caller.
    pub fn is_comment(&self) -> bool {
        !has_fields(&self.bytes)
    }
}

impl EventSplitter {
    /// Buffer to which the caller appends decoded body bytes.
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next_event(&mut self) -> Option<CompleteEvent> {
        // The last 3 scanned bytes may be the start of the CRLF CRLF that ends an event.
        let start = self.scanned.saturating_sub(3);
        let Some(length) = event_length(&self.pending, start) else {
            self.scanned = self.pending.len();
            return None;
        };
        let rest = self.pending.split_off(length);
        let bytes = std::mem::replace(&mut self.pending, rest);
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(CompleteEvent { bytes, id })
    }

    /// Bytes that do not form a complete event yet.
    pub fn remainder(&self) -> &[u8] {
        &self.pending
    }

    /// True when the remainder holds a part of an event. Line ends and comments alone do not.
    pub fn is_inside_event(&self) -> bool {
        has_fields(&self.pending)
    }
}

/// True when one of the lines is neither empty nor a comment.
fn has_fields(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Length of the first event with its empty line, which is searched from `start` on.
fn event_length(bytes: &[u8], start: usize) -> Option<usize> {
    let mut position = start;
    while let Some(offset) = bytes[position..].iter().position(|byte| *byte == b'\n') {
        let end = position + offset;
        match &bytes[end + 1..] {
            [b'\n', ..] => return Some(end + 2),
            [b'\r', b'\n', ..] => return Some(end + 3),
            _ => position = end + 1,
        }
    }
    None
}

/// Value of the `id` field of an event, if it is a number.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    std::str::from_utf8(&line[3..]).ok()?.trim().parse().ok()
}
