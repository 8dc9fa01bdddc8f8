//! Binds a request's stream to the version of the software that writes it.

use woadstage_dispatch::job;

use super::exchange::Exchange;
use super::record;
use crate::headers::text;

impl Exchange {
    /// Logs and counts what came of finding out which software began the stream that the request
    /// takes up, if it takes one up and this is known now.
    pub(super) fn record_take_up(&self) {
        let take_up = self.job.and_then(|job| {
            self.shell
                .command(|dispatcher, _| dispatcher.take_up_opt(job))
        });
        let Some(take_up) = take_up else {
            return;
        };
        let names = &self.shell.headers;
        let field = |name| text(&self.head.headers, name).unwrap_or_default();
        record::take_up(
            &self.shell,
            &self.admitted,
            field(&names.resumes),
            field(&names.last_event),
            &take_up,
        );
    }

    /// Returns the version of the software that answers, or an empty string if it is not known.
    pub fn software_name(&self) -> &str {
        let stated = self.stated_software.as_ref();
        let stated = stated.filter(|_| self.forwarded_to.is_some());
        match (stated, &self.endpoint) {
            (Some(stated), _) => stated.as_str(),
            (None, Some(endpoint)) => record::software_name(endpoint),
            (None, None) => "",
        }
    }

    /// Binds a forwarded request to the software that answers it, which the node that forwarded it is
    /// told.
    pub fn bind_forwarded(&self) {
        if let Some(job) = self.resumable_job_opt() {
            self.shell
                .command(|dispatcher, _| dispatcher.bind_forwarded(job));
        }
    }

    /// Binds the request's stream to the software that writes it, as its first event is passed on.
    /// Only the node that serves the caller knows whether an event was, and so records it.
    pub fn bind(&self) {
        if let Some(job) = self.resumable_job_opt().filter(|_| self.hop.is_none()) {
            let stated = self.stated_software.as_ref();
            self.shell
                .command(|dispatcher, now| dispatcher.bind(now, job, stated));
        }
    }

    fn resumable_job_opt(&self) -> Option<job::Id> {
        self.job.filter(|_| self.admitted.route.resumable)
    }
}
