//! Requests are charged to their customer's quota. In a large fleet the quota of
//! each customer has an owner among the nodes (rendezvous hashing), whom the
//! others ask: what is given out is then known at one place, however many nodes
//! a customer's requests come through. Two nodes may take each other's place
//! for a moment, since what each gave out is told to all; a node that reaches
//! no owner keeps to a small part.

use std::net::SocketAddrV4;

use woadstage_types::code::Code;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Refusal;
use crate::configuration::Customer;
use crate::configuration::Quota;
use crate::member::Owner;
use crate::member::Scope;
use crate::message::Release;
use crate::message::Reserve;
use crate::message::Verdict;
use crate::quota::Demand;
use crate::quota::Denied;

/// How long after its start a node lets requests wait for a quota: buckets of nodes that
/// all start together are empty, and owners may not know the customers yet. Of 60 answers
/// of 54 hosts in the first half second after 585 had started together 20 said that a
/// customer was over its limit, of customers that were far below.
const STARTS_FOR: Span = Span::from_secs(2);

/// Longest and shortest wait for a bucket then, and the part of its time that a request
/// may wait.
const WAIT_MOST: Span = Span::from_millis(300);
const WAIT_LEAST: Span = Span::from_millis(20);
const LEFT_PARTS: u64 = 4;

/// How long a request waits for an owner that knows its customer.
const OWNER_AWAITED: Span = Span::from_millis(100);

/// What becomes of a request that is to be charged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Charge {
    /// It is charged here.
    Admitted,
    /// It does not fit the quota.
    Refused(Refusal, Denied),
    /// The owner of the quota is to be asked.
    Ask(SocketAddrV4, Reserve),
    /// It is to be charged anew then: who owns the quota is not known yet.
    Wait(Time),
}

impl Dispatcher {
    /// Charges a customer for a request; `left` is what its caller will wait. A node
    /// that has just started lets it wait rather than refuse it: of 1,582 requests of
    /// customers within their limits that were refused on a day on which all of 295
    /// nodes were killed three times, 859 came in the first 300 ms of a node.
    pub fn charge(&mut self, now: Time, customer: &Customer, demand: Demand, left: Span) -> Charge {
        let Some(quota) = &customer.quota else {
            return Charge::Admitted;
        };
        self.accounts.begin(now);
        let number = customer.name.to_number();
        let reach = self.members.reach(now);
        let accounts = &mut self.accounts;
        if accounts.try_admit_initial(now, number, quota, demand, reach) {
            self.urgent = true;
            return Charge::Admitted;
        }
        let admitted = if self.accounts.is_meeting(now) {
            let admitted = self
                .accounts
                .admit_unheard(now, number, quota, demand, reach);
            let met_at = self.accounts.met_at();
            // Refused, its caller would come back later than that.
            if admitted.is_err() && now + left > met_at {
                return Charge::Wait(met_at);
            }
            admitted
        } else if reach.one_cell {
            self.accounts.admit(now, number, quota, demand, reach)
        } else {
            match self.members.owner(now, Scope::Fleet, number) {
                Owner::Local => self.grant(now, number, quota, demand),
                Owner::Remote(address) => {
                    return Charge::Ask(address, self.next_question(number, demand));
                }
                Owner::Unreachable => {
                    let admitted = self
                        .accounts
                        .admit_unheard(now, number, quota, demand, reach);
                    if admitted.is_err() && self.may_wait(now, OWNER_AWAITED, left) {
                        return Charge::Wait(now + OWNER_AWAITED);
                    }
                    admitted
                }
            }
        };
        match admitted {
            Ok(()) => {
                // The others drain their buckets as soon as they hear of it.
                self.urgent = true;
                Charge::Admitted
            }
            Err(denied) => self.refuse_charge(now, denied, left),
        }
    }

    fn next_question(&mut self, customer: u64, demand: Demand) -> Reserve {
        self.next_reserve += 1;
        Reserve {
            number: self.next_reserve,
            customer,
            units: demand.units,
            routine: (demand.routine * 100.0) as u8,
            pressed: demand.pressed,
        }
    }

