//! A claimed call is written to its target before the dispatch timeout ends, or not at all.

#[path = "support/calls.rs"]
mod calls;

use arbutusmount::{ClaimSettings, TimingSettings};
use async_std::task;
use calls::{
    FleetPermit, WAIT_TIMEOUT, dated_key, is_claimed, order, order_until, seeded_rng,
    service_fleet, service_spec,
};
use rig::{FleetSpec, wait_until};
use socket2::SockRef;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

/// Dispatch timeout of the daemons.
const DISPATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout after which the queue of a listener counts as full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for the first bytes on a connection.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two looks for a connection.
const ACCEPT_POLL: Duration = Duration::from_millis(5);

/// A target that reads the first bytes on each connection and then closes it.
struct ReadingTarget {
    stop: Arc<AtomicBool>,
    reader: JoinHandle<(TcpListener, Vec<Vec<u8>>)>,
}

impl ReadingTarget {
    fn start(listener: TcpListener) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = Arc::clone(&stop);
        let reader = spawn(move || {
            listener.set_nonblocking(true).unwrap();
            let mut received = Vec::new();
            while !is_stopped.load(Ordering::Acquire) {
                match listener.accept() {
                    Ok((stream, _peer)) => received.push(read_first_bytes(stream)),
                    Err(_none_yet) => std::thread::sleep(ACCEPT_POLL),
                }
            }
            (listener, received)
        });
        Self { stop, reader }
    }

    /// Stops accepting; returns the listener and what was read on each connection.
    fn stop(self) -> (TcpListener, Vec<Vec<u8>>) {
        self.stop.store(true, Ordering::Release);
        self.reader.join().expect("the target ends")
    }
}

fn read_first_bytes(mut stream: TcpStream) -> Vec<u8> {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut buffer = vec![0; 4_096];
    let count = stream.read(&mut buffer).unwrap_or(0);
    buffer.truncate(count);
    buffer
}

/// Fills the listener's queue, so that further connections open only after some were accepted.
fn fill_queue(listener: &TcpListener) -> Vec<TcpStream> {
    SockRef::from(listener).listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        waiting.push(stream);
    }
    waiting
}

/// Between the check of the dispatch timeout and the write of the call, the connection is opened; a
/// call whose connection opened late, or whose process was suspended meanwhile, was sent late.
#[async_std::test]
async fn call_is_not_sent_on_a_connection_that_opens_after_the_dispatch_timeout() {
    // Arrange
    let _permit = FleetPermit::acquire();
    let claims = ClaimSettings {
        dispatch_ms: DISPATCH_TIMEOUT.as_millis() as u64,
        ..ClaimSettings::default()
    };
    let timing = TimingSettings {
        connect_ms: WAIT_TIMEOUT.as_millis() as u64,
        ..FleetSpec::default().timing
    };
    let fleet = service_fleet(FleetSpec {
        claims,
        timing,
        ..service_spec(2, 1)
    })
    .await;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut row = fleet.services[0].row.clone();
    row.address = listener.local_addr().unwrap();
    let target = ReadingTarget::start(listener);
    fleet.register_instance(&row).await;
    let daemon = fleet.daemons[0].addresses.listen;
    let mut rng = seeded_rng();
    order_until(
        daemon,
        "a bay",
        || dated_key(&mut rng),
        |response| !response.is_completed(),
    )
    .await;
    let (listener, _earlier) = target.stop();
    let waiting = fill_queue(&listener);

    // Act
    let key = dated_key(&mut rng);
    let sent = key.clone();
    let call = task::spawn(async move { order(daemon, &sent, "a bay").await.unwrap() });
    wait_until("the call is claimed", WAIT_TIMEOUT, || {
        is_claimed(&fleet, &key)
    })
    .await;
    let claimed = Instant::now();
    wait_until("the dispatch timeout has ended", WAIT_TIMEOUT, || async {
        claimed.elapsed() > DISPATCH_TIMEOUT
    })
    .await;
    drop(waiting);
    let target = ReadingTarget::start(listener);
    let refused = call.await;
    let (_listener, received) = target.stop();

    // Assert
    assert_eq!((refused.status, &*refused.outcome), (503, "not_run"));
    assert!(received.iter().all(Vec::is_empty), "{received:?}");
}
