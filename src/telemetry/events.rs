//! Structured event log: JSON lines, usually on standard output. A separate thread writes them, so
//! that requests never wait for the output. When its queue is full, lines are dropped and counted.

use serde_json::{Map, Value};
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Lines that can wait to be written.
const LINE_QUEUE_CAPACITY: usize = 1_024;
/// Time for which lines are collected, so that one write carries several.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// One line of the event log: a JSON object.
#[derive(Debug, Clone)]
pub struct EventLine {
    fields: Map<String, Value>,
}

impl EventLine {
    /// Creates a line with the current time and the name of the event.
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

    /// Adds a field whose value is the text that `value` displays.
    #[must_use]
    pub fn with_display(self, name: &str, value: impl std::fmt::Display) -> Self {
        self.with(name, value.to_string())
    }
}

/// Queue of lines to be written, usable from any thread; cheap to clone.
#[derive(Debug, Clone)]
pub struct EventLog {
    sender: SyncSender<EventLine>,
    dropped: Arc<AtomicU64>,
}

impl EventLog {
    /// Starts a log that writes to `output` and adds the name of the instance to each line.
    pub fn start(instance: &str, output: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(LINE_QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        let instance = instance.to_owned();
        let builder = thread::Builder::new().name("event-log".to_owned());
        let spawned = builder.spawn(move || write_lines(&receiver, &counter, &instance, output));
        if let Err(cause) = spawned {
            log::error!(
                "cannot start the thread of the event log, no events will be written: {cause}"
            );
        }
        Self { sender, dropped }
    }

    /// Queues a line to be written, or drops it when the queue is full.
    pub fn emit(&self, line: EventLine) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes the queued lines in batches until all senders are gone; reports dropped lines by an
/// event.
fn write_lines(
    receiver: &Receiver<EventLine>,
    dropped: &AtomicU64,
    instance: &str,
    mut output: impl Write,
) {
    let mut batch = Vec::new();
    while let Ok(first) = receiver.recv() {
        thread::sleep(BATCH_DELAY);
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        let drop_notice = (dropped_count > 0)
            .then(|| EventLine::new("lines_dropped").with("count", dropped_count));
        let lines = std::iter::once(first)
            .chain(receiver.try_iter())
            .chain(drop_notice);
        batch.clear();
        for line in lines {
            let line = line.with("instance", instance);
            batch.extend_from_slice(Value::Object(line.fields).to_string().as_bytes());
            batch.push(b'\n');
        }
        // A failed write must not end the daemon, for instance when the reader of the output has
        // exited.
        if let Err(cause) = output.write_all(&batch).and_then(|()| output.flush()) {
            dropped.fetch_add(1, Ordering::Relaxed);
            log::debug!("cannot write to the event log: {cause}");
        }
    }
}
