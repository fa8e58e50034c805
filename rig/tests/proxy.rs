//! The fault proxy: what it leaves behind.

use async_std::task;
use rig::{FaultProxy, free_address};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Connections that a test makes one after the other.
const CONNECTIONS: usize = 200;
/// Descriptors that other threads of the program may open meanwhile.
const OTHER_DESCRIPTORS: usize = 40;
/// Longest wait until closed connections are gone.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// A server that echoes one byte and closes the connection.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("the listener lives");
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("the caller sends");
            stream.write_all(&byte).expect("the caller reads");
        }
    });
    address
}

fn count_descriptors() -> usize {
    let folder = std::fs::read_dir("/proc/self/fd").expect("the folder is readable");
    folder.count()
}

/// A proxy kept both ends of each connection that had ended, until the program ran out of descriptors.
#[test]
fn proxy_closes_connections_that_have_ended() {
    // Arrange
    let server = start_server();
    let started = FaultProxy::start_faithful(free_address(), server, None);
    let proxy = task::block_on(started).expect("a loopback address is free");
    let before = count_descriptors();

    // Act
    for _number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(proxy.address()).expect("the proxy accepts");
        stream.write_all(b"x").expect("the proxy reads");
        let mut reply = Vec::new();
        stream.read_to_end(&mut reply).expect("the reply arrives");
        assert_eq!(reply, b"x");
    }

    // Assert
    let started = Instant::now();
    while count_descriptors() > before + OTHER_DESCRIPTORS {
        let left = count_descriptors() - before;
        assert!(
            started.elapsed() < CLOSE_TIME,
            "{left} descriptors are left"
        );
        thread::sleep(Duration::from_millis(50));
    }
}
