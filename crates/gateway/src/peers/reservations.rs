//! Requests to the owners of customers' quotas, and the tasks that wait for the replies.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::sync::oneshot;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Reserve;
use woadstage_dispatch::message::Reserved;
use woadstage_dispatch::message::Verdict;

use super::Sender;

/// The time limit for an owner's reply: many round trips within a region, and short beside any
/// latency objective.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// The reservations for which an owner's reply is pending.
#[derive(Default)]
pub struct Reservations {
    pending: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
}

/// Removes a pending reservation when dropped, as when the task that waits for it is cancelled.
struct PendingGuard<'a> {
    number: u64,
    reservations: &'a Reservations,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.reservations.pending.borrow_mut().remove(&self.number);
    }
}

impl Reservations {
    /// Sends a reservation to an owner and returns the owner's verdict, or `None` if it does not
    /// reply in time.
    pub async fn request(
        &self,
        peers: &Sender,
        owner: SocketAddrV4,
        reserve: Reserve,
    ) -> Option<Verdict> {
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(reserve.number, sender);
        let _guard = PendingGuard {
            number: reserve.number,
            reservations: self,
        };
        let message = Message::Reserve(reserve);
        let exchange = async {
            peers.send_when_writable(owner, &message).await?;
            receiver.await.ok()
        };
        tokio::time::timeout(REPLY_TIMEOUT, exchange).await.ok()?
    }

    /// Passes a reply to the task that waits for it.
    pub fn deliver_answer(&self, answer: Reserved) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&answer.number) {
            // Fails if the waiting task has just been cancelled.
            let _ = waiter.send(answer.verdict);
        }
    }

    /// The number of pending reservations.
    pub fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Whether no reservation is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.borrow().is_empty()
    }
}
