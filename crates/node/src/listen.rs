//! Opens the sockets at which a node listens.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;

use salvo::conn::tcp::TcpAcceptor;
use tokio::net::TcpSocket;
use woadstage_config::settings::Settings;
use woadstage_startup::failure::Failure;
use woadstage_types::code::Code;

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The sockets of a node.
pub struct Sockets {
    /// Accepts callers.
    pub callers: TcpAcceptor,
    /// Accepts operators.
    pub operators: TcpAcceptor,
    /// Sends to and receives from other nodes.
    pub peers: UdpSocket,
}

/// Opens all sockets or none: connections must not wait at some while the addresses of others are
/// in use.
///
/// # Errors
/// Fails if the host refuses an address, or callers and operators are given the same one.
pub fn open(settings: &Settings) -> Result<Sockets, Failure> {
    let refused = |name: &str, address: SocketAddr, error: io::Error| {
        Failure::refused(&format!("{name} {address}"), &error)
    };
    let callers = settings.callers;
    let operators = settings.operators;
    if callers == operators {
        let cause = "It is the address for callers too.";
        return Err(Failure::new(Code::SettingsValue, "listen.operators", cause));
    }
    // Another process could share this address if the socket allowed that.
    let peers = UdpSocket::bind(settings.peers);
    Ok(Sockets {
        peers: peers.map_err(|error| refused("peers", settings.peers, error))?,
        callers: listen(callers).map_err(|error| refused("callers", callers, error))?,
        operators: listen(operators).map_err(|error| refused("operators", operators, error))?,
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Closed connections of an earlier process linger at this address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(BACKLOG)?)
}
