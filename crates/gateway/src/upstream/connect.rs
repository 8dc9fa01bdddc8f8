//! Opens TCP connections to endpoints.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use woadstage_types::unit::Size;

use super::Connection;
use crate::connections::listen;
use crate::dial;

/// How long sent bytes may stay unacknowledged, or keepalive probes unanswered on an idle
/// connection, before the host is considered gone.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The bytes of an answer that are buffered, which bounds its head. One without end ends its
/// connection.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// The interval of TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens an HTTP/1 connection. In the buffers of its socket, of size `buffer` each, answers wait whose
/// callers do not read.
pub async fn open(address: SocketAddrV4, buffer: Size) -> anyhow::Result<Connection> {
    let socket = dial::new_socket()?;
    listen::bound_buffers(&socket, buffer, buffer);
    let stream = socket.connect(address.into()).await?;
    set_socket_options(&stream)?;
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_BUFFERED_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await?;
    let task = tokio::task::spawn_local(async move {
        // An error of the connection is reported by the call in progress.
        let _ = connection.await;
    });
    Ok(Connection { sender, task })
}

/// Sets the socket options that make the loss of a host show quickly as an error.
fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
