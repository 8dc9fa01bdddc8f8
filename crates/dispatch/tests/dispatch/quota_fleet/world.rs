//! A fleet whose nodes ask the owners of quotas, cut off and killed as a test says.

use std::net::SocketAddrV4;
use std::ops::Range;
use std::sync::Arc;

use woadstage_dispatch::configuration::Configuration;
use woadstage_dispatch::configuration::Customer;
use woadstage_dispatch::configuration::Quota;
use woadstage_dispatch::dispatcher::Charge;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Options;
use woadstage_dispatch::quota;
use woadstage_dispatch::quota::Demand;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::at;
use crate::support::node;
use crate::support::options;

/// Time between two steps of the world, in milliseconds.
pub(super) const STEP_MILLIS: u64 = 20;

/// The window of the rule, in milliseconds.
pub(super) const WINDOW_MILLIS: u64 = 8_000;

/// How far the rule lets the whole go beyond the limit.
pub(super) const OVERRUN: f64 = 0.25;
pub(super) const SLACK_UNITS: f64 = 72_000.0;

/// Tokens of one request.
pub(super) const REQUEST_UNITS: u64 = 3_000;

/// Nodes of a fleet of several cells.
pub(super) const FLEET_NODES: u8 = 30;

/// Nodes that lose all others between two moments, or are not there at all.
#[derive(Clone)]
pub(super) struct Outage {
    pub nodes: Range<u8>,
    pub from: u64,
    pub to: u64,
    pub kill: bool,
}

pub(super) struct Fleet {
    pub nodes: Vec<Option<Dispatcher>>,
    pub customer: Customer,
    pub outages: Vec<Outage>,
    pub incarnations: u64,
    /// The part of the allowance that is the initial credit.
    pub initial: f64,
    pub admitted: Vec<(u64, u64)>,
    /// Nodes that have a request which waits, and until when.
    pub waiting: Vec<(u8, Time)>,
    pub asked: u64,
}

pub(super) fn quota(rate: f64) -> Quota {
    Quota {
        per_second: rate,
        burst: rate * 2.0,
        plain_tokens: Some(1),
    }
}

impl Fleet {
    pub(super) fn new(rate: f64, outages: &[Outage]) -> Fleet {
        Fleet::with_nodes(FLEET_NODES, rate, outages)
    }

    pub(super) fn with_nodes(nodes: u8, rate: f64, outages: &[Outage]) -> Fleet {
        let customer = Customer {
            name: id::Customer::new("one"),
            keys: Vec::new(),
            priority: None,
            quota: Some(quota(rate)),
            regions: Default::default(),
        };
        let mut fleet = Fleet {
            nodes: Vec::new(),
            customer,
            outages: outages.to_vec(),
            incarnations: 0,
            initial: quota::Options::default().initial,
            admitted: Vec::new(),
            waiting: Vec::new(),
            asked: 0,
        };
        for number in 0..nodes {
            let made = fleet.make_node(number);
            fleet.nodes.push(Some(made));
        }
        fleet
    }

    pub(super) fn make_node(&mut self, number: u8) -> Dispatcher {
        self.incarnations += 1;
        let mut dispatcher = Dispatcher::new(Options {
            incarnation: self.incarnations,
            seeds: vec![node(0), node(1), node(2)],
            quota: quota::Options {
                overrun: OVERRUN,
                slack: SLACK_UNITS,
                initial: self.initial,
                ..quota::Options::default()
            },
            ..options(number)
        });
        let configuration = Configuration {
            version: 1,
            customers: Some(vec![self.customer.clone()]),
            ..Configuration::default()
        };
        dispatcher.set_configuration(at(0), Arc::new(configuration));
        dispatcher
    }

    pub(super) fn has_outage(&self, millis: u64, number: u8, kill: bool) -> bool {
        let mut now = self
            .outages
            .iter()
            .filter(|one| one.kill == kill && (one.from..one.to).contains(&millis));
        now.any(|one| one.nodes.contains(&number))
    }

