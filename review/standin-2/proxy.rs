//! A proxy on the path to a worker. While the path is cut it passes nothing on in either
//! direction, the ends of connections included, as a partition does.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

/// The proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    to: SocketAddr,
    cut: Arc<(Mutex<bool>, Condvar)>,
    /// The open connections, and whether new ones are refused.
    open: Arc<Mutex<(Vec<TcpStream>, bool)>>,
}

impl Proxy {
    /// Starts a proxy to an address.
    pub fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Proxy {
            address: listener.local_addr().expect("an address"),
            to,
            cut: Arc::default(),
            open: Arc::default(),
        };
        proxy.listen(listener);
        proxy
    }

    fn listen(&self, listener: TcpListener) {
        let proxy = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut open = proxy.open.lock().expect("no panic");
                if open.1 {
                    reset_when_closed(&stream);
                    return;
                }
                open.0.extend(stream.try_clone());
                let serving = proxy.clone();
                std::thread::spawn(move || serving.serve(stream, serving.to));
            }
        });
    }

    /// Resets all connections and refuses new ones.
    pub fn refuse(&self) {
        let open = {
            let mut open = self.open.lock().expect("no panic");
            open.1 = true;
            std::mem::take(&mut open.0)
        };
        for stream in open {
            reset_when_closed(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Ends the thread that listens, and with it the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Accepts connections again.
    pub fn accept(&self) {
        self.open.lock().expect("no panic").1 = false;
        self.listen(TcpListener::bind(self.address).expect("the same port"));
    }

    /// Cuts the path, or heals it.
    pub fn set_cut(&self, is_cut: bool) {
        *self.cut.0.lock().expect("no panic") = is_cut;
        self.cut.1.notify_all();
    }

    fn wait_until_healed(&self) {
        let mut is_cut = self.cut.0.lock().expect("no panic");
        while *is_cut {
            is_cut = self.cut.1.wait(is_cut).expect("no panic");
        }
    }

    fn serve(&self, client: TcpStream, to: SocketAddr) {
        self.wait_until_healed();
        // Nothing listens there: dropping the connection closes it.
        let Ok(server) = TcpStream::connect(to) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (from_client, to_server) = (client.try_clone(), server.try_clone());
        let (Ok(from_client), Ok(to_server)) = (from_client, to_server) else {
            return;
        };
        let proxy = self.clone();
        std::thread::spawn(move || proxy.pump(from_client, to_server));
        self.pump(server, client);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 << 10];
        loop {
            let read = from.read(&mut buffer);
            self.wait_until_healed();
            match read {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                // A reset stays a reset.
                Err(_) => {
                    reset_when_closed(&to);
                    let _ = to.shutdown(Shutdown::Read);
                    return;
                }
                Ok(read) if to.write_all(&buffer[..read]).is_err() => {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
                Ok(_) => {}
            }
        }
    }
}

/// As `struct linger` of the system.
#[repr(C)]
struct Linger {
    is_on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Has a connection be reset when its last handle is closed.
fn reset_when_closed(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger {
        is_on: 1,
        seconds: 0,
    };
    // SAFETY: the descriptor is open, and the value lives as long as the call.
    let _ = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}
