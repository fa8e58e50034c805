//! Proxy between a daemon and the store. Its open connections can go silent for good, while new ones
//! work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A connection through the proxy.
struct Link {
    silent: Arc<AtomicBool>,
    near: TcpStream,
    far: TcpStream,
}

/// The proxy.
pub struct Proxy {
    pub address: SocketAddr,
    links: Mutex<Vec<Link>>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(listen).expect("the address of the proxy is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let proxy = Arc::new(Self {
            address,
            links: Mutex::default(),
        });
        let accepting = Arc::clone(&proxy);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if let Ok(far) = TcpStream::connect(target) {
                    accepting.join(near, far);
                }
            }
        });
        proxy
    }

    fn join(&self, near: TcpStream, far: TcpStream) {
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let silent = Arc::new(AtomicBool::new(false));
        for (from, to) in [(&near, &far), (&far, &near)] {
            if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                let silent = Arc::clone(&silent);
                thread::spawn(move || pump(from, to, &silent));
            }
        }
        self.links
            .lock()
            .expect("no thread panics")
            .push(Link { silent, near, far });
    }

    /// From now on nothing passes through the connections that are open; returns what ends them.
    pub fn silence(&self) -> SilentLinks {
        let links = std::mem::take(&mut *self.links.lock().expect("no thread panics"));
        for link in &links {
            link.silent.store(true, Ordering::SeqCst);
        }
        SilentLinks(links)
    }
}

/// Connections that have gone silent.
pub struct SilentLinks(Vec<Link>);

impl SilentLinks {
    /// Ends them, as the keepalive of a daemon's own does where the network drops its probes.
    pub fn end(self) {
        for link in self.0 {
            let _ = link.near.shutdown(Shutdown::Both);
            let _ = link.far.shutdown(Shutdown::Both);
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        if silent.load(Ordering::SeqCst) {
            if count == 0 {
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    if !silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
