//! Fault-injecting TCP proxy, steered while it runs, each direction on its own.

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes copied at once.
const COPY_BYTES: usize = 16 << 10;
/// Period of checking whether a held direction is open again.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectionFault {
    /// Bytes pass.
    #[default]
    Pass,
    /// Bytes pass after this many milliseconds.
    Delay(u64),
    /// Bytes pass at this many bytes a second.
    Throttle(u64),
    /// Bytes wait until the fault changes.
    Hold,
    /// Bytes are read and dropped.
    Drop,
    /// The connection is closed as soon as bytes arrive.
    Close,
}

/// Faults of a proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ProxyFaults {
    /// Direction from the caller to the target.
    pub to_target: DirectionFault,
    /// Direction from the target to the caller.
    pub to_caller: DirectionFault,
    /// True to refuse new connections.
    pub refuse: bool,
}

#[derive(Debug, Default)]
struct ProxyInner {
    faults: Mutex<ProxyFaults>,
    open: Mutex<Vec<(TcpStream, TcpStream)>>,
    bytes: AtomicU64,
}

/// A proxy before one target; cheap to clone.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    inner: Arc<ProxyInner>,
    address: SocketAddr,
}

impl FaultProxy {
    /// Starts a proxy on `listen` before `target`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let proxy = Self {
            inner: Arc::default(),
            address,
        };
        task::spawn(proxy.clone().run(listener, target));
        Ok(proxy)
    }

    /// Address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that have passed so far, both directions together.
    pub fn forwarded_bytes(&self) -> u64 {
        self.inner.bytes.load(Ordering::Relaxed)
    }

    /// Replaces the faults; they apply to open connections too.
    pub fn set_faults(&self, faults: ProxyFaults) {
        *self
            .inner
            .faults
            .lock()
            .expect("fault lock is never poisoned") = faults;
    }

    /// Faults in force.
    pub fn faults(&self) -> ProxyFaults {
        *self
            .inner
            .faults
            .lock()
            .expect("fault lock is never poisoned")
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        let mut open = self
            .inner
            .open
            .lock()
            .expect("connection lock is never poisoned");
        for (caller, target) in open.drain(..) {
            for stream in [caller, target] {
                if stream.shutdown(Shutdown::Both).is_err() {
                    // It was closed before.
                }
            }
        }
    }

    async fn run(self, listener: TcpListener, target: SocketAddr) {
        let mut incoming = listener.incoming();
        while let Some(accepted) = incoming.next().await {
            let Ok(caller) = accepted else { continue };
            if self.faults().refuse {
                drop(caller);
                continue;
            }
            task::spawn(self.clone().join(caller, target));
        }
    }

    async fn join(self, caller: TcpStream, address: SocketAddr) {
        let Ok(target) = TcpStream::connect(address).await else {
            return;
        };
        if caller.set_nodelay(true).is_err() || target.set_nodelay(true).is_err() {
            return;
        }
        {
            let mut open = self
                .inner
                .open
                .lock()
                .expect("connection lock is never poisoned");
            open.push((caller.clone(), target.clone()));
        };
        let forth = self.copy(caller.clone(), target.clone(), |faults| faults.to_target);
        let back = self.copy(target.clone(), caller.clone(), |faults| faults.to_caller);
        futures_lite::future::zip(forth, back).await;
        let mut open = self
            .inner
            .open
            .lock()
            .expect("connection lock is never poisoned");
        let address = caller.peer_addr().ok();
        open.retain(|(other, _)| other.peer_addr().ok() != address);
    }

    async fn copy(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        pick: impl Fn(ProxyFaults) -> DirectionFault,
    ) {
        let mut buffer = vec![0; COPY_BYTES];
        loop {
            let count = match from.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(count) => count,
            };
            while pick(self.faults()) == DirectionFault::Hold {
                task::sleep(HOLD_POLL).await;
            }
            match pick(self.faults()) {
                DirectionFault::Pass | DirectionFault::Hold => {}
                DirectionFault::Delay(millis) => task::sleep(Duration::from_millis(millis)).await,
                DirectionFault::Throttle(rate) => {
                    let seconds = count as f64 / rate.max(1) as f64;
                    task::sleep(Duration::from_secs_f64(seconds)).await;
                }
                DirectionFault::Drop => continue,
                DirectionFault::Close => break,
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                break;
            }
            self.inner.bytes.fetch_add(count as u64, Ordering::Relaxed);
        }
        for stream in [from, to] {
            if stream.shutdown(Shutdown::Both).is_err() {
                // It was closed before.
            }
        }
    }
}
