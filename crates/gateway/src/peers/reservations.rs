//! Questions to the owners of customers' quotas, and those who wait for answers.

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

/// How long an owner's answer is waited for: many times the way there and back
/// within a region, and little beside any objective.
const ANSWER_WITHIN: Duration = Duration::from_millis(60);

/// Questions that are open.
#[derive(Default)]
pub struct Reservations {
    open: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
}

/// Forgets a question when nobody waits for its answer any more.
struct Question<'a> {
    number: u64,
    reservations: &'a Reservations,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.reservations.open.borrow_mut().remove(&self.number);
    }
}

impl Reservations {
    /// Asks an owner; nothing where it does not answer in time.
    pub async fn request(
        &self,
        peers: &Sender,
        owner: SocketAddrV4,
        reserve: Reserve,
    ) -> Option<Verdict> {
        let (sender, receiver) = oneshot::channel();
        self.open.borrow_mut().insert(reserve.number, sender);
        let _question = Question {
            number: reserve.number,
            reservations: self,
        };
        let question = Message::Reserve(reserve);
        let asking = async {
            peers.try_send(owner, &question).await?;
            receiver.await.ok()
        };
        tokio::time::timeout(ANSWER_WITHIN, asking).await.ok()?
    }

    /// Hands an answer to the one who waits for it.
    pub fn take_answer(&self, answer: Reserved) {
        if let Some(asker) = self.open.borrow_mut().remove(&answer.number) {
            // Fails where the asker has just left.
            let _ = asker.send(answer.verdict);
        }
    }

    /// Questions that are open.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// True while none is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }
}
