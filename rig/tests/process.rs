//! Handles of child processes: freezing, continuing and waiting.

use rig::ProcessHandle;
use std::path::Path;
use std::thread;

/// Busy processes per core, so that a stop signal takes effect only once its process is scheduled.
const BUSY_PER_CORE: usize = 4;

#[test]
fn frozen_process_has_stopped_when_freeze_returns() {
    // Arrange: more busy processes than cores, so that most of them wait for a core.
    let cores = thread::available_parallelism().unwrap().get();
    let spin = ["-c", "while :; do :; done"].map(str::to_owned);
    let busy: Vec<ProcessHandle> = (0..cores * BUSY_PER_CORE)
        .map(|_| ProcessHandle::start(Path::new("/bin/sh"), &spin, Path::new("/dev/null")).unwrap())
        .collect();

    // Act
    let states = busy.iter().map(|process| {
        process.freeze();
        state_of(process.id())
    });
    let states: String = states.collect();

    // Assert
    assert_eq!(states, "T".repeat(busy.len()));
}

#[test]
fn thawed_process_goes_on() {
    // Arrange
    let script = ["-c", "exit 7"].map(str::to_owned);
    let sleep = ["0.2"].map(str::to_owned);
    let null = Path::new("/dev/null");
    let mut exiting = ProcessHandle::start(Path::new("/bin/sh"), &script, null).unwrap();
    let mut frozen = ProcessHandle::start(Path::new("/bin/sleep"), &sleep, null).unwrap();

    // Act: freezing must also return when the process ends meanwhile.
    exiting.freeze();
    frozen.freeze();
    let was_stopped = state_of(frozen.id()) == 'T';
    frozen.thaw();
    exiting.thaw();

    // Assert
    assert!(was_stopped);
    for process in [&mut exiting, &mut frozen] {
        assert!(process.wait(std::time::Duration::from_secs(10)).is_some());
    }
}

/// State letter of a process in `/proc/PID/stat`; `T` means stopped.
fn state_of(process: u32) -> char {
    let line = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let (_, fields) = line.rsplit_once(')').unwrap();
    fields.trim_start().chars().next().unwrap()
}
