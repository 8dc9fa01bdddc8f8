//! A request is charged to its customer's quota: here, or by the node that owns
//! the quota.

use std::fmt;
use std::net::SocketAddrV4;

use woadstage_dispatch::dispatcher::Charge;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Verdict;
use woadstage_dispatch::quota::Demand;
use woadstage_dispatch::quota::Denied;

use super::admit::Admitted;
use super::reply::Reply;
use crate::event::Event;
use crate::shell::Shell;

/// Who charged a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Charged {
    /// Nobody: there is no quota, or the request was turned away before.
    Nowhere,
    /// This node.
    Here,
    /// The owner of the quota.
    By(SocketAddrV4),
}

impl fmt::Display for Charged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Charged::Nowhere => f.write_str("none"),
            Charged::Here => f.write_str("here"),
            Charged::By(owner) => owner.fmt(f),
        }
    }
}

/// Charges a request's customer.
///
/// # Errors
/// The answer to a request that does not fit the quota.
pub async fn charge(shell: &Shell, admitted: &Admitted, units: u64) -> Result<Charged, Reply> {
    let Some(customer) = &admitted.customer else {
        return Ok(Charged::Nowhere);
    };
    let urgency = admitted.route.priority;
    let demand = shell.query(|dispatcher, now| Demand {
        units,
        relative_priority: dispatcher.relative_priority(urgency),
        backlogged: dispatcher.is_backlogged(now, &admitted.target),
    });
    let left = || admitted.deadline.since(shell.now());
    let mut charge =
        shell.command(|dispatcher, now| dispatcher.charge(now, customer, demand, left()));
    let mut charged = Charged::Here;
    loop {
        charge = match charge {
            Charge::Ask(owner, reserve) => {
                let verdict = shell.reservations.ask(&shell.peers, owner, reserve).await;
                shell.metrics.reserved(verdict.as_ref());
                charged = match verdict {
                    Some(Verdict::Granted | Verdict::Denied(_)) => Charged::By(owner),
                    Some(Verdict::Unknown) | None => Charged::Here,
                };
                shell.command(|dispatcher, now| {
                    dispatcher.finish_reservation(now, owner, customer, demand, left(), verdict)
                })
            }
            Charge::Wait(until) => {
                tokio::time::sleep_until(shell.clock.to_instant(until)).await;
                shell.command(|dispatcher, now| dispatcher.charge(now, customer, demand, left()))
            }
            Charge::Refused(refusal, denied) => {
                note_over_limit(shell, admitted, units, denied, charged);
                return Err(refusal.into());
            }
            Charge::Admitted if customer.quota.is_none() => return Ok(Charged::Nowhere),
            Charge::Admitted => return Ok(charged),
        };
    }
}

fn note_over_limit(
    shell: &Shell,
    admitted: &Admitted,
    units: u64,
    denied: Denied,
    charged: Charged,
) {
    let reach = shell.query(|dispatcher, now| dispatcher.reach(now));
    shell.log(&Event::OverLimit {
        request: &admitted.request,
        route: &admitted.route.name,
        customer: admitted.customer_name(),
        asked: units,
        level: denied.level as i64,
        most: denied.capacity as u64,
        kept: denied.reserved as u64,
        quota: &charged.to_string(),
        nodes: reach.nodes,
        silent: reach.silent,
    });
}

/// Gives back what a request was charged that did not run.
pub fn give_back(shell: &Shell, admitted: &Admitted, units: u64, charged: Charged) {
    let Some(customer) = &admitted.customer else {
        return;
    };
    let owner = match charged {
        Charged::Nowhere => return,
        Charged::Here => None,
        Charged::By(owner) => Some(owner),
    };
    let told = shell.command(|dispatcher, _| dispatcher.refund(customer, units, owner));
    if let Some((owner, release)) = told {
        // Where that is lost, the customer may use so much less.
        shell.peers.send(owner, &Message::Release(release));
    }
}
