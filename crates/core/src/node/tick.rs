//! What only the passing of time brings about.

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

/// A repeatable call that has shown nothing for this long, or for this share
/// of its time, is started elsewhere if the retry budget allows.
const STUCK: Span = Span::from_secs(1);
const STUCK_SHARE: u64 = 4;

impl Node {
    pub(super) fn tick(&mut self, now: Time) {
        self.expire(now);
        self.pools.values_mut().for_each(|pool| pool.tick(now));
        if now.since(self.beat) >= self.options.heartbeat {
            self.beat = now;
            self.beat_all(now);
            self.tell_progress(now);
            self.view(now);
            self.move_stuck(now);
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
            self.overdue(now, request);
        }
    }

    fn tell_progress(&mut self, now: Time) {
        let mut by_target: BTreeMap<id::Target, Vec<(id::Endpoint, Tokens, Span)>> =
            BTreeMap::new();
        for ((target, endpoint), seen) in std::mem::take(&mut self.seen) {
            let item = (endpoint, Tokens(seen.tokens), seen.busy);
            by_target.entry(target).or_default().push(item);
        }
        for (target, endpoints) in by_target {
            let of = self.holder(&target);
            self.tell(now, &of, Message::Progress { target, endpoints });
        }
    }

    /// Starts repeatable calls elsewhere whose endpoint shows nothing at all.
    fn move_stuck(&mut self, now: Time) {
        let stuck = self.tasks.iter().filter(|(_, task)| {
            let Phase::Calling { called, .. } = &task.phase else {
                return false;
            };
            let time = task.deadline.since(*called);
            let patience = Span(STUCK.0.max(time.0 / STUCK_SHARE));
            let silent = task.first.is_none() && now.since(*called) > patience;
            silent && task.class.repeatable && task.deadline > now
        });
        let mut stuck: Vec<id::Request> = stuck.map(|(request, _)| *request).collect();
        stuck.sort();
        for request in stuck {
            self.move_call_elsewhere(now, request);
        }
    }

    fn move_call_elsewhere(&mut self, now: Time, request: id::Request) {
        let Some(task) = self.tasks.get(&request) else {
            return;
        };
        let Phase::Calling { endpoint, .. } = &task.phase else {
            return;
        };
        let endpoint = endpoint.clone();
        if task.retries > 0 || !self.retries.has_retry() {
            return;
        }
        self.abandon(now, request, End::Failed, Waste::Stuck);
        self.retry(now, request, Some(endpoint));
    }
}
