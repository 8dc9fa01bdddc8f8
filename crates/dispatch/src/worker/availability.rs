//! Whether an endpoint accepts work, and why not.

use woadstage_types::id;
use woadstage_types::unit::Time;

use super::Options;
use super::SUCCESS_VALID_FOR;
use super::Worker;
use crate::message::Unavailability;

/// The number of nodes that must report an endpoint as unreachable before a node that saw no
/// failure itself treats it as such. A single node may be unable to reach the endpoint.
const MIN_UNREACHABLE_REPORTS: u32 = 2;

/// Why a node sends nothing to an endpoint that is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It could not be connected to.
    Unreachable,
    /// Calls to it broke.
    Broken,
    /// Calls to it make no progress.
    Stalled,
    /// Other nodes report it as down.
    ReportedDown,
}

impl Worker {
    /// Whether the endpoint runs requests of this node's callers and has made no progress with them
    /// for too long.
    pub fn is_stalled(&self, now: Time, options: &Options) -> bool {
        self.own_running > 0 && now.since(self.own_progress) > options.stall_timeout
    }

    /// Whether the endpoint has made no progress for too long with the requests of several nodes.
    /// The requests of a single node may hang because its link is broken.
    fn is_stalled_for_all(&self, now: Time, options: &Options) -> bool {
        self.holders > 1 && now.since(self.last_progress) > options.stall_timeout
    }

    /// Whether the endpoint is leaving according to the platform or its own answers.
    pub fn is_leaving(&self) -> bool {
        self.endpoint.leaving || self.leaving
    }

    /// Whether the endpoint is listed and neither leaving nor gone.
    pub fn is_present(&self) -> bool {
        self.listed && !self.is_leaving() && self.gone_at.is_none()
    }

    /// Whether the endpoint may be sent requests at all: it is listed, neither leaving nor
    /// gone, and its data centre is not evacuated.
    pub fn is_open(&self) -> bool {
        self.is_present() && !self.evacuated
    }

    /// The version of its software, unless another start may have taken its place.
    pub fn software_opt(&self) -> Option<&id::Software> {
        let software = self.endpoint.software.as_ref();
        software.filter(|_| !self.start.is_doubted())
    }

    /// Whether this node may send the endpoint new requests.
    pub fn accepts_work(&self, now: Time, options: &Options) -> bool {
        self.is_open()
            && now >= self.backoff_until
            && self.link.is_usable()
            && !self.is_stalled(now, options)
            && !self.is_reported_down(now, options)
            && !self.rest.is_resting(now)
            && self.tolerance.accepts_work(now)
    }

    /// Whether the endpoint's slots may be granted to other nodes. What binds or hinders this node
    /// alone does not apply to them: a rest that the endpoint asked of it, or a link that is lost.
    pub fn is_lendable(&self, now: Time, options: &Options) -> bool {
        self.is_open()
            && now >= self.lending_backoff_until
            && !self.is_stalled_for_all(now, options)
            && !self.is_reported_down(now, options)
            && self.tolerance.accepts_work(now)
    }

    /// Why this node sends it nothing although it is open, if failures are the reason.
    pub fn failure_opt(&self, now: Time, options: &Options) -> Option<Failure> {
        let is_backing_off = self.consecutive_failures > 0 && now < self.backoff_until;
        match () {
            () if !self.is_open() => None,
            () if !self.link.is_usable() => Some(Failure::Unreachable),
            () if is_backing_off && self.unreachable => Some(Failure::Unreachable),
            () if is_backing_off => Some(Failure::Broken),
            () if self.is_stalled(now, options) => Some(Failure::Stalled),
            () if self.is_reported_down(now, options) => Some(Failure::ReportedDown),
            () => None,
        }
    }

    /// Whether the endpoint may reject requests: it did so recently, at this node or another,
    /// and none of this node's calls has succeeded since.
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        let succeeded = self
            .last_success
            .is_some_and(|last| now.since(last) < SUCCESS_VALID_FOR);
        self.rest.is_unconfirmed(now) || (!succeeded && self.rest.is_unconfirmed_elsewhere(now))
    }

    /// Whether other nodes found the endpoint gone, or several could not connect to it, and neither a
    /// call nor a probe of this node reached it recently.
    fn is_reported_down(&self, now: Time, options: &Options) -> bool {
        let succeeded = self
            .last_success
            .is_some_and(|last| now.since(last) < SUCCESS_VALID_FOR);
        let is_gone = self.remote_reports.gone > 0;
        !succeeded && (is_gone || self.is_reported_unreachable(now, options))
    }

    /// Whether several other nodes could not connect to the endpoint, and nothing arrived from it at
    /// this node recently.
    pub fn is_reported_unreachable(&self, now: Time, options: &Options) -> bool {
        self.consecutive_failures == 0
            && self.remote_reports.unreachable >= MIN_UNREACHABLE_REPORTS
            && !self
                .link
                .was_heard_within(now, options.link.contact_valid_for)
    }

    /// The problem to report to other nodes, if any.
    pub fn unavailability_opt(&self, now: Time, options: &Options) -> Option<Unavailability> {
        if self
            .gone_at
            .is_some_and(|gone_at| now.since(gone_at) < options.gone_report_period)
        {
            return Some(Unavailability::Gone);
        }
        if self.link.is_lost() {
            return Some(Unavailability::Unreachable);
        }
        let is_backing_off = self.consecutive_failures > 0 && now < self.backoff_until;
        let unavailability = match self.unreachable {
            true => Unavailability::Unreachable,
            false => Unavailability::Failing,
        };
        is_backing_off.then_some(unavailability)
    }
}
