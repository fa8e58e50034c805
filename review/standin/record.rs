//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Begins the record.
pub fn begin(path: &str) {
    let file = Mutex::new(File::create(path).expect("the record can be written"));
    let _ = RECORD.set(Record {
        start: Instant::now(),
        file,
    });
}

/// Adds a line.
pub fn note(line: &str) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_secs_f64();
        if let Ok(mut file) = record.file.lock() {
            let _ = writeln!(file, "{at:9.3} {line}");
        }
    }
}

/// Adds a line and prints it.
pub fn say(line: &str) {
    note(line);
    println!("{line}");
}
