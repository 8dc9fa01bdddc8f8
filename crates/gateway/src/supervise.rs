//! Keeps running what has to run for as long as the process does. A task that ends, by a panic or
//! otherwise, starts again; the node would live on without its timer, a listener or news of the
//! platform.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::JoinError;
use tokio::task::spawn_local;
use tokio::time::Instant;
use woadstage_startup::failure::Failure;
use woadstage_types::code::Code;

use crate::event::Event;
use crate::shell::Phase;
use crate::shell::Shell;

/// The pause before a task starts again, which doubles up to the second value.
const PAUSE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// An essential task that ends more often than this within [`RESTART_WINDOW`] fails for good.
const MAX_RESTARTS: usize = 8;

/// The time in which ends of a task are counted.
const RESTART_WINDOW: Duration = Duration::from_secs(60);

/// Keeps the tasks of a node running.
#[derive(Clone)]
pub struct Supervisor {
    /// The state that the tasks share.
    pub shell: Rc<Shell>,
    failed: Rc<Failed>,
}

/// The first task that failed for good.
#[derive(Default)]
struct Failed {
    failure: RefCell<Option<Failure>>,
    changed: Notify,
}

impl Supervisor {
    /// Creates a supervisor of no tasks.
    pub fn new(shell: Rc<Shell>) -> Supervisor {
        Supervisor {
            shell,
            failed: Rc::default(),
        }
    }

    /// Runs the task that `start` returns, and another each time it ends, until the node has
    /// stopped. Callers are better served by a node without the task than by none.
    pub fn spawn<F>(&self, name: &'static str, start: impl Fn() -> F + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        let supervisor = self.clone();
        spawn_local(async move { supervisor.keep_running(name, start, usize::MAX).await });
    }

    /// The same for a task without which callers can't be served: it may fail for good.
    pub fn spawn_essential<F>(&self, name: &'static str, start: impl Fn() -> F + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        let supervisor = self.clone();
        spawn_local(async move { supervisor.keep_running(name, start, MAX_RESTARTS).await });
    }

    async fn keep_running<F>(self, name: &'static str, start: impl Fn() -> F, max_restarts: usize)
    where
        F: Future<Output = ()> + 'static,
    {
        let mut ends = VecDeque::new();
        loop {
            let ended = spawn_local(start()).await;
            if self.shell.phase() >= Phase::Stopped {
                return;
            }
            self.record(name, &ended);
            let now = Instant::now();
            ends.push_back(now);
            ends.retain(|at| now - *at < RESTART_WINDOW);
            if ends.len() > max_restarts {
                return self.fail(name);
            }
            let doubled = PAUSE.0.saturating_mul(1 << (ends.len() - 1).min(16));
            tokio::time::sleep(doubled.min(PAUSE.1)).await;
        }
    }

    fn record(&self, name: &'static str, ended: &Result<(), JoinError>) {
        self.shell.metrics.record_state_change("task-ended");
        self.shell.log(&Event::TaskEnded {
            task: name,
            how: match ended {
                Ok(()) => "returned",
                Err(_) => "panicked",
            },
        });
    }

    fn fail(&self, name: &str) {
        let failure = Failure::new(Code::TaskFailed, name, "It is not started again.");
        self.failed.failure.borrow_mut().get_or_insert(failure);
        self.failed.changed.notify_one();
    }

    /// Waits until an essential task has failed for good.
    pub async fn wait_for_failure(&self) -> Failure {
        loop {
            if let Some(failure) = self.failed.failure.borrow().clone() {
                return failure;
            }
            self.failed.changed.notified().await;
        }
    }
}
