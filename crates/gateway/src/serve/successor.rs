//! Attempts that replace others whose links are lost. An endpoint that is silent may still answer, so
//! that its call goes on until another attempt has a place to begin.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use woadstage_dispatch::dispatcher;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;

use crate::shell::Shell;

/// How long a call on a lost link goes on before another attempt is tried again, after none could begin.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// An attempt that may replace another one. Dropping it cancels it.
pub(super) struct Successor {
    shell: Rc<Shell>,
    submitted: Option<dispatcher::Successor>,
}

impl Drop for Successor {
    fn drop(&mut self) {
        if let Some(submitted) = &self.submitted {
            self.shell.cancel_successor(submitted);
        }
    }
}

impl Successor {
    /// Ends the attempt that this one replaces, the call of which must be closed already. Returns the
    /// id of the request from now on.
    pub(super) fn supersede(mut self, replaced: job::Id) -> Option<job::Id> {
        let submitted = self.submitted.take()?;
        self.shell
            .command(|dispatcher, now| dispatcher.give_up(now, replaced));
        Some(submitted.job)
    }

    /// Whether this attempt can begin, and that which it replaces still lacks its link.
    fn may_begin(&self, decision: &Decision, endpoint: &Endpoint) -> bool {
        let is_lost = self
            .shell
            .query(|dispatcher, _| dispatcher.is_link_lost(endpoint));
        is_lost
            && match decision {
                Decision::Start { job, .. } => self.shell.may_send(*job),
                Decision::Forward { .. } => true,
                Decision::Refuse { .. } => false,
            }
    }
}

/// A successor that has a place to begin.
pub(super) struct Placed {
    /// The successor.
    pub successor: Successor,
    /// The place.
    pub decision: Decision,
}

/// Waits until the link of a request in progress is lost and another attempt can begin.
pub(super) async fn wait(shell: &Rc<Shell>, endpoint: &Endpoint, job: job::Id) -> Placed {
    loop {
        shell.wait_for_link(endpoint, true).await;
        tokio::select! {
            biased;
            () = shell.wait_for_link(endpoint, false) => {}
            placed = try_place(shell, endpoint, job) => match placed {
                Some(placed) => return placed,
                None => tokio::time::sleep(RETRY_INTERVAL).await,
            },
        }
    }
}

async fn try_place(shell: &Rc<Shell>, endpoint: &Endpoint, job: job::Id) -> Option<Placed> {
    let (successor, decision) = submit(shell, job)?;
    let decision = decision.await.ok()?;
    successor.may_begin(&decision, endpoint).then_some(Placed {
        successor,
        decision,
    })
}

fn submit(shell: &Rc<Shell>, job: job::Id) -> Option<(Successor, oneshot::Receiver<Decision>)> {
    let (submitted, decision) = shell.submit_successor(job)?;
    let successor = Successor {
        shell: shell.clone(),
        submitted: Some(submitted),
    };
    Some((successor, decision))
}
