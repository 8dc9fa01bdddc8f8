//! Other nodes. Statuses go by datagram, since each holds all it speaks of and
//! a lost one is made up for by the next, and so do questions to the owners of
//! quotas and of slots, which another answers where one does not. What the platform
//! published goes by stream, to nodes that have not read it themselves.
//!
//! * [`catch_up`]: when to take documents, and from whom.
//! * [`transfer`]: documents on their way.
//! * [`reservations`]: questions to owners of quotas.
//! * [`traffic`]: what is sent, by kind.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use tokio::net::UdpSocket;
use woadstage_dispatch::member::Reception;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Reserve;
use woadstage_dispatch::message::Reserved;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::wire;

use crate::event::Event;
use crate::shell::Shell;

pub mod catch_up;
pub mod reservations;
pub mod traffic;
pub mod transfer;

use traffic::Kind;
use traffic::Traffic;

/// Longest datagram that is read.
const DATAGRAM_MOST: usize = 8 << 10;

/// Sends messages that the other end can do without.
#[derive(Default)]
pub struct Sender {
    socket: OnceCell<Rc<UdpSocket>>,
    /// All that this node sends to others.
    pub traffic: Traffic,
}

impl Sender {
    /// Says through which socket to send; until then nothing goes out.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // A process has one such socket for all its life.
        let _ = self.socket.set(socket);
    }

    /// Sends a message. Where it is lost, it is asked for or sent anew.
    pub fn send(&self, to: SocketAddrV4, message: &Message) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Ok(datagram) = wire::to_datagram(message) {
            self.traffic.note(Kind::of(message), datagram.len());
            // What the system cannot take now is as good as lost on the way.
            let _ = socket.try_send_to(&datagram, to.into());
        }
    }

    /// Sends a message that somebody waits for, as soon as the system takes it.
    /// Nothing where it cannot be sent.
    pub async fn try_send(&self, to: SocketAddrV4, message: &Message) -> Option<()> {
        let socket = self.socket.get()?;
        let datagram = wire::to_datagram(message).ok()?;
        self.traffic.note(Kind::of(message), datagram.len());
        socket.send_to(&datagram, to).await.ok()?;
        Some(())
    }
}

/// Takes in what other nodes say, for as long as the process runs.
pub async fn listen(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MOST];
    loop {
        // A datagram that could not be delivered shows here as an error.
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match wire::try_from_datagram(&buffer[..length]) {
            Some(Message::Status(status)) => hear(&shell, from, *status),
            Some(Message::Reserve(asked)) => reserve(&shell, from, &asked),
            Some(Message::Reserved(answer)) => shell.reservations.take_answer(answer),
            Some(Message::Release(release)) => {
                shell.command(|dispatcher, _| dispatcher.release(&release));
            }
            Some(Message::Lease(request)) => {
                shell.command(|dispatcher, now| {
                    dispatcher.receive_lease_request(now, from, *request)
                });
            }
            Some(Message::Leased(reply)) => {
                shell.command(|dispatcher, now| dispatcher.receive_lease_reply(now, from, reply));
            }
            Some(Message::Report(report)) => {
                shell.command(|dispatcher, now| dispatcher.receive_lease_report(now, from, report));
            }
            Some(Message::Check(check)) => {
                shell.command(|dispatcher, _| dispatcher.answer_lease_check(from, check));
            }
            Some(Message::Findings(findings)) => {
                shell.command(|dispatcher, now| dispatcher.take_findings(now, &findings));
            }
            None => {}
        }
    }
}

/// Answers a node that takes this one for the owner of a customer's quota.
fn reserve(shell: &Shell, from: SocketAddrV4, asked: &Reserve) {
    let verdict = shell.command(|dispatcher, now| dispatcher.reserve(now, asked));
    let answer = Message::Reserved(Reserved {
        number: asked.number,
        verdict,
    });
    shell.peers.send(from, &answer);
}

fn hear(shell: &Shell, from: SocketAddrV4, status: Status) {
    let news = shell.command(|dispatcher, now| dispatcher.receive_status(now, from, status));
    if news == Reception::Joined {
        shell.metrics.record_state_change("node-heard");
        shell.log(&Event::Dependency {
            name: "node",
            reached: true,
            detail: &from.to_string(),
        });
    }
}

/// Tells those that are due what this node runs.
pub fn tell(shell: &Shell, socket: &UdpSocket) {
    let statuses = shell.command(|dispatcher, now| dispatcher.statuses(now));
    for (status, due) in statuses {
        send_status(shell, socket, status, &due);
    }
}

fn send_status(shell: &Shell, socket: &UdpSocket, status: Status, due: &[SocketAddrV4]) {
    let Ok(datagram) = wire::to_datagram(&Message::Status(Box::new(status))) else {
        return;
    };
    for address in due.iter().copied() {
        let kind = match shell.query(|dispatcher, _| dispatcher.is_near(address)) {
            true => Kind::StatusInCell,
            false => Kind::StatusBeyond,
        };
        shell.peers.traffic.note(kind, datagram.len());
        // What the system cannot take now is made up for by the next.
        let _ = socket.try_send_to(&datagram, address.into());
    }
}
