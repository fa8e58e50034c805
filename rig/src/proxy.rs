//! Fault-injecting TCP proxy; the faults of each direction can be changed while it runs.

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use serde::{Deserialize, Serialize};
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Size of a copy buffer, in bytes.
const COPY_BYTES: usize = 16 << 10;
/// Period of checking whether a held direction may pass again.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// Fault of one direction of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectionFault {
    /// Bytes pass.
    #[default]
    Pass,
    /// Each block of bytes passes after this many milliseconds.
    Delay(u64),
    /// Bytes pass at this rate, in bytes per second.
    Throttle(u64),
    /// Bytes wait until the fault changes.
    Hold,
    /// Bytes are read and discarded.
    Drop,
    /// The connection is closed when bytes arrive.
    Close,
}

/// Faults of a proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ProxyFaults {
    /// Fault of the direction from the caller to the target.
    pub to_target: DirectionFault,
    /// Fault of the direction from the target to the caller.
    pub to_caller: DirectionFault,
    /// True to refuse new connections.
    pub refuse: bool,
}

/// What becomes of new connections to a proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConnectFault {
    /// They are accepted.
    #[default]
    None,
    /// They hang: opening packets are dropped.
    Hang,
    /// They are refused with a reset.
    Refuse,
}

/// Error of the system for a connection that is being established.
const EINPROGRESS: i32 = rustix::io::Errno::INPROGRESS.raw_os_error();
/// Connections that the system queues for a proxy that accepts them.
const LISTEN_BACKLOG: i32 = 128;
/// Connections that fill the queue of a listener with the smallest backlog.
const QUEUE_FILLERS: usize = 3;

/// What an observer of a proxy sees of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyEvent<'a> {
    /// Bytes that the target has been sent.
    ToTarget(&'a [u8]),
    /// Bytes that the target has sent, before any fault of this direction.
    FromTarget(&'a [u8]),
    /// The caller closed or reset the connection.
    CallerEnded,
    /// The target closed the connection, or reset it.
    TargetEnded {
        /// True for a reset.
        reset: bool,
    },
}

/// Receives the number of the connection and what happens on it.
type EventObserver = dyn Fn(u64, ProxyEvent<'_>) + Send + Sync;

/// Function that is told what passes through a proxy; cheap to clone.
#[derive(Clone)]
pub struct ProxyObserver(Arc<EventObserver>);

impl ProxyObserver {
    /// Wraps a function. It receives the number of the connection and what happens on it.
    pub fn new(observe: impl Fn(u64, ProxyEvent<'_>) + Send + Sync + 'static) -> Self {
        Self(Arc::new(observe))
    }
}

impl std::fmt::Debug for ProxyObserver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ProxyObserver").finish_non_exhaustive()
    }
}

/// Direction of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyDirection {
    ToTarget,
    ToCaller,
}

/// One end of a connection was reset.
#[derive(Debug)]
struct ResetError;

#[derive(Debug, Default)]
struct ProxyInner {
    faults: Mutex<ProxyFaults>,
    observer: Option<ProxyObserver>,
    /// True when resets and half-closed connections are passed on as such. Otherwise any end closes
    /// both sides.
    passes_ends: bool,
    next_connection: AtomicU64,
    /// Both ends of each open connection, by its number.
    connections: Mutex<HashMap<u64, (TcpStream, TcpStream)>>,
    bytes: AtomicU64,
    listening: Mutex<ProxyListening>,
}

/// The listener of a proxy.
#[derive(Debug, Default)]
struct ProxyListening {
    /// `None` while new connections are refused.
    listener: Option<Arc<TcpListener>>,
    /// Accepts connections; `None` while new ones hang or are refused.
    accepting: Option<JoinHandle<()>>,
    /// Connections that fill the queue while new ones hang.
    fillers: Vec<Socket>,
}

/// A proxy in front of one target; cheap to clone.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    inner: Arc<ProxyInner>,
    address: SocketAddr,
    target: SocketAddr,
}