    /// The node at an address, where the two can reach each other.
    pub(super) fn connect(
        &mut self,
        millis: u64,
        from: u8,
        to: SocketAddrV4,
    ) -> Option<&mut Dispatcher> {
        let number = to.ip().octets()[3];
        if self.has_outage(millis, from, false) || self.has_outage(millis, number, false) {
            return None;
        }
        self.nodes.get_mut(usize::from(number))?.as_mut()
    }

    pub(super) fn step(&mut self, millis: u64, requests: u64) {
        self.step_with(millis, |_| requests);
    }

    /// One step in which each node gets as many requests as `asked` says.
    pub(super) fn step_with(&mut self, millis: u64, asked: impl Fn(u8) -> u64) {
        for number in 0..self.nodes.len() as u8 {
            let killed = self.has_outage(millis, number, true);
            let index = usize::from(number);
            match (killed, self.nodes[index].is_some()) {
                (true, true) => {
                    self.nodes[index] = None;
                    self.waiting.retain(|(waits_at, _)| *waits_at != number);
                }
                (false, false) => self.nodes[index] = Some(self.make_node(number)),
                _ => {}
            }
            let Some(dispatcher) = &mut self.nodes[index] else {
                continue;
            };
            dispatcher.tick(at(millis));
            for (status, due) in dispatcher.statuses(at(millis)) {
                for to in due {
                    if let Some(other) = self.connect(millis, number, to) {
                        other.hear(at(millis), node(number), status.clone());
                    }
                }
            }
            let (due, waiting): (Vec<_>, Vec<_>) = self
                .waiting
                .drain(..)
                .partition(|(waits_at, until)| *waits_at == number && *until <= at(millis));
            self.waiting = waiting;
            for _ in due {
                self.request(millis, number);
            }
            for _ in 0..asked(number) {
                self.request(millis, number);
            }
        }
    }

    pub(super) fn request(&mut self, millis: u64, number: u8) {
        let demand = Demand {
            units: REQUEST_UNITS,
            routine: 0.0,
            pressed: false,
        };
        let customer = self.customer.clone();
        let index = usize::from(number);
        let Some(dispatcher) = &mut self.nodes[index] else {
            return;
        };
        let left = Span::from_secs(5);
        let mut charge = dispatcher.charge(at(millis), &customer, demand, left);
        while let Charge::Ask(owner, reserve) = charge {
            self.asked += 1;
            let verdict = self
                .connect(millis, number, owner)
                .map(|owner| owner.reserve(at(millis), &reserve));
            let dispatcher = self.nodes[index].as_mut().expect("it has just asked");
            charge =
                dispatcher.finish_reservation(at(millis), owner, &customer, demand, left, verdict);
        }
        match charge {
            Charge::Admitted => self.admitted.push((millis, REQUEST_UNITS)),
            Charge::Wait(until) => self.waiting.push((number, until)),
            Charge::Refused(..) | Charge::Ask(..) => {}
        }
    }

    /// The most that was given out in any window of the rule.
    pub(super) fn max_admitted_in_window(&self) -> u64 {
        let windows = self.admitted.iter().map(|(from, _)| {
            let within = self
                .admitted
                .iter()
                .filter(|(at, _)| (*from..from + WINDOW_MILLIS).contains(at));
            within.map(|(_, units)| units).sum()
        });
        windows.max().unwrap_or(0)
    }

    pub(super) fn admitted_in(&self, span: Range<u64>) -> u64 {
        let within = self.admitted.iter().filter(|(at, _)| span.contains(at));
        within.map(|(_, units)| units).sum()
    }
}

pub(super) fn cut(nodes: Range<u8>, from: u64, to: u64) -> Outage {
    Outage {
        nodes,
        from,
        to,
        kill: false,
    }
}

pub(super) fn kill(nodes: Range<u8>, from: u64, to: u64) -> Outage {
    Outage {
        nodes,
        from,
        to,
        kill: true,
    }
}
