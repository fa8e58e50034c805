//! Free loopback addresses for the processes of a fleet.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, OnceLock};

fn handed_out() -> &'static Mutex<HashSet<u16>> {
    static PORTS: OnceLock<Mutex<HashSet<u16>>> = OnceLock::new();
    PORTS.get_or_init(Mutex::default)
}

/// A loopback address that was free a moment ago and that this process has not handed out before.
///
/// # Panics
/// When the operating system has no free port.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let mut ports = handed_out().lock().expect("port lock is never poisoned");
        if ports.insert(address.port()) {
            return address;
        }
    }
}