    /// True where a request of a node that has just started is rather to wait so long
    /// than to be refused.
    fn may_wait(&self, now: Time, wait: Span, left: Span) -> bool {
        let starts = now.since(self.accounts.started()) < STARTS_FOR;
        starts && wait <= WAIT_MOST && wait.0 * LEFT_PARTS < left.0
    }

    fn refuse_charge(&mut self, now: Time, denied: Denied, left: Span) -> Charge {
        if self.may_wait(now, denied.wait, left) {
            return Charge::Wait(now + denied.wait.max(WAIT_LEAST));
        }
        self.first_tries.note_refused(now);
        let refusal = Refusal {
            code: Code::CustomerLimit,
            retry_after: Some(self.retry_after(now, denied.wait, left)),
            wait: None,
            owner: None,
        };
        Charge::Refused(refusal, denied)
    }

    /// Answers another node that takes this one for the owner of a quota.
    pub fn reserve(&mut self, now: Time, reserve: &Reserve) -> Verdict {
        self.accounts.begin(now);
        let customer = self
            .table
            .as_ref()
            .and_then(|table| table.customer_by_number_opt(reserve.customer));
        let Some(quota) = customer.and_then(|customer| customer.quota) else {
            return Verdict::Unknown;
        };
        let demand = Demand {
            units: reserve.units,
            routine: f64::from(reserve.routine) / 100.0,
            pressed: reserve.pressed,
        };
        match self.grant(now, reserve.customer, &quota, demand) {
            Ok(()) => Verdict::Granted,
            Err(denied) => Verdict::Denied(denied),
        }
    }

    /// Gives units out as an owner. Each node's bucket is drained by what all
    /// others give out, so any may; but while this node still hears one that
    /// goes before it, that one may be alive on the other side of a cut, and
    /// only half as much is given out.
    fn grant(
        &mut self,
        now: Time,
        customer: u64,
        quota: &Quota,
        demand: Demand,
    ) -> Result<(), Denied> {
        let reach = self.members.reach(now);
        self.accounts.admit(now, customer, quota, demand, reach)?;
        if !self.members.is_preferred_owner(now, customer) {
            self.accounts.set_aside(customer, demand.units);
        }
        Ok(())
    }

    /// Takes an owner's answer, or none where `verdict` is nothing; the request
    /// is charged anew where that leaves it open.
    pub fn reserved(
        &mut self,
        now: Time,
        owner: SocketAddrV4,
        customer: &Customer,
        demand: Demand,
        left: Span,
        verdict: Option<Verdict>,
    ) -> Charge {
        match verdict {
            Some(Verdict::Granted) => {
                if let Some(quota) = &customer.quota {
                    let number = customer.name.to_number();
                    let reach = self.members.reach(now);
                    let accounts = &mut self.accounts;
                    accounts.note_even(now, number, quota, demand.units, reach);
                }
                Charge::Admitted
            }
            Some(Verdict::Denied(denied)) => self.refuse_charge(now, denied, left),
            Some(Verdict::Unknown) | None => {
                self.members.record_unanswered(now, owner);
                self.charge(now, customer, demand, left)
            }
        }
    }

    /// Gives back what a request was charged that did not run. Where an `owner`
    /// had granted it, that one is to be told what is returned.
    pub fn give_back(
        &mut self,
        customer: &Customer,
        units: u64,
        owner: Option<SocketAddrV4>,
    ) -> Option<(SocketAddrV4, Release)> {
        let customer = customer.name.to_number();
        match owner {
            Some(owner) => Some((owner, Release { customer, units })),
            None => {
                self.accounts.give_back(customer, units);
                None
            }
        }
    }

    /// Takes back units that another node did not use.
    pub fn release(&mut self, release: &Release) {
        self.accounts.give_back(release.customer, release.units);
    }
}
