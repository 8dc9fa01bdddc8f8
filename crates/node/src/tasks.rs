//! The tasks without which a node can't serve. The runtime catches a panic of a task, so that the
//! process would live on without it.

use tokio::task::JoinError;
use tokio::task::JoinSet;
use woadstage_startup::failure::Failure;
use woadstage_types::code::Code;

/// Tasks that run for as long as the process does.
#[derive(Debug, Default)]
pub struct Tasks {
    ends: JoinSet<Failure>,
}

impl Tasks {
    /// Runs a task.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let task = tokio::spawn(task);
        self.ends
            .spawn(async move { to_failure(name, &task.await) });
    }

    /// Waits until one of the tasks has ended, by a panic or otherwise.
    pub async fn wait_for_failure(&mut self) -> Failure {
        match self.ends.join_next().await {
            Some(Ok(failure)) => failure,
            Some(Err(error)) => Failure::new(Code::TaskFailed, "tasks", error),
            None => std::future::pending().await,
        }
    }
}

/// Describes the end of a task that should have gone on.
pub fn to_failure(name: &str, ended: &Result<(), JoinError>) -> Failure {
    let how = match ended {
        Ok(()) => "It returned.",
        // The message of a panic may quote what a caller sent.
        Err(_) => "It panicked.",
    };
    Failure::new(Code::TaskFailed, name, how)
}
