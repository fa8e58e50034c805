//! The event table of docs/OPERATIONS.md lists exactly the events that daemons on the platform log.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Calls that create a line of the event log, up to the name of the event; the second one creates
/// the line of a request.
const EVENT_CALLS: [&str; 2] = ["EventLine::new(\"", ".log_line(\""];

/// Paths of all files in a folder and its subfolders.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the source folder is readable");
    let paths = entries.map(|entry| entry.expect("the folder entry is readable").path());
    let nested = paths.map(|path| {
        if path.is_dir() {
            source_files(&path)
        } else {
            vec![path]
        }
    });
    nested.flatten().collect()
}

/// Names of the events that the sources log.
fn emitted_events() -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folders = ["src", "platform/src"].map(|name| root.join(name));
    let texts = folders
        .iter()
        .flat_map(|folder| source_files(folder))
        .map(|path| fs::read_to_string(path).expect("the source file is readable"));
    let mut events = BTreeSet::new();
    for text in texts {
        // Without white space, so that a call split over several lines matches too.
        let text: String = text.split_whitespace().collect();
        let names = EVENT_CALLS.iter().flat_map(|call| text.split(call).skip(1));
        events.extend(names.filter_map(|rest| Some(rest.split('"').next()?.to_owned())));
    }
    events
}

/// Names in the first column of the event table.
fn documented_events() -> BTreeSet<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page is readable");
    let section = page
        .split("## Events")
        .nth(1)
        .expect("the page has a section on events");
    let section = section.split("\n## ").next().unwrap_or_default();
    let columns = section.lines().filter_map(|line| line.split('|').nth(1));
    let names = columns.flat_map(|column| column.split('`').skip(1).step_by(2));
    names.map(str::to_owned).collect()
}

#[test]
fn every_event_stands_in_the_table_and_nothing_else() {
    let emitted = emitted_events();

    assert!(emitted.len() > 15, "{emitted:?}");
    assert_eq!(emitted, documented_events());
}
