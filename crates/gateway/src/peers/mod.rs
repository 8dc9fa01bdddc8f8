//! Communication with other nodes. Statuses are sent over UDP: each is complete in itself, so the
//! next one makes up for a lost one. Requests to the owners of quotas and slots use UDP too, since
//! another node can answer if one does not. The platform's documents are transferred over TCP to
//! nodes that have not read them themselves.
//!
//! * [`catch_up`]: decides when to fetch documents, and from which node.
//! * [`transfer`]: transfers documents.
//! * [`reservations`]: requests to owners of quotas.
//! * [`traffic`]: counts of sent messages, by kind.

use std::cell::OnceCell;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

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

/// The maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// The pause after a failed receive. The usual cause is a lack of memory on the host.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Sends messages over UDP, without a guarantee of delivery.
#[derive(Default)]
pub struct Sender {
    socket: OnceCell<Rc<UdpSocket>>,
    /// Counts of what this node sends to others.
    pub traffic: Traffic,
}

impl Sender {
    /// Sets the socket to send from. Messages sent before are dropped.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The socket is set once per process.
        let _ = self.socket.set(socket);
    }

    /// Sends a message without waiting. A lost message is requested or sent again later.
    pub fn send(&self, to: SocketAddrV4, message: &Message) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Ok(datagram) = wire::to_datagram(message) {
            self.traffic
                .record(Kind::from_message(message), datagram.len());
            // A full send buffer is treated like a datagram lost on the network.
            let _ = socket.try_send_to(&datagram, to.into());
        }
    }

    /// Sends a message as soon as the socket is writable, for tasks that wait for a reply.
    /// Returns `None` if the message can't be sent.
    pub async fn send_when_writable(&self, to: SocketAddrV4, message: &Message) -> Option<()> {
        let socket = self.socket.get()?;
        let datagram = wire::to_datagram(message).ok()?;
        self.traffic
            .record(Kind::from_message(message), datagram.len());
        socket.send_to(&datagram, to).await.ok()?;
        Some(())
    }
}

/// Receives and handles messages from other nodes, for as long as the process runs.
pub async fn listen(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.try_recv_from(&mut buffer) {
            Ok((length, SocketAddr::V4(from))) => (length, from),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                shell.has_unread_messages.set(false);
                // An error shows when the socket is read.
                let _ = socket.readable().await;
                shell.has_unread_messages.set(true);
                continue;
            }
            Err(error) if !is_undelivered(&error) => {
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
            _ => continue,
        };
        // Other tasks run too while many messages arrive.
        tokio::task::consume_budget().await;
        match wire::try_from_datagram(&buffer[..length]) {
            Some(Message::Status(status)) => receive_status(&shell, from, *status),
            Some(Message::Reserve(reserve)) => answer_reservation(&shell, from, &reserve),
            Some(Message::Reserved(answer)) => shell.reservations.deliver_answer(answer),
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
            Some(Message::QueueReport(report)) => {
                shell.command(|dispatcher, now| dispatcher.receive_queue_report(now, from, report));
            }
            Some(Message::Bookings(announcement)) => {
                shell.command(|dispatcher, now| {
                    dispatcher.receive_bookings(now, from, announcement)
                });
            }
            Some(Message::Bindings(statements)) => {
                shell
                    .command(|dispatcher, now| dispatcher.receive_bindings(now, from, &statements));
            }
            Some(Message::DoubtedBindings(stated)) => {
                shell.command(|dispatcher, now| {
                    dispatcher.receive_doubted_bindings(now, from, &stated);
                });
            }
            Some(Message::BindingsKept(keys)) => {
                shell.command(|dispatcher, now| dispatcher.confirm_bindings(now, from, &keys));
            }
            Some(Message::BindingQuestion(question)) => {
                shell.command(|dispatcher, now| dispatcher.answer_binding(now, from, question));
            }
            Some(Message::BindingReply(reply)) => {
                shell.command(|dispatcher, now| dispatcher.receive_binding_reply(now, from, reply));
            }
            None => {}
        }
    }
}

/// Whether an error reports that a datagram sent earlier could not be delivered.
fn is_undelivered(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

/// Answers a node that considers this one the owner of a customer's quota.
fn answer_reservation(shell: &Shell, from: SocketAddrV4, reserve: &Reserve) {
    let verdict = shell.command(|dispatcher, now| dispatcher.reserve(now, reserve));
    let answer = Message::Reserved(Reserved {
        number: reserve.number,
        verdict,
    });
    shell.peers.send(from, &answer);
}

/// Handles a status, and logs a node that is new or had been silent.
fn receive_status(shell: &Shell, from: SocketAddrV4, status: Status) {
    let reception = shell.command(|dispatcher, now| dispatcher.receive_status(now, from, status));
    if reception == Reception::Joined {
        shell.metrics.record_state_change("node-heard");
        shell.log(&Event::Dependency {
            name: "node",
            reached: true,
            detail: &from.to_string(),
        });
    }
}

/// Sends this node's status to the nodes to which one is due.
pub fn send_statuses(shell: &Shell, socket: &UdpSocket) {
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
            false => Kind::StatusOutsideCell,
        };
        shell.peers.traffic.record(kind, datagram.len());
        // If the send buffer is full, the next status makes up for this one.
        let _ = socket.try_send_to(&datagram, address.into());
    }
}