impl FaultProxy {
    /// Starts a proxy that listens on `listen` and forwards to `target`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        Self::start_inner(listen, target, ProxyInner::default()).await
    }

    /// Starts a proxy that passes resets and half-closed connections on as such, perhaps with an
    /// observer of what passes.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start_faithful(
        listen: SocketAddr,
        target: SocketAddr,
        observer: Option<ProxyObserver>,
    ) -> io::Result<Self> {
        let inner = ProxyInner {
            observer,
            passes_ends: true,
            ..ProxyInner::default()
        };
        Self::start_inner(listen, target, inner).await
    }

    async fn start_inner(
        listen: SocketAddr,
        target: SocketAddr,
        inner: ProxyInner,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let proxy = Self {
            inner: Arc::new(inner),
            address,
            target,
        };
        proxy.accept_on(Arc::new(listener));
        Ok(proxy)
    }

    fn listening(&self) -> MutexGuard<'_, ProxyListening> {
        let listening = self.inner.listening.lock();
        listening.expect("listener lock is never poisoned")
    }

    fn accept_on(&self, listener: Arc<TcpListener>) {
        let accepting = task::spawn(self.clone().run(Arc::clone(&listener)));
        let mut listening = self.listening();
        listening.fillers.clear();
        listening.listener = Some(listener);
        listening.accepting = Some(accepting);
    }

    /// Sets what becomes of new connections.
    ///
    /// # Errors
    /// When the address cannot be bound again.
    pub async fn set_connect_fault(&self, fault: ConnectFault) -> io::Result<()> {
        let (accepting, listener) = {
            let mut listening = self.listening();
            (listening.accepting.take(), listening.listener.take())
        };
        if let Some(accepting) = accepting {
            accepting.cancel().await;
        }
        if fault == ConnectFault::Refuse {
            self.listening().fillers.clear();
            return Ok(());
        }
        let listener = match listener {
            Some(listener) => listener,
            None => Arc::new(TcpListener::bind(self.address).await?),
        };
        let backlog = if fault == ConnectFault::Hang {
            0
        } else {
            LISTEN_BACKLOG
        };
        SockRef::from(&*listener).listen(backlog)?;
        if fault == ConnectFault::None {
            self.accept_on(listener);
            return Ok(());
        }
        let fillers = (0..QUEUE_FILLERS).map(|_| start_connect(self.address));
        let fillers = fillers.collect::<io::Result<Vec<Socket>>>()?;
        let mut listening = self.listening();
        listening.listener = Some(listener);
        listening.fillers = fillers;
        Ok(())
    }

    /// Address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes forwarded so far in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.inner.bytes.load(Ordering::Relaxed)
    }

    /// Replaces the faults, also for open connections.
    pub fn set_faults(&self, faults: ProxyFaults) {
        *self
            .inner
            .faults
            .lock()
            .expect("fault lock is never poisoned") = faults;
    }

    /// Current faults.
    pub fn faults(&self) -> ProxyFaults {
        *self
            .inner
            .faults
            .lock()
            .expect("fault lock is never poisoned")
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        let mut connections = self.connections();
        for (_number, (caller, target)) in connections.drain() {
            for stream in [caller, target] {
                if stream.shutdown(Shutdown::Both).is_err() {
                    // The stream was closed before.
                }
            }
        }
    }

    async fn run(self, listener: Arc<TcpListener>) {
        let mut incoming = listener.incoming();
        while let Some(accepted) = incoming.next().await {
            let Ok(caller) = accepted else { continue };
            if self.faults().refuse {
                drop(caller);
                continue;
            }
            task::spawn(self.clone().forward(caller, self.target));
        }
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        let mut connections = self.connections();
        for (_number, (caller, target)) in connections.drain() {
            for stream in [caller, target] {
                // Disconnecting resets the connection; it may have ended before.
                let _ = reset_on_close(&stream);
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Connects a caller to the target and copies both directions until both have ended or one end
    /// was reset.
    async fn forward(self, caller: TcpStream, address: SocketAddr) {
        let Ok(target) = TcpStream::connect(address).await else {
            return;
        };
        if caller.set_nodelay(true).is_err() || target.set_nodelay(true).is_err() {
            return;
        }
        let number = self.inner.next_connection.fetch_add(1, Ordering::Relaxed);
        let ends = (caller.clone(), target.clone());
        self.connections().insert(number, ends);
        let to_target = self.copy(number, &caller, &target, CopyDirection::ToTarget);
        let to_caller = self.copy(number, &target, &caller, CopyDirection::ToCaller);
        let copied = futures_lite::future::try_zip(to_target, to_caller).await;
        self.connections().remove(&number);
        if copied.is_err() {
            // Either end may be gone already.
            let _ = reset_on_close(&caller);
            let _ = reset_on_close(&target);
        }
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<u64, (TcpStream, TcpStream)>> {
        let connections = self.inner.connections.lock();
        connections.expect("connection lock is never poisoned")
    }

    fn fault(&self, direction: CopyDirection) -> DirectionFault {
        match direction {
            CopyDirection::ToTarget => self.faults().to_target,
            CopyDirection::ToCaller => self.faults().to_caller,
        }
    }

    fn observe(&self, number: u64, event: ProxyEvent<'_>) {
        if let Some(observer) = &self.inner.observer {
            (observer.0)(number, event);
        }
    }

    /// Copies one direction under its fault until its input ends.
    async fn copy(
        &self,
        number: u64,
        from: &TcpStream,
        to: &TcpStream,
        direction: CopyDirection,
    ) -> Result<(), ResetError> {
        let (mut from, mut to) = (from.clone(), to.clone());
        let mut buffer = vec![0; COPY_BYTES];
        loop {
            let read = from.read(&mut buffer).await;
            self.observe_read(number, direction, &read, &buffer);
            let count = match read {
                Ok(0) => break,
                Ok(count) => count,
                Err(_) if self.inner.passes_ends => return Err(ResetError),
                Err(_) => break,
            };
            while self.fault(direction) == DirectionFault::Hold {
                task::sleep(HOLD_POLL).await;
            }
            match self.fault(direction) {
                DirectionFault::Pass | DirectionFault::Hold => {}
                DirectionFault::Delay(millis) => task::sleep(Duration::from_millis(millis)).await,
                DirectionFault::Throttle(rate) => {
                    let seconds = count as f64 / rate.max(1) as f64;
                    task::sleep(Duration::from_secs_f64(seconds)).await;
                }
                DirectionFault::Drop => continue,
                DirectionFault::Close => {
                    close_both(&from, &to);
                    return Ok(());
                }
            }
            if direction == CopyDirection::ToTarget {
                self.observe(number, ProxyEvent::ToTarget(&buffer[..count]));
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                close_both(&from, &to);
                return Ok(());
            }
            self.inner.bytes.fetch_add(count as u64, Ordering::Relaxed);
        }
        if !self.inner.passes_ends {
            close_both(&from, &to);
        } else if to.shutdown(Shutdown::Write).is_err() {
            // The stream was closed before.
        }
        Ok(())
    }

    /// Tells the observer what was read from one end.
    fn observe_read(
        &self,
        number: u64,
        direction: CopyDirection,
        read: &io::Result<usize>,
        buffer: &[u8],
    ) {
        let event = match (direction, read) {
            (CopyDirection::ToTarget, Ok(0) | Err(_)) => ProxyEvent::CallerEnded,
            (CopyDirection::ToTarget, Ok(_)) => return,
            (CopyDirection::ToCaller, Ok(0)) => ProxyEvent::TargetEnded { reset: false },
            (CopyDirection::ToCaller, Err(_)) => ProxyEvent::TargetEnded { reset: true },
            (CopyDirection::ToCaller, Ok(count)) => ProxyEvent::FromTarget(&buffer[..*count]),
        };
        self.observe(number, event);
    }
}

/// Begins to connect and does not wait.
fn start_connect(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(cause) if cause.raw_os_error() != Some(EINPROGRESS) => Err(cause),
        _ => Ok(socket),
    }
}

/// Makes the system reset a connection when it is closed.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

fn close_both(from: &TcpStream, to: &TcpStream) {
    for stream in [from, to] {
        if stream.shutdown(Shutdown::Both).is_err() {
            // The stream was closed before.
        }
    }
}
