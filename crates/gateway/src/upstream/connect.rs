//! Opens connections to endpoints.

use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use super::Connection;

/// How long sent bytes may stay unacknowledged, and a connection at rest
/// silent, before its other end is taken to be gone.
const GONE_AFTER: Duration = Duration::from_millis(2_500);

/// Time between two signs of life that the system asks for.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Opens a connection.
pub async fn open(address: SocketAddrV4) -> anyhow::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    tune(&stream)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // How a connection ended shows in the call that was under way.
        let _ = connection.await;
    });
    Ok(Connection { sender, task })
}

/// Makes a host that is gone show as an error soon.
fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(GONE_AFTER))
}
