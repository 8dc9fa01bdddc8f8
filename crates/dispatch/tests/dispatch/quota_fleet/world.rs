//! A simulated fleet whose nodes ask the owners of quotas, with outages set by a test.

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

/// The simulated time of one step.
pub(super) const STEP_MILLIS: u64 = 20;

/// The window in which usage is measured.
pub(super) const WINDOW_MILLIS: u64 = 8_000;

/// The fraction by which the fleet may exceed a limit.
pub(super) const OVERRUN: f64 = 0.25;

/// Further units by which the fleet may exceed a limit in a window.
pub(super) const SLACK_UNITS: f64 = 72_000.0;

/// The units of one request.
pub(super) const REQUEST_UNITS: u64 = 3_000;

/// The number of nodes of a fleet of several cells.
pub(super) const FLEET_NODES: u8 = 30;

/// Nodes that are partitioned from all others for a while, or killed.
#[derive(Clone)]
pub(super) struct Outage {
    pub nodes: Range<u8>,
    pub from: u64,
    pub to: u64,
    pub kill: bool,
}

/// The nodes of a fleet and the units that they admitted.
pub(super) struct Fleet {
    /// The nodes, without those that are killed.
    pub nodes: Vec<Option<Dispatcher>>,
    pub customer: Customer,
    pub outages: Vec<Outage>,
    pub incarnations: u64,
    /// The fraction of the allowance that is the initial credit.
    pub initial: f64,
    /// When units were admitted, and how many.
    pub admitted: Vec<(u64, u64)>,
    /// The node of each waiting request, and when it is charged again.
    pub waiting: Vec<(u8, Time)>,
    /// The number of requests to owners.
    pub reservations: u64,
}

pub(super) fn quota(rate: f64) -> Quota {
    Quota {
        per_second: rate,
        burst: rate * 2.0,
        default_tokens: Some(1),
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
            reservations: 0,
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
        let mut current = self
            .outages
            .iter()
            .filter(|outage| outage.kill == kill && (outage.from..outage.to).contains(&millis));
        current.any(|outage| outage.nodes.contains(&number))
    }

    /// Returns the node at an address if `from` can reach it.
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

    /// Runs one step in which each node gets as many requests as `requests` returns.
    pub(super) fn step_with(&mut self, millis: u64, requests: impl Fn(u8) -> u64) {
        for number in 0..self.nodes.len() as u8 {
            let killed = self.has_outage(millis, number, true);
            let index = usize::from(number);
            match (killed, self.nodes[index].is_some()) {
                (true, true) => {
                    self.nodes[index] = None;
                    self.waiting
                        .retain(|(waiting_node, _)| *waiting_node != number);
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
                        other.receive_status(at(millis), node(number), status.clone());
                    }
                }
            }
            let (due, waiting): (Vec<_>, Vec<_>) = self
                .waiting
                .drain(..)
                .partition(|(waiting_node, until)| *waiting_node == number && *until <= at(millis));
            self.waiting = waiting;
            for _ in due {
                self.request(millis, number);
            }
            for _ in 0..requests(number) {
                self.request(millis, number);
            }
        }
    }

    pub(super) fn request(&mut self, millis: u64, number: u8) {
        let demand = Demand {
            units: REQUEST_UNITS,
            relative_priority: 0.0,
            backlogged: false,
        };
        let customer = self.customer.clone();
        let index = usize::from(number);
        let Some(dispatcher) = &mut self.nodes[index] else {
            return;
        };
        let left = Span::from_secs(5);
        let mut charge = dispatcher.charge(at(millis), &customer, demand, left);
        while let Charge::Ask(owner, reserve) = charge {
            self.reservations += 1;
            let verdict = self
                .connect(millis, number, owner)
                .map(|owner| owner.reserve(at(millis), &reserve));
            let dispatcher = self.nodes[index].as_mut().expect("the node has just asked");
            charge =
                dispatcher.finish_reservation(at(millis), owner, &customer, demand, left, verdict);
        }
        match charge {
            Charge::Admitted => self.admitted.push((millis, REQUEST_UNITS)),
            Charge::Wait(until) => self.waiting.push((number, until)),
            Charge::Refused(..) | Charge::Ask(..) => {}
        }
    }

    /// Returns the most units that were admitted in any window.
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

    /// Returns the units that were admitted in a span of milliseconds.
    pub(super) fn admitted_in(&self, span: Range<u64>) -> u64 {
        let within = self.admitted.iter().filter(|(at, _)| span.contains(at));
        within.map(|(_, units)| units).sum()
    }
}

pub(super) fn partition(nodes: Range<u8>, from: u64, to: u64) -> Outage {
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
