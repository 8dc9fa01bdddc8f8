//! The decisions of this node, and who waits for them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::sync::watch;
use woadstage_clock::Elapsed;
use woadstage_dispatch::dispatcher::Decision;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Next;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::notice;
use woadstage_types::unit::Size;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::active_configuration::ActiveConfiguration;
use crate::clock::Clock;
use crate::event::Event;
use crate::headers::Headers;
use crate::log::Log;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::reservations::Reservations;
use crate::peers::transfer;
use crate::upstream::Upstream;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Callers are served.
    Serving,
    /// The platform is told; callers are served, and asked to go elsewhere.
    Leaving,
    /// Connections close as their answers end. New ones get one answer each.
    Closing,
    /// Nobody is listened to any more; the process ends once what it holds is
    /// over.
    Stopped,
}

/// What all tasks of one process share. One thread, so no locks.
pub struct Shell {
    /// The time.
    pub clock: Clock,
    /// Header names.
    pub headers: Headers,
    /// Log lines.
    pub log: Log,
    /// What is counted.
    pub metrics: Metrics,
    /// Connections to endpoints.
    pub upstream: Upstream,
    /// Kibibytes of request bodies that may still be held.
    pub body_budget: Arc<Semaphore>,
    /// Connections from callers that are open.
    pub connections: Cell<usize>,
    /// Those that came after the node had begun to close.
    pub late_connections: Cell<usize>,
    /// Messages to other nodes.
    pub peers: peers::Sender,
    /// Questions to the owners of quotas.
    pub reservations: Reservations,
    /// Transfers of documents from and to other nodes.
    pub transfers: transfer::Counts,
    /// The configuration in force, and how it came.
    pub active_configuration: Cell<Option<ActiveConfiguration>>,
    /// When the platform last answered this node.
    pub platform_answered_at: Cell<Option<Time>>,
    /// For how long the host was suspended, as far as that was noticed.
    suspended: watch::Sender<Span>,
    phase: watch::Sender<Phase>,
    /// When every answer must be out, once the node closes.
    ends_at: Cell<Option<Time>>,
    dispatcher: RefCell<Dispatcher>,
    waiters: RefCell<HashMap<job::Id, oneshot::Sender<Decision>>>,
}

/// Suspensions that are noticed: shorter ones delay a timer no more than a busy host
/// does.
const SUSPENDED_LEAST: Span = Span::from_millis(50);

/// The part of the memory that request bodies may fill.
const BODIES_PART: u64 = 4;

impl Shell {
    /// Puts the parts of one process together.
    pub fn new(
        dispatcher: Dispatcher,
        headers: Headers,
        clock: Clock,
        memory: Size,
        log: Log,
        metrics: Metrics,
    ) -> Rc<Shell> {
        Rc::new(Shell {
            suspended: watch::Sender::new(clock.suspended()),
            clock,
            headers,
            log,
            metrics,
            upstream: Upstream::default(),
            body_budget: Arc::new(Semaphore::new(((memory.0 / BODIES_PART) >> 10) as usize)),
            connections: Cell::new(0),
            late_connections: Cell::new(0),
            peers: peers::Sender::default(),
            reservations: Reservations::default(),
            transfers: transfer::Counts::default(),
            active_configuration: Cell::default(),
            platform_answered_at: Cell::default(),
            phase: watch::Sender::new(Phase::Serving),
            ends_at: Cell::new(None),
            dispatcher: RefCell::new(dispatcher),
            waiters: RefCell::default(),
        })
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The time since this process started.
    pub fn uptime(&self) -> Span {
        self.clock.uptime()
    }

    /// Looks whether the host was suspended. Timers stood still meanwhile: all who wait
    /// for a time look at it anew.
    pub fn check_suspension(&self) {
        let suspended = self.clock.suspended();
        self.suspended.send_if_modified(|noticed| {
            let more = suspended.0.saturating_sub(noticed.0) >= SUSPENDED_LEAST.0;
            if more {
                *noticed = suspended;
            }
            more
        });
    }

    /// Waits for a future until a time.
    ///
    /// # Errors
    /// [`Elapsed`] where the time comes first.
    pub async fn timeout_at<F: Future>(&self, time: Time, future: F) -> Result<F::Output, Elapsed> {
        let mut suspended = self.suspended.subscribe();
        let mut future = pin!(future);
        loop {
            tokio::select! {
                biased;
                output = future.as_mut() => return Ok(output),
                // Fails only without a sender, which this shell holds.
                _ = suspended.changed() => {}
                () = tokio::time::sleep_until(self.clock.to_instant(time)) => return Err(Elapsed),
            }
        }
    }

    /// How far a planned stop has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until a planned stop has come so far.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut reached = self.phase.subscribe();
        // What this returns locks the phase and must not outlive this line. It
        // fails only without a sender, which this shell holds.
        let _ = reached.wait_for(|now| *now >= phase).await.is_ok();
    }

