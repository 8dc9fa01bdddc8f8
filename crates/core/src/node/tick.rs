//! Timer-driven work: deadlines, heartbeats, progress messages and stalled calls.

use std::collections::BTreeMap;

use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

use super::Node;
use super::Phase;
use super::Waste;
use crate::message::Message;
use crate::pool::End;

/// The minimum time without a first token after which a repeatable call is stalled.
const MIN_STALL_TIMEOUT: Span = Span::from_secs(1);
/// The share of a call's time limit, as a divisor, after which it is stalled if this
/// is longer than `MIN_STALL_TIMEOUT`.
const STALL_TIMEOUT_DIVISOR: u64 = 4;

impl Node {
    pub(super) fn tick(&mut self, now: Time) {
        self.expire(now);
        self.pools.values_mut().for_each(|pool| pool.tick(now));
        if now.since(self.last_heartbeat) >= self.options.heartbeat {
            self.last_heartbeat = now;
            self.send_heartbeats(now);
            self.send_progress(now);
            self.update_live_nodes(now);
            self.restart_stalled(now);
            let reserves = self.reserves_at(now);
            if reserves != self.reserves {
                self.reserves = reserves;
                self.refresh_pools();
            }
            self.hand_over(now);
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.deadlines.remove(&(deadline, request));
            self.expire_request(now, request);
        }
    }

    fn send_progress(&mut self, now: Time) {
        let mut by_target: BTreeMap<id::Target, Vec<(id::Endpoint, Tokens, Span)>> =
            BTreeMap::new();
        for ((target, endpoint), unreported) in std::mem::take(&mut self.unreported) {
            let item = (endpoint, Tokens(unreported.tokens), unreported.busy);
            by_target.entry(target).or_default().push(item);
        }
        for (target, endpoints) in by_target {
            let holder = self.holder(&target);
            self.deliver(now, &holder, Message::Progress { target, endpoints });
        }
    }

    /// Restarts repeatable calls elsewhere if their endpoint sent nothing and the retry
    /// budget allows it.
    fn restart_stalled(&mut self, now: Time) {
        let stalled = self.tasks.iter().filter(|(_, task)| {
            let Phase::Calling { called_at, .. } = &task.phase else {
                return false;
            };
            let time = task.deadline.since(*called_at);
            let stall_timeout = Span(MIN_STALL_TIMEOUT.0.max(time.0 / STALL_TIMEOUT_DIVISOR));
            let silent = task.first.is_none() && now.since(*called_at) > stall_timeout;
            silent && task.class.repeatable && task.deadline > now
        });
        let mut stalled: Vec<id::Request> = stalled.map(|(request, _)| *request).collect();
        stalled.sort();
        for request in stalled {
            self.restart_call(now, request);
        }
    }

    fn restart_call(&mut self, now: Time, request: id::Request) {
        let Some(task) = self.tasks.get_mut(&request) else {
            return;
        };
        let Phase::Calling { endpoint, .. } = &task.phase else {
            return;
        };
        let endpoint = endpoint.clone();
        if task.retries > 0 || !self.retries.has_retry() {
            return;
        }
        task.was_sent = true;
        self.cancel_call(now, request, End::Failed, Waste::Stalled);
        self.retry(now, request, Some(endpoint));
    }
}
