//! Opens outgoing connections. The kernel picks their local ports, perhaps one that a node of this
//! host listens at. A listener may take it all the same, now and while the closed connection lingers.

use std::io;
use std::net::SocketAddrV4;

use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Creates a socket for an outgoing connection.
///
/// # Errors
/// Fails if the host has no descriptor or memory left.
pub fn new_socket() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

/// Opens a connection.
///
/// # Errors
/// Fails if the address can't be reached.
pub async fn connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    new_socket()?.connect(address.into()).await
}
