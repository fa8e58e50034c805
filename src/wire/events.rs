//! Splits a server-sent event stream into whole events, kept byte for byte.

/// Collects bytes of a stream and hands out whole events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    pending: Vec<u8>,
    scanned: usize,
}

/// One whole event: its bytes with the empty line that ends it, and its id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteEvent {
    /// The event as sent.
    pub bytes: Vec<u8>,
    /// Value of its `id` field.
    pub id: Option<u64>,
}

impl EventSplitter {
    /// Where decoded body bytes are appended.
    pub fn input(&mut self) -> &mut Vec<u8> {
        &mut self.pending
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<CompleteEvent> {
        let from = self.scanned.saturating_sub(3);
        let Some(length) = event_length(&self.pending, from) else {
            self.scanned = self.pending.len();
            return None;
        };
        let rest = self.pending.split_off(length);
        let bytes = std::mem::replace(&mut self.pending, rest);
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(CompleteEvent { bytes, id })
    }

    /// Bytes of an event that has not ended.
    pub fn remainder(&self) -> &[u8] {
        &self.pending
    }
}

/// Length of the first event, its empty line included, looking for the empty line after `from`.
fn event_length(bytes: &[u8], from: usize) -> Option<usize> {
    let mut position = from;
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

/// Value of an event's `id` field.
pub fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find(|line| line.starts_with(b"id:"))?;
    std::str::from_utf8(&line[3..]).ok()?.trim().parse().ok()
}
