//! Free loopback addresses for the processes of a fleet.
//!
//! Each program that starts fleets uses its own loopback IP address, derived from its process
//! identifier, and ports below the ephemeral range of the operating system. So neither another
//! program nor an outgoing connection can take an address between its choice and its use.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port handed out.
const FIRST_PORT: u16 = 10_000;
/// Port after the last one handed out; the ephemeral range lies above it.
const END_PORT: u16 = 32_000;
/// Lowest second byte of the addresses; other programs commonly use lower ones.
const FIRST_NETWORK: u8 = 64;
/// Number of values of the second byte: 6 bits, since process identifiers have up to 22 bits.
const NETWORK_COUNT: u32 = 64;

/// Loopback IP address of this process.
fn process_ip() -> Ipv4Addr {
    let id = std::process::id();
    let network = FIRST_NETWORK + ((id >> 16) % NETWORK_COUNT) as u8;
    let [_, _, high, low] = id.to_be_bytes();
    Ipv4Addr::new(127, network, high, low)
}

/// Returns a loopback address that this process has not handed out before.
///
/// The address is not tested with a bind: a child process that another thread forks at that moment
/// would inherit the listening socket and keep it until its exec, so that the next bind would fail.
///
/// # Panics
/// When the process has used up its ports.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port < END_PORT, "all ports below {END_PORT} are used up");
    SocketAddr::from((process_ip(), port))
}
