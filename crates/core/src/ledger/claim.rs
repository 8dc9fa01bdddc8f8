//! Claims of keys by requests.

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Entry;
use super::Key;
use super::Ledger;
use super::MAX_PLAIN_KEYS;
use super::State;

/// The clock skew between hosts and callers up to which valid keys are accepted.
/// It matters only for callers' own keys at endpoints that do not check keys.
const MAX_CLOCK_SKEW: Span = Span::from_millis(500);

/// The result of claiming a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// The request is the first with this key and may run.
    First,
    /// Another request with this key is in progress: wait for its answer.
    Wait,
    /// Another request with this key has ended: return its recorded answer.
    Replay(id::Request),
    /// The request may not run.
    Refused(Code),
}

/// The request that claims a key.
#[derive(Debug, Clone, Copy)]
pub struct Claimant {
    /// The request.
    pub request: id::Request,
    /// The number of its customer.
    pub customer: u64,
    /// A hash of the request's content.
    pub fingerprint: u64,
    /// Whether the endpoint itself refuses a key that it has seen before.
    pub endpoint_checks: bool,
}

impl Ledger {
    /// Claims `key` for a request.
    pub fn claim(&mut self, now: Time, key: &Key, claimant: Claimant) -> Claim {
        if let Some(entry) = self.entries.get_mut(key) {
            return claim_again(entry, claimant);
        }
        if !self.open {
            return Claim::Refused(Code::OwnerGone);
        }
        let refused = match key {
            Key::Ticket(_) => self.take_ticket(key, claimant),
            Key::Plain(_, text) => self.take_plain(now, text, claimant),
        };
        if let Some(code) = refused {
            return Claim::Refused(code);
        }
        let Claimant {
            request,
            fingerprint,
            ..
        } = claimant;
        let state = State::Running(Vec::new());
        self.entries.insert(
            key.clone(),
            Entry {
                request,
                fingerprint,
                state,
            },
        );
        self.running.insert(request, key.clone());
        Claim::First
    }

    /// Marks a ticket as used, or returns why it cannot be.
    fn take_ticket(&mut self, key: &Key, claimant: Claimant) -> Option<Code> {
        let Key::Ticket(ticket) = key else {
            return Some(Code::TicketInvalid);
        };
        let Some(book) = self.books.get_mut(&ticket.incarnation) else {
            return Some(Code::OwnerGone);
        };
        if ticket.number < book.first {
            return Some(Code::TicketExpired);
        }
        let index = (ticket.number - book.first) as usize;
        match book.unused.get_mut(index) {
            None => Some(Code::TicketInvalid),
            Some(None) => Some(Code::AnswerDropped),
            Some(Some(customer)) if *customer != claimant.customer => Some(Code::TicketInvalid),
            Some(unused) => {
                *unused = None;
                self.customers.insert(*ticket, claimant.customer);
                None
            }
        }
    }

    fn take_plain(&mut self, now: Time, text: &str, claimant: Claimant) -> Option<Code> {
        if !claimant.endpoint_checks {
            let Some(created_at) = id::v7_timestamp_opt(text) else {
                return Some(Code::TicketNeeded);
            };
            let is_above_floor = created_at > self.plain_floor + MAX_CLOCK_SKEW;
            let is_plausible = created_at <= now + MAX_CLOCK_SKEW;
            if !is_above_floor || !is_plausible {
                return Some(Code::KeyTooOld);
            }
        }
        self.plain.push_back((text.into(), claimant.customer));
        if self.plain.len() > MAX_PLAIN_KEYS {
            self.drop_oldest_plain();
        }
        None
    }

    /// Forgets the oldest plain key and from then on refuses keys that are as old.
    fn drop_oldest_plain(&mut self) {
        let Some((text, customer)) = self.plain.pop_front() else {
            return;
        };
        let created_at = id::v7_timestamp_opt(&text).unwrap_or(Time(0));
        self.plain_floor = self.plain_floor.max(created_at);
        self.forget_ended(&Key::Plain(customer, text));
    }

    /// Refuses plain keys created up to now, because another node may have
    /// accepted them.
    pub fn raise_plain_floor(&mut self, now: Time) {
        self.plain_floor = self.plain_floor.max(now);
    }
}

fn claim_again(entry: &mut Entry, claimant: Claimant) -> Claim {
    if entry.fingerprint != claimant.fingerprint {
        return Claim::Refused(Code::KeyInUse);
    }
    match &mut entry.state {
        State::Running(waiting) => {
            waiting.push(claimant.request);
            Claim::Wait
        }
        State::Recorded(_) => Claim::Replay(entry.request),
        State::Ended => Claim::Refused(Code::AnswerDropped),
    }
}
