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
pub(super) const STEP: u64 = 20;

/// The window of the rule, in milliseconds.
pub(super) const WINDOW: u64 = 8_000;

/// How far the rule lets the whole go beyond the limit.
pub(super) const OVERRUN: f64 = 0.25;
pub(super) const SLACK: f64 = 72_000.0;

/// Tokens of one request.
pub(super) const REQUEST: u64 = 3_000;

/// Nodes of a fleet of several cells.
pub(super) const NODES: u8 = 30;

/// Nodes that lose all others between two moments, or are not there at all.
#[derive(Clone)]
pub(super) struct Trouble {
    pub nodes: Range<u8>,
    pub from: u64,
    pub to: u64,
    pub kill: bool,
}

pub(super) struct Fleet {
    pub nodes: Vec<Option<Dispatcher>>,
    pub customer: Customer,
    pub troubles: Vec<Trouble>,
    pub lives: u64,
    /// The part of the allowance that is the initial credit.
    pub initial: f64,
    pub given: Vec<(u64, u64)>,
    /// Nodes that have a request which waits, and until when.
    pub waiting: Vec<(u8, Time)>,
    pub asked: u64,
}

pub(super) fn quota(rate: f64) -> Quota {
    Quota {
        per_second: rate,
        burst: rate * 2.0,
        default_tokens: Some(1),
    }
}

impl Fleet {
    pub(super) fn new(rate: f64, troubles: &[Trouble]) -> Fleet {
        Fleet::of(NODES, rate, troubles)
    }

    pub(super) fn of(nodes: u8, rate: f64, troubles: &[Trouble]) -> Fleet {
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
            troubles: troubles.to_vec(),
            lives: 0,
            initial: quota::Options::default().initial,
            given: Vec::new(),
            waiting: Vec::new(),
            asked: 0,
        };
        for number in 0..nodes {
            let made = fleet.make(number);
            fleet.nodes.push(Some(made));
        }
        fleet
    }

    pub(super) fn make(&mut self, number: u8) -> Dispatcher {
        self.lives += 1;
        let mut dispatcher = Dispatcher::new(Options {
            incarnation: self.lives,
            seeds: vec![node(0), node(1), node(2)],
            quota: quota::Options {
                overrun: OVERRUN,
                slack: SLACK,
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

    pub(super) fn troubled(&self, millis: u64, number: u8, kill: bool) -> bool {
        let mut now = self
            .troubles
            .iter()
            .filter(|one| one.kill == kill && (one.from..one.to).contains(&millis));
        now.any(|one| one.nodes.contains(&number))
    }

    /// The node at an address, where the two can reach each other.
    pub(super) fn reached(
        &mut self,
        millis: u64,
        from: u8,
        to: SocketAddrV4,
    ) -> Option<&mut Dispatcher> {
        let number = to.ip().octets()[3];
        if self.troubled(millis, from, false) || self.troubled(millis, number, false) {
            return None;
        }
        self.nodes.get_mut(usize::from(number))?.as_mut()
    }

    pub(super) fn step(&mut self, millis: u64, requests: u64) {
        self.step_asking(millis, |_| requests);
    }

    /// One step in which each node gets as many requests as `asked` says.
    pub(super) fn step_asking(&mut self, millis: u64, asked: impl Fn(u8) -> u64) {
        for number in 0..self.nodes.len() as u8 {
            let killed = self.troubled(millis, number, true);
            let place = usize::from(number);
            match (killed, self.nodes[place].is_some()) {
                (true, true) => {
                    self.nodes[place] = None;
                    self.waiting.retain(|(waits_at, _)| *waits_at != number);
                }
                (false, false) => self.nodes[place] = Some(self.make(number)),
                _ => {}
            }
            let Some(dispatcher) = &mut self.nodes[place] else {
                continue;
            };
            dispatcher.tick(at(millis));
            for (status, due) in dispatcher.statuses(at(millis)) {
                for to in due {
                    if let Some(other) = self.reached(millis, number, to) {
                        other.receive_status(at(millis), node(number), status.clone());
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
            units: REQUEST,
            routine: 0.0,
            pressed: false,
        };
        let customer = self.customer.clone();
        let place = usize::from(number);
        let Some(dispatcher) = &mut self.nodes[place] else {
            return;
        };
        let left = Span::from_secs(5);
        let mut charge = dispatcher.charge(at(millis), &customer, demand, left);
        while let Charge::Ask(owner, reserve) = charge {
            self.asked += 1;
            let verdict = self
                .reached(millis, number, owner)
                .map(|owner| owner.reserve(at(millis), &reserve));
            let dispatcher = self.nodes[place].as_mut().expect("it has just asked");
            charge = dispatcher.reserved(at(millis), owner, &customer, demand, left, verdict);
        }
        match charge {
            Charge::Admitted => self.given.push((millis, REQUEST)),
            Charge::Wait(until) => self.waiting.push((number, until)),
            Charge::Refused(..) | Charge::Ask(..) => {}
        }
    }

    /// The most that was given out in any window of the rule.
    pub(super) fn most(&self) -> u64 {
        let windows = self.given.iter().map(|(from, _)| {
            let within = self
                .given
                .iter()
                .filter(|(at, _)| (*from..from + WINDOW).contains(at));
            within.map(|(_, units)| units).sum()
        });
        windows.max().unwrap_or(0)
    }

    pub(super) fn sum(&self, span: Range<u64>) -> u64 {
        let within = self.given.iter().filter(|(at, _)| span.contains(at));
        within.map(|(_, units)| units).sum()
    }
}

pub(super) fn cut(nodes: Range<u8>, from: u64, to: u64) -> Trouble {
    Trouble {
        nodes,
        from,
        to,
        kill: false,
    }
}

pub(super) fn kill(nodes: Range<u8>, from: u64, to: u64) -> Trouble {
    Trouble {
        nodes,
        from,
        to,
        kill: true,
    }
}
