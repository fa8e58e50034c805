//! Structured lines on standard output, written by a thread of their own. Nothing that serves a request
//! waits for it: when the queue is full, lines are dropped and counted.

use serde_json::{Map, Value};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Lines that wait to be written.
const QUEUE_LINES: usize = 1_024;
/// Time for which lines are gathered, so that a write carries several.
const GATHER: Duration = Duration::from_millis(100);

/// One line.
#[derive(Debug, Clone)]
pub struct EventLine {
    fields: Map<String, Value>,
}

impl EventLine {
    /// A line about an event with this name.
    pub fn new(event: &str) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut fields = Map::new();
        fields.insert(
            "time".to_owned(),
            Value::from(since_epoch.as_millis() as u64),
        );
        fields.insert("event".to_owned(), Value::from(event));
        Self { fields }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    /// Adds a field that prints itself.
    #[must_use]
    pub fn with_display(self, name: &str, value: impl std::fmt::Display) -> Self {
        self.with(name, value.to_string())
    }
}

/// Takes lines from any thread; cheap to clone.
#[derive(Debug, Clone)]
pub struct EventLog {
    sender: SyncSender<EventLine>,
    dropped: Arc<AtomicU64>,
}

impl EventLog {
    /// Starts a log that writes to `output`.
    pub fn start(instance: &str, output: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        let instance = instance.to_owned();
        let writer = thread::Builder::new().name("event-log".to_owned());
        let spawned = writer.spawn(move || write_lines(&receiver, &counter, &instance, output));
        if let Err(cause) = spawned {
            log::error!("no structured log, its thread cannot start: {cause}");
        }
        Self { sender, dropped }
    }

    /// Writes a line, or drops it when the queue is full.
    pub fn emit(&self, line: EventLine) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(
    receiver: &Receiver<EventLine>,
    dropped: &AtomicU64,
    instance: &str,
    mut output: impl Write,
) {
    let mut batch = Vec::new();
    while let Ok(first) = receiver.recv() {
        thread::sleep(GATHER);
        let lost = dropped.swap(0, Ordering::Relaxed);
        let loss = (lost > 0).then(|| EventLine::new("lines_dropped").with("count", lost));
        let lines = std::iter::once(first)
            .chain(receiver.try_iter())
            .chain(loss);
        batch.clear();
        for line in lines {
            let line = line.with("instance", instance);
            batch.extend_from_slice(Value::Object(line.fields).to_string().as_bytes());
            batch.push(b'\n');
        }
        // A reader that has gone away is no reason to stop serving.
        if let Err(cause) = output.write_all(&batch).and_then(|()| output.flush()) {
            dropped.fetch_add(1, Ordering::Relaxed);
            log::debug!("structured log not written: {cause}");
        }
    }
}
