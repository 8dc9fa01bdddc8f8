//! Probes of endpoints whose links are in doubt or lost, and what they show.

use std::sync::Arc;

use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use crate::endpoint::Endpoint;
use crate::link::Evidence;
use crate::link::Probe;
use crate::start::Cause;

/// The time between two probes of lost links to the endpoints of one service.
const LOST_PROBE_SPACING: Span = Span::from_millis(400);

/// The same after one of them was regained, when most of the others are expected to be up too.
const REGAIN_PROBE_SPACING: Span = Span::from_millis(20);

/// How long after a link was regained that applies.
const REGAIN_PERIOD: Span = Span::from_secs(1);

/// How long it is open whether an endpoint that refused a connection has ended.
const REFUSAL_TIMEOUT: Span = Span::from_secs(3);

/// An endpoint to probe.
#[derive(Debug, Clone)]
pub struct ProbeTarget {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// The path at which it answers health checks, if configured.
    pub health_path: Option<String>,
}

impl Dispatcher {
    /// Returns the endpoints to probe now.
    pub fn take_probe_targets(&mut self, now: Time) -> Vec<ProbeTarget> {
        let options = &self.options.worker.link;
        let mut targets = Vec::new();
        for pool in self.pools.values_mut() {
            let may_probe_lost = now >= pool.lost_probe_after;
            let lost = pool.workers.iter().enumerate().filter(|(_, worker)| {
                worker.is_open() && worker.link.is_lost() && worker.link.is_probe_due(now)
            });
            let next_lost = lost
                .min_by_key(|(_, worker)| worker.link.next_probe_opt())
                .map(|(index, _)| index)
                .filter(|_| may_probe_lost);
            if next_lost.is_some() {
                pool.lost_probe_after = now + pool.lost_probe_spacing(now);
            }
            for (index, worker) in pool.workers.iter_mut().enumerate() {
                let is_doubted = !worker.link.is_lost() && worker.link.is_probe_due(now);
                if next_lost == Some(index) || (is_doubted && worker.is_open()) {
                    worker.link.start_probe(now, options);
                    targets.push(ProbeTarget {
                        endpoint: worker.endpoint.clone(),
                        health_path: pool.health_path.clone(),
                    });
                }
            }
        }
        targets
    }

    /// Returns an endpoint to probe at once, after a call to it broke. `None` if a probe of it is in
    /// progress.
    pub fn probe_target_opt(&mut self, now: Time, endpoint: &Endpoint) -> Option<ProbeTarget> {
        let options = &self.options.worker.link;
        let pool = self.pools.get_mut(&endpoint.service)?;
        let index = pool.worker_opt(endpoint.to_number())?;
        let health_path = pool.health_path.clone();
        let worker = &mut pool.workers[index];
        worker.link.doubt(now, Evidence::CallBroke);
        if worker.link.is_probing() {
            return None;
        }
        worker.link.start_probe(now, options);
        Some(ProbeTarget {
            endpoint: worker.endpoint.clone(),
            health_path,
        })
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, now: Time, endpoint: &Endpoint, probe: Probe) {
        let number = endpoint.to_number();
        let options = &self.options.worker;
        let Some(pool) = self.pools.get_mut(&endpoint.service) else {
            return;
        };
        let Some(index) = pool.worker_opt(number) else {
            return;
        };
        let is_deaf = pool.deaf_since_opt(now, options).is_some();
        let link = &mut pool.workers[index].link;
        let change = link.finish_probe(now, probe, is_deaf, &options.link);
        if let Some(change) = change {
            self.record_link_change(now, &endpoint.service.clone(), index, change);
        }
    }

    /// Records that a probe opened a connection to an endpoint.
    pub fn record_connected(&mut self, now: Time, endpoint: &Endpoint) {
        let number = endpoint.to_number();
        self.record_endpoint_alive(number);
        self.settle_refusals(now, number);
    }

    /// Records that an endpoint refused a connection after a call to it broke. It has ended if other
    /// endpoints are reached; otherwise this node's links may be broken. Returns another endpoint to
    /// probe for that.
    pub fn record_refused(&mut self, now: Time, endpoint: &Endpoint) -> Option<ProbeTarget> {
        let number = endpoint.to_number();
        let is_known = |(_, known): &(Time, u32)| *known == number;
        if !self.refused_endpoints.iter().any(is_known) {
            self.refused_endpoints.push((now, number));
        }
        let pool = self.pools.get(&endpoint.service)?;
        let mut others = pool.workers.iter();
        let other = others.find(|worker| {
            worker.number != number
                && worker.is_open()
                && worker.link.troubled_since_opt().is_none()
        });
        let other = other?.endpoint.clone();
        self.probe_target_opt(now, &other)
    }

    /// Forgets refused connections of which nothing showed the cause.
    pub(super) fn expire_refusals(&mut self, now: Time) {
        self.refused_endpoints
            .retain(|(at, _)| now.since(*at) < REFUSAL_TIMEOUT);
    }

    /// Charges the ends of endpoints that refused connections, now that another one is reached.
    pub(super) fn settle_refusals(&mut self, now: Time, reached: u32) {
        let refused = std::mem::take(&mut self.refused_endpoints);
        for (at, endpoint) in refused {
            match endpoint == reached {
                true => self.refused_endpoints.push((at, endpoint)),
                false => {
                    self.doubt_start(now, endpoint, Cause::Refused);
                    self.record_endpoint_ended(now, endpoint);
                }
            }
        }
    }
}

impl Pool {
    fn lost_probe_spacing(&self, now: Time) -> Span {
        let mut regained = self.workers.iter();
        match regained.any(|worker| worker.link.was_regained_within(now, REGAIN_PERIOD)) {
            true => REGAIN_PROBE_SPACING,
            false => LOST_PROBE_SPACING,
        }
    }

    pub(super) fn hasten_probes(&mut self, now: Time) {
        self.lost_probe_after = now;
        for worker in &mut self.workers {
            worker.link.hasten_probe(now);
        }
    }
}
