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

/// How soon after an endpoint refused a connection another one is reached if this node's links are
/// sound: many round trips.
const MAX_REACH_DELAY: Span = Span::from_millis(200);

/// An endpoint that refused a connection.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refused {
    at: Time,
    endpoint: u32,
    /// Whether it is probed again, since another endpoint was reached only after this node's links may
    /// have been lost.
    is_rechecked: bool,
}

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
        let rechecked: Vec<u32> = self
            .refused_endpoints
            .iter()
            .filter(|refused| refused.is_rechecked)
            .map(|refused| refused.endpoint)
            .collect();
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
                let is_due = worker.is_open() && worker.link.is_probe_due(now);
                let is_urgent = !worker.link.is_lost() || rechecked.contains(&worker.number);
                if next_lost == Some(index) || (is_due && is_urgent) {
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
        self.refused_endpoints
            .retain(|refused| refused.endpoint != number);
    }

    /// Records that an endpoint refused a connection after a call to it broke. It has ended if other
    /// endpoints are reached; otherwise this node's links may be broken. Returns another endpoint to
    /// probe for that.
    pub fn record_refused(&mut self, now: Time, endpoint: &Endpoint) -> Option<ProbeTarget> {
        let number = endpoint.to_number();
        let mut known = self.refused_endpoints.iter();
        match known.position(|refused| refused.endpoint == number) {
            Some(index) if self.refused_endpoints[index].is_rechecked => {
                self.refused_endpoints.remove(index);
                self.record_refusing_endpoint_ended(now, number);
                return None;
            }
            Some(_) => {}
            None => self.refused_endpoints.push(Refused {
                at: now,
                endpoint: number,
                is_rechecked: false,
            }),
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
            .retain(|refused| now.since(refused.at) < REFUSAL_TIMEOUT);
    }

    /// Charges the ends of endpoints that refused connections, now that another one is reached. If none
    /// was for longer, this node's links may have been lost: then they are probed again first.
    pub(super) fn settle_refusals(&mut self, now: Time, reached: u32) {
        let mut unsettled = self.refused_endpoints.iter();
        let was_disconnected = unsettled
            .any(|refused| !refused.is_rechecked && now.since(refused.at) > MAX_REACH_DELAY);
        let refused = std::mem::take(&mut self.refused_endpoints);
        for refused in refused {
            if refused.endpoint == reached || refused.is_rechecked {
                self.refused_endpoints.push(refused);
            } else if was_disconnected {
                self.recheck(now, refused);
            } else {
                self.record_refusing_endpoint_ended(now, refused.endpoint);
            }
        }
    }

    fn recheck(&mut self, now: Time, refused: Refused) {
        let workers = self.pools.values_mut().flat_map(|pool| &mut pool.workers);
        for worker in workers.filter(|worker| worker.number == refused.endpoint) {
            worker.link.hasten_probe(now);
        }
        self.refused_endpoints.push(Refused {
            is_rechecked: true,
            ..refused
        });
    }

    fn record_refusing_endpoint_ended(&mut self, now: Time, endpoint: u32) {
        self.doubt_start(now, endpoint, Cause::Refused);
        self.record_endpoint_ended(now, endpoint);
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