    /// Moves a planned stop on.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Begins to close: every answer is out within this time.
    pub fn start_closing(&self, within: Span) {
        self.ends_at.set(Some(self.now() + within));
        self.set_phase(Phase::Closing);
    }

    /// When every answer must be out, where the node closes.
    pub fn answer_deadline_opt(&self) -> Option<Time> {
        self.ends_at.get()
    }

    /// Asks for what is known.
    pub fn query<R>(&self, query: impl FnOnce(&Dispatcher, Time) -> R) -> R {
        query(&self.dispatcher.borrow(), self.now())
    }

    /// Gives a command, and hands what was decided to those who wait for it.
    pub fn command<R>(&self, command: impl FnOnce(&mut Dispatcher, Time) -> R) -> R {
        let answer = command(&mut self.dispatcher.borrow_mut(), self.now());
        self.deliver();
        answer
    }

    /// Puts a request in line.
    pub fn enter(&self, job: Job) -> (job::Id, oneshot::Receiver<Decision>) {
        let id = self.dispatcher.borrow_mut().enter(self.now(), job);
        let decision = self.wait(id);
        self.deliver();
        (id, decision)
    }

    /// Tells how an attempt ended. Where the request goes on, its next decision
    /// follows.
    pub fn end(&self, id: job::Id, end: End) -> (Next, Option<oneshot::Receiver<Decision>>) {
        let next = self.dispatcher.borrow_mut().end(self.now(), id, end);
        let decision = (next == Next::Again).then(|| self.wait(id));
        self.deliver();
        (next, decision)
    }

    fn wait(&self, id: job::Id) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(id, sender);
        receiver
    }

    fn deliver(&self) {
        loop {
            let decisions = self.dispatcher.borrow_mut().take_decisions();
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                self.hand_over(decision);
            }
        }
        let changes = self.dispatcher.borrow_mut().take_changes();
        for change in changes {
            self.metrics.suspect(change.what);
            self.log(&Event::Suspect {
                fingerprint: &change.fingerprint.to_string(),
                what: change.what.as_str(),
                ends: change.ends,
                barred: change.barred,
            });
        }
        let updates = self.dispatcher.borrow_mut().take_updates();
        for update in updates {
            self.record_endpoint_change("", update.endpoint.as_str(), update.change);
        }
        let messages = self.dispatcher.borrow_mut().take_messages();
        for (to, message) in messages {
            self.metrics.lease(&message);
            self.peers.send(to, &message);
        }
    }

    fn hand_over(&self, decision: Decision) {
        let id = match &decision {
            Decision::Start { job, .. } | Decision::Refuse { job, .. } => *job,
        };
        let waiter = self.waiters.borrow_mut().remove(&id);
        let taken = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
        if !taken {
            self.dispatcher.borrow_mut().abandon(self.now(), id);
        }
    }

    /// Logs and counts that something else is believed of an endpoint: by its answer to a
    /// request, or without one.
    pub fn record_endpoint_change(&self, request: &str, endpoint: &str, change: notice::Change) {
        self.metrics.change(change.as_str());
        self.log(&Event::Notice {
            request,
            endpoint,
            what: change.as_str(),
            now: &change.describe_after(),
            before: &change.describe_before(),
        });
    }

    /// Logs an event.
    pub fn log(&self, event: &Event<'_>) {
        self.log.write(event);
    }
}
