//! Only `platform/` knows the platform's names.

use std::fs;
use std::path::{Path, PathBuf};

/// Headers, paths, keys and fields of the platform. Names that the product's own interface, older than
/// the platform, shares with it are not among them: its health and engine calls, and `Retry-After`.
const PLATFORM_NAMES: &[&str] = &[
    "X-Attempt-Id",
    "X-Deadline-Ms",
    "X-Prompt-Prefix",
    "Last-Event-Id",
    "X-Server-Stamp",
    "X-Tenant",
    "X-Expect-Instance",
    "X-Server-Load",
    "X-Not-Executed",
    "X-Instance-Id",
    "X-Model",
    "X-Token-Count",
    "X-Request-Urgency",
    "X-Weight-Versions",
    "X-Expect-Version",
    "X-Hops",
    "X-Length-Hint",
    "At-Server",
    "/resolve",
    "/kv-",
    "op/config",
    "servers/",
    "RouteType",
    "TimeoutMs",
    "GoalMs",
    "MaxAttempts",
    "ApiKeys",
    "MaxConnections",
    "MaxHeaderBytes",
    "HeartbeatMs",
    "ColdRemainingMs",
    "TtlMs",
    "StoreRevision",
    "Tombstone",
    "Precondition",
    "FencingToken",
    "DrainMode",
    "SizeMb",
    "KvBytes",
    "ReadFactor",
    "NodeName",
    "MachineClass",
    "InternalPorts",
    "RetryBudgetRatio",
    "BudgetExtra",
    "ContactMs",
    "ARBUTUSMOUNT_CONFIG",
    "GapTargetMs",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn product_does_not_know_the_platforms_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("src"), &mut files);

    let mut offences = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file)
            .expect("the source is readable")
            .to_lowercase();
        for name in PLATFORM_NAMES {
            if text.contains(&name.to_lowercase()) {
                offences.push(format!("{}: {name}", file.display()));
            }
        }
    }

    assert!(files.len() > 100, "only {} sources were read", files.len());
    assert_eq!(offences, Vec::<String>::new());
}

#[test]
fn platform_folder_holds_names_that_the_check_looks_for() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    sources(&root.join("platform/src"), &mut files);
    let texts: Vec<String> = files
        .iter()
        .map(|file| fs::read_to_string(file).expect("readable"))
        .collect();

    let known = PLATFORM_NAMES
        .iter()
        .filter(|name| texts.iter().any(|text| text.contains(*name)));

    assert!(
        known.count() > 15,
        "the check looks for names that the platform does not use"
    );
}
