//! Checks that only `platform/` holds the platform's names.

use std::fs;
use std::path::{Path, PathBuf};

/// Headers, paths, keys and fields of the platform. Left out are names that the product's own
/// interface, which is older than the platform, has as well: those of its health and engine calls,
/// and `Retry-After`.
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
    "Server-Limit",
    "Server-Leaving",
    "Store-Era",
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

/// Collects the Rust files of a folder and its subfolders.
fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn product_does_not_know_the_platforms_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_sources(&root.join("src"), &mut files);

    let mut violations = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file)
            .expect("the source is readable")
            .to_lowercase();
        for name in PLATFORM_NAMES {
            if text.contains(&name.to_lowercase()) {
                violations.push(format!("{}: {name}", file.display()));
            }
        }
    }

    assert!(
        files.len() > 100,
        "only {} source files were read",
        files.len()
    );
    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn platform_folder_holds_names_that_the_check_looks_for() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_sources(&root.join("platform/src"), &mut files);
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
