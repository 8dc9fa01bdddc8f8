//! Opens listeners whose connections have bounded socket buffers. What waits in them counts as memory
//! of the host, and without a bound the kernel lets each grow to megabytes.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use woadstage_types::unit::Size;

/// The number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The pause after a failed accept. The usual cause is a lack of file descriptors, which other
/// connections free when they close.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a listener. The kernel doubles the sizes for its own needs.
///
/// # Errors
/// Fails if the address can't be bound.
pub fn listen(address: SocketAddrV4, receive: Size, send: Size) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    bound_buffers(&socket, receive, send);
    socket.bind(address.into())?;
    socket.listen(BACKLOG)
}

/// Bounds the buffers of a socket that isn't connected yet.
pub fn bound_buffers(socket: &TcpSocket, receive: Size, send: Size) {
    // Without them the socket works too, with buffers as large as the host allows.
    let _ = socket.set_recv_buffer_size(receive.0 as u32);
    let _ = socket.set_send_buffer_size(send.0 as u32);
}
