//! Probes an endpoint whose response broke off, to find out whether its process has ended.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpStream;
use woadstage_dispatch::endpoint::Endpoint;

use super::CONNECT_TIMEOUT;
use super::Upstream;
use crate::shell::Shell;

/// What a connection attempt shows of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The connection was refused: nothing listens at the address, so the process has ended.
    Ended,
    /// The connection was accepted.
    Alive,
    /// The connection was neither accepted nor refused, as when the host does not respond.
    Unknown,
}

/// Opens a connection to an address and closes it again.
pub async fn probe(address: SocketAddrV4) -> Liveness {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Liveness::Alive,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Liveness::Ended,
        Ok(Err(_)) | Err(_) => Liveness::Unknown,
    }
}

impl Upstream {
    /// Whether a probe of any endpoint is in progress.
    pub fn is_probing(&self) -> bool {
        !self.probing.borrow().is_empty()
    }
}

/// Starts a probe of an endpoint whose response broke off, unless it is being probed. If the host
/// does not respond, this node learns from the platform whether the endpoint has ended.
pub fn start(shell: &Rc<Shell>, endpoint: &Arc<Endpoint>) {
    let number = endpoint.to_number();
    if !shell.upstream.probing.borrow_mut().insert(number) {
        return;
    }
    let (shell, address) = (shell.clone(), endpoint.address);
    tokio::task::spawn_local(async move {
        let liveness = probe(address).await;
        shell.upstream.probing.borrow_mut().remove(&number);
        match liveness {
            Liveness::Ended => {
                shell.command(|dispatcher, now| dispatcher.record_endpoint_ended(now, number));
            }
            Liveness::Alive => {
                shell.command(|dispatcher, _| dispatcher.record_endpoint_alive(number))
            }
            Liveness::Unknown => {}
        }
    });
}
