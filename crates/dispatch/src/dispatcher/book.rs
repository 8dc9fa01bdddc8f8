//! Books places for callers that are refused, and recognises them when they return.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::Dispatcher;
use super::Pool;
use super::Refusal;
use super::retry::MIN_RETRY_AFTER;
use super::start::MAX_RECENT_STARTS;
use crate::booking;
use crate::booking::Announcement;
use crate::booking::Calendar;
use crate::configuration::Rank;
use crate::endpoint;
use crate::job;
use crate::job::Job;
use crate::member::Owner;
use crate::message::Message;

impl Dispatcher {
    /// Recognises a caller that returns to a place booked for it, and claims the booking.
    pub(super) fn claim_booking(&mut self, now: Time, id: job::Id, job: &mut Job) {
        if !self.has_bookings(&job.target) || job.is_booked {
            return;
        }
        let calendar = self.calendar_mut(&job.target);
        let claim = calendar.and_then(|calendar| calendar.claim(now, id, job));
        job.is_booked = claim.is_some();
        // A caller without a booking counts as new, however little time it has left. When that time
        // was taken as the sign of a retry, retries were admitted however late they would be
        // answered, and at 1.3 times the capacity of a plain service 12 in 100 callers were served
        // in time instead of 52.
        job.first_try = claim.map_or(job.arrived, |claim| claim.first_try);
    }

    /// Books a place for the caller of a refused request, if there will be one while its caller
    /// still waits. Returns when the caller is to return.
    pub(super) fn book(&mut self, now: Time, job: &Job, refusal: Refusal) -> Option<Span> {
        let wait = refusal.wait.filter(|_| refusal.code == Code::TooLate)?;
        // Callers retry once, so one that claimed a booking does not return again.
        if !self.has_bookings(&job.target) || job.is_booked || !self.decides_for_cell(now, job) {
            return None;
        }
        if !self.returns_where_known(job) {
            return None;
        }
        let window = self.options.policy.rate_window;
        let pool = self.pools.get(&job.target)?;
        // A claimed request may wait for the slot of a call that has just started.
        let answer = Span(pool.call_us as u64) + booking::STEP;
        let rate = pool.start_rate(now, job.rank, window);
        let honoured = now + self.max_retry_after(job.deadline.since(now));
        let request = booking::Request {
            fingerprint: job.fingerprint,
            rank: job.rank,
            first_try: job.first_try,
            earliest: now + wait.max(MIN_RETRY_AFTER),
            latest: honoured.min(job.deadline - answer),
        };
        let calendar = self.calendar_mut(&job.target);
        let due = calendar.and_then(|calendar| calendar.book(now, &request, rate))?;
        Some(due.since(now))
    }

    /// Handles the bookings of another owner of the same service.
    pub fn receive_bookings(&mut self, now: Time, from: SocketAddrV4, announcement: Announcement) {
        let mut pools = self.pools.iter();
        let found = pools.find(|(_, pool)| pool.number == announcement.service);
        let Some(target) = found.map(|(target, _)| target.clone()) else {
            return;
        };
        if self.has_bookings(&target)
            && let Some(calendar) = self.calendar_mut(&target)
        {
            calendar.receive(now, from, &announcement);
        }
    }

    /// Drops expired bookings, and announces new ones and claims to the other owners.
    pub(super) fn announce_bookings(&mut self, now: Time) {
        let mut messages = Vec::new();
        for pool in self.pools.values_mut() {
            let queue = &pool.queue;
            pool.calendar.expire(now, |id| queue.get(id).is_some());
            let announcements = pool.calendar.take_announcements(now, pool.number);
            let announcements = announcements.into_iter();
            messages.extend(announcements.map(|announcement| (pool.number, announcement)));
        }
        for (service, announcement) in messages {
            for owner in self.booking_owners(now, service) {
                let message = Message::Bookings(announcement.clone());
                self.outbox.push((owner, message));
            }
        }
    }

