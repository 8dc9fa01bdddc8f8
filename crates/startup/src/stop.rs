//! The signals that tell a process to stop. Their default is to end it, so that they are taken
//! before anything else.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::failure::Failure;

/// SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Takes the signals.
    ///
    /// # Errors
    /// Fails if the host refuses a handler.
    pub fn try_new() -> Result<StopSignals, Failure> {
        let take = |kind| signal(kind).map_err(|error| Failure::refused("signals", &error));
        Ok(StopSignals {
            terminate: take(SignalKind::terminate())?,
            interrupt: take(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of them.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
