//! Free loopback addresses for the processes of a fleet.
//!
//! Every program that starts fleets has a loopback address of its own, made from its process
//! identifier, and takes ports below the range from which the operating system serves outgoing
//! connections. So neither another program nor a connection can take an address between its choice
//! and its use.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port handed out.
const FIRST_PORT: u16 = 10_000;
/// Port after the last one handed out; outgoing connections use higher ones.
const END_PORT: u16 = 32_000;
/// Second byte of the first address used, above those that other programs commonly use.
const FIRST_NETWORK: u8 = 64;
/// Networks used; process identifiers have up to 22 bits.
const NETWORKS: u32 = 64;

/// This process's own loopback address.
fn own_ip() -> Ipv4Addr {
    let id = std::process::id();
    let network = FIRST_NETWORK + ((id >> 16) % NETWORKS) as u8;
    let [_, _, high, low] = id.to_be_bytes();
    Ipv4Addr::new(127, network, high, low)
}

/// A loopback address that this process has not handed out before.
///
/// It is not tried out by binding it: a process that another thread starts at that moment would hold
/// a copy of the listening socket until it runs its program, and the next bind would fail.
///
/// # Panics
/// When the process has used up its ports.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port < END_PORT, "no port is left");
    SocketAddr::from((own_ip(), port))
}
