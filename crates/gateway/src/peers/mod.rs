//! Other nodes. Statuses go by datagram, since each holds all it speaks of and
//! a lost one is made up for by the next. What the platform published goes by
//! stream, to nodes that cannot read it themselves.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use tokio::net::UdpSocket;
use woadstage_dispatch::member::News;
use woadstage_dispatch::message;
use woadstage_dispatch::message::Status;

use crate::event::Event;
use crate::shell::Shell;

pub mod snapshot;

/// Longest datagram that is read.
const DATAGRAM_MOST: usize = 8 << 10;

/// Writes a status as it goes on the wire: the protocol's version, then the
/// status.
///
/// # Errors
/// Only where the codec fails.
pub fn to_datagram(status: &Status) -> postcard::Result<Vec<u8>> {
    postcard::to_extend(status, vec![message::VERSION])
}

/// Reads a status; nothing for another version or for what is no status.
pub fn try_from_datagram(bytes: &[u8]) -> Option<Status> {
    let (version, rest) = bytes.split_first()?;
    if *version != message::VERSION {
        return None;
    }
    postcard::from_bytes(rest).ok()
}

/// Takes in what other nodes say, for as long as the process runs.
pub async fn listen(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MOST];
    loop {
        // A datagram that could not be delivered shows here as an error.
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(status) = try_from_datagram(&buffer[..length]) else {
            continue;
        };
        hear(&shell, from, status);
    }
}

fn hear(shell: &Shell, from: SocketAddrV4, status: Status) {
    let news = shell.command(|dispatcher, now| dispatcher.hear(now, from, status));
    if news == News::Joined {
        shell.metrics.change("node-heard");
        shell.log(&Event::Dependency {
            name: "node",
            reached: true,
            detail: &from.to_string(),
        });
    }
}

/// Tells those that are due what this node runs.
pub fn tell(shell: &Shell, socket: &UdpSocket) {
    let Some((status, due)) = shell.command(|dispatcher, now| dispatcher.statuses(now)) else {
        return;
    };
    let Ok(datagram) = to_datagram(&status) else {
        return;
    };
    for address in due {
        // What the system cannot take now is made up for by the next.
        let _ = socket.try_send_to(&datagram, address.into());
    }
}