    /// Returns the other owners at which a caller of this data centre may return: the owners in its
    /// other cells, or for a shared service the owners of its endpoints.
    fn booking_owners(&self, now: Time, service: u32) -> BTreeSet<SocketAddrV4> {
        let mut pools = self.pools.values();
        let Some(pool) = pools.find(|pool| pool.number == service) else {
            return BTreeSet::new();
        };
        let owners = self.other_owners(now, pool).into_iter();
        let owners = owners.map(|source| source.owner);
        owners
            .filter(|owner| pool.shared || self.is_in_own_centre(*owner))
            .collect()
    }

    /// Takes the starts of requests whose callers claimed a booking, since the last call.
    pub fn take_booking_starts(&mut self) -> Vec<booking::Start> {
        std::mem::take(&mut self.booking_starts)
    }

    /// Records the start of a request whose caller may have claimed a booking.
    pub(super) fn record_booked_start(&mut self, now: Time, id: job::Id, job: &Job) {
        let calendar = self.calendar_mut(&job.target).filter(|_| job.is_booked);
        if let Some(due) = calendar.and_then(|calendar| calendar.record_start(id)) {
            self.booking_starts
                .push(booking::Start { due, started: now });
        }
    }

    /// Records the refusal of a request whose caller may have claimed a booking.
    pub(super) fn record_booked_refusal(&mut self, id: job::Id) {
        let target = self.targets.get(&id);
        let pool = target.and_then(|target| self.pools.get_mut(target));
        if let Some(pool) = pool {
            pool.calendar.record_refused(id);
        }
    }

    /// Whether bookings apply to a service. A fleet of one cell has no owners that could make them.
    fn has_bookings(&self, target: &id::Target) -> bool {
        let activation = self.options.policy.bookings;
        let pool = self.pools.get(target);
        let applies = pool.is_some_and(|pool| activation.applies(pool.has_variable_capacity));
        applies && !self.members.cell().covers_fleet
    }

    /// Whether this node owns the slots that a request asks for.
    fn decides_for_cell(&self, now: Time, job: &Job) -> bool {
        let Some(pool) = self.pools.get(&job.target) else {
            return false;
        };
        let names_slots = !pool.shared || job.only_endpoint.is_some();
        let is_owner = || self.slot_owner(now, pool, job.only_endpoint) == Owner::Local;
        job.origin.is_some() || (names_slots && is_owner())
    }

    /// Whether the caller of a request returns to an owner that is told of bookings made here.
    fn returns_where_known(&self, job: &Job) -> bool {
        let is_shared = self.pools.get(&job.target).is_some_and(|pool| pool.shared);
        is_shared
            || job
                .origin
                .is_none_or(|origin| self.is_in_own_centre(origin.node))
    }

    /// Whether another node is in the data centre of this one.
    fn is_in_own_centre(&self, node: SocketAddrV4) -> bool {
        let own_centre = endpoint::number_of(self.options.data_centre.as_str());
        self.members.data_centre_opt(node) == Some(own_centre)
    }

    fn calendar_mut(&mut self, target: &id::Target) -> Option<&mut Calendar> {
        self.pools.get_mut(target).map(|pool| &mut pool.calendar)
    }
}

impl Pool {
    /// Returns the number of requests of a rank that started in a second, over the last `window` or
    /// the time for which starts are known.
    fn start_rate(&self, now: Time, rank: Rank, window: Span) -> f64 {
        let count = self.started(now, rank, window);
        let mut oldest = self
            .starts
            .get(&rank)
            .and_then(|starts| starts.front().copied());
        if count < MAX_RECENT_STARTS as u64 {
            oldest = None;
        }
        let span = oldest.map_or(window, |oldest| now.since(oldest).min(window));
        count as f64 / span.as_secs_f64().max(booking::STEP.as_secs_f64())
    }
}
