//! Charges requests to their customer's quota, on this node or on the node that owns the
//! quota.

use std::fmt;
use std::net::SocketAddrV4;

use woadstage_dispatch::dispatcher::Charge;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Verdict;
use woadstage_dispatch::quota::Demand;
use woadstage_dispatch::quota::Denied;

use super::admit::Admitted;
use super::closing;
use super::reply::Reply;
use crate::event::Event;
use crate::shell::Shell;

/// The node that charged a request to its customer's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChargedBy {
    /// None: there is no quota, or the request was rejected before it was charged.
    Nobody,
    /// This node.
    Local,
    /// Another node, the owner of the quota.
    Remote(SocketAddrV4),
    /// The node that forwarded the request, which also refunds it.
    Forwarder,
}

impl fmt::Display for ChargedBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChargedBy::Nobody => f.write_str("none"),
            ChargedBy::Local => f.write_str("here"),
            ChargedBy::Remote(owner) => owner.fmt(f),
            ChargedBy::Forwarder => f.write_str("forwarder"),
        }
    }
}

/// Charges a request to its customer's quota.
///
/// # Errors
/// Returns the reply to a request that exceeds the quota.
pub async fn charge(shell: &Shell, admitted: &Admitted, units: u64) -> Result<ChargedBy, Reply> {
    let Some(customer) = &admitted.customer else {
        return Ok(ChargedBy::Nobody);
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
    let mut charged_by = ChargedBy::Local;
    loop {
        charge = match charge {
            Charge::Ask(owner, reserve) => {
                let verdict = shell
                    .reservations
                    .request(&shell.peers, owner, reserve)
                    .await;
                shell.metrics.record_reservation(verdict.as_ref());
                charged_by = match verdict {
                    Some(Verdict::Granted | Verdict::Denied(_)) => ChargedBy::Remote(owner),
                    Some(Verdict::Unknown) | None => ChargedBy::Local,
                };
                shell.command(|dispatcher, now| {
                    dispatcher.finish_reservation(now, owner, customer, demand, left(), verdict)
                })
            }
            Charge::Wait(until) => {
                shell.sleep_until(until).await;
                if !shell.may_pass_on() {
                    return Err(closing::to_refusal(shell, admitted));
                }
                shell.command(|dispatcher, now| dispatcher.charge(now, customer, demand, left()))
            }
            Charge::Refused(refusal, denied) => {
                record_over_limit(shell, admitted, units, denied, charged_by);
                return Err(refusal.into());
            }
            Charge::Admitted if customer.quota.is_none() => return Ok(ChargedBy::Nobody),
            Charge::Admitted => return Ok(charged_by),
        };
    }
}

fn record_over_limit(
    shell: &Shell,
    admitted: &Admitted,
    units: u64,
    denied: Denied,
    charged_by: ChargedBy,
) {
    let reach = shell.query(|dispatcher, now| dispatcher.reach(now));
    shell.log(&Event::OverLimit {
        request: &admitted.request_id,
        route: &admitted.route.name,
        customer: admitted.customer_name(),
        asked: units,
        level: denied.level as i64,
        most: denied.capacity as u64,
        kept: denied.reserved as u64,
        quota: &charged_by.to_string(),
        nodes: reach.nodes,
        silent: reach.silent,
    });
}

/// Refunds the units charged for a request that did not run.
pub fn refund(shell: &Shell, admitted: &Admitted, units: u64, charged_by: ChargedBy) {
    let Some(customer) = &admitted.customer else {
        return;
    };
    let owner = match charged_by {
        ChargedBy::Nobody | ChargedBy::Forwarder => return,
        ChargedBy::Local => None,
        ChargedBy::Remote(owner) => Some(owner),
    };
    let refunded = shell.command(|dispatcher, _| dispatcher.refund(customer, units, owner));
    if let Some((owner, release)) = refunded {
        // If this message is lost, these units stay charged to the customer.
        shell.peers.send(owner, &Message::Release(release));
    }
}
