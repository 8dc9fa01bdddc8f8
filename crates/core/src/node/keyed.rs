//! Routing of keyed requests, which must not be repeated, to the node that may run them.

use woadstage_types::code::Code;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Action;
use super::Arrival;
use super::Node;
use super::Phase;
use super::Refusal;
use super::Task;
use crate::ledger::Claim;
use crate::ledger::Claimant;
use crate::ledger::Key;
use crate::ledger::Ticket;
use crate::trace::Step;

/// The destination of a keyed request.
enum Route {
    Here(Key),
    To(id::Host),
    Nowhere(Code),
}

impl Node {
    pub(super) fn arrive_keyed(&mut self, now: Time, arrival: Arrival, mut task: Task) {
        let request = arrival.request;
        let text = arrival.key.clone().unwrap_or_default();
        task.key_text = Some(text.clone());
        match self.route(now, &arrival, &task, &text) {
            Route::Here(key) => self.claim(now, &arrival, task, key),
            Route::To(host) => {
                let left = task.deadline.since(now);
                task.phase = Phase::Forwarded;
                self.insert(request, task);
                self.trace
                    .add(now, request, Step::Forwarded { to: host.clone() });
                self.out.push(Action::Forward {
                    request,
                    to: host,
                    left,
                });
            }
            Route::Nowhere(code) => {
                let mut refusal = Refusal::for_unowned_key(code);
                if code == Code::TicketNeeded {
                    // Nothing ever runs under such a key, so `NotRun` is certain.
                    refusal = self.offer_ticket(now, &task);
                }
                self.insert(request, task);
                self.finish(now, request, refusal);
            }
        }
    }

    /// Refuses a key that is not a ticket and offers a ticket if the customer is
    /// within its limit; the limit matters because new tickets evict older ones.
    fn offer_ticket(&mut self, now: Time, task: &Task) -> Refusal {
        let customer = &task.customer;
        let number = customer.name.to_number();
        let nodes = self.live.len();
        if !self.customers.admit(now, number, customer.limit, nodes) {
            return Refusal::new(Code::CustomerLimit);
        }
        let ticket = self
            .ledger
            .try_issue(number)
            .map(|ticket| ticket.to_string());
        Refusal {
            ticket,
            ..Refusal::new(Code::TicketNeeded)
        }
    }

    fn route(&self, now: Time, arrival: &Arrival, task: &Task, text: &str) -> Route {
        if let Ok(ticket) = text.parse::<Ticket>() {
            return self.route_ticket(now, arrival, ticket);
        }
        if !task.target.checks_keys && !task.class.plain_keys {
            return Route::Nowhere(Code::TicketNeeded);
        }
        let customer = task.customer.name.to_number();
        let key = Key::Plain(customer, text.into());
        // Not exclusive: nodes with different views choose different owners. Either
        // the endpoint checks the key, or the configuration accepts this gap.
        let subject = format!("{customer:x}/{text}");
        match hash::owner(&subject, self.live.iter()) {
            Some(owner) if *owner != self.options.host && arrival.from.is_none() => {
                Route::To(owner.clone())
            }
            _ => Route::Here(key),
        }
    }

    fn route_ticket(&self, now: Time, arrival: &Arrival, ticket: Ticket) -> Route {
        let own = ticket.incarnation == self.options.incarnation;
        let here = own || self.ledger.serves(ticket.incarnation);
        if here && (self.ledger.is_open() || arrival.from.is_some()) {
            return Route::Here(Key::Ticket(ticket));
        }
        // At most one hop, or two nodes could forward the request back and forth.
        if arrival.from.is_some() {
            return Route::Nowhere(Code::OwnerGone);
        }
        match self.members.serving_opt(ticket.incarnation) {
            Some(host) if self.members.is_reachable(now, host) => Route::To(host.clone()),
            _ => Route::Nowhere(Code::OwnerGone),
        }
    }

    fn claim(&mut self, now: Time, arrival: &Arrival, mut task: Task, key: Key) {
        let request = arrival.request;
        let customer = task.customer.clone();
        let by = Claimant {
            request,
            customer: customer.name.to_number(),
            fingerprint: arrival.fingerprint,
            endpoint_checks: task.target.checks_keys,
        };
        let claim = self.ledger.claim(now, &key, by);
        task.key = Some(key);
        self.insert(request, task);
        match claim {
            Claim::First => {
                let nodes = self.live.len();
                if self
                    .customers
                    .admit(now, by.customer, customer.limit, nodes)
                {
                    self.ask(now, request);
                } else {
                    self.not_run(now, request, Refusal::new(Code::CustomerLimit));
                }
            }
            Claim::Wait => self.trace.add(now, request, Step::Waits),
            Claim::Replay(of) => self.replay(now, request, of),
            Claim::Refused(code) => self.finish(now, request, Refusal::new(code)),
        }
    }

    /// Answers a request with the recorded answer of another one with the same key.
    pub(super) fn replay(&mut self, now: Time, request: id::Request, of: id::Request) {
        self.out.push(Action::Replay { request, of });
        self.end(now, request, Code::Ran);
    }
}
