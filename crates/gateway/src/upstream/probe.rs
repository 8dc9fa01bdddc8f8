//! Tells an endpoint that has ended from one that broke off an answer.

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpStream;
use woadstage_dispatch::endpoint::Endpoint;

use super::CONNECT_WITHIN;
use super::Upstream;
use crate::shell::Shell;

/// What an attempt at connecting shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// Nothing listens at the address: the process has ended.
    Ended,
    /// Something listens there.
    Alive,
    /// Neither: the host says nothing.
    Nothing,
}

/// Connects, and closes the connection again.
pub async fn probe(address: SocketAddrV4) -> Sign {
    match tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Sign::Alive,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Sign::Ended,
        Ok(Err(_)) | Err(_) => Sign::Nothing,
    }
}

impl Upstream {
    /// True while it is not known of some endpoint whether it has ended.
    pub fn is_looking_after_any(&self) -> bool {
        !self.probed.borrow().is_empty()
    }
}

/// Looks after an endpoint that broke off an answer, once for all that break at a
/// moment. Of a host that says nothing the platform will tell.
pub fn look_after(shell: &Rc<Shell>, endpoint: &Arc<Endpoint>) {
    let number = endpoint.to_number();
    if !shell.upstream.probed.borrow_mut().insert(number) {
        return;
    }
    let (shell, address) = (shell.clone(), endpoint.address);
    tokio::task::spawn_local(async move {
        let sign = probe(address).await;
        shell.upstream.probed.borrow_mut().remove(&number);
        match sign {
            Sign::Ended => {
                shell.command(|dispatcher, now| dispatcher.record_endpoint_ended(now, number));
            }
            Sign::Alive => shell.command(|dispatcher, _| dispatcher.record_endpoint_alive(number)),
            Sign::Nothing => {}
        }
    });
}
