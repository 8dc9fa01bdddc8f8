//! `woadstage serve`: runs a node until SIGTERM or SIGINT.

use std::io::Write;
use std::path::Path;

use spdlog::error;
use spdlog::info;
use spdlog::warn;
use woadstage_config::settings;
use woadstage_startup::failure::Failure;
use woadstage_startup::retry;
use woadstage_startup::retry::Waiting;
use woadstage_startup::retry::retry;
use woadstage_startup::settings_file;
use woadstage_startup::stop::StopSignals;

use super::Refused;
use crate::listen;
use crate::peers::tls;
use crate::running;
use crate::running::Started;
use crate::running::Stop;

/// Runs a node, and logs why it ends.
///
/// # Errors
/// Returns a failure, or [`Refused`] if requests in progress were aborted, either of which was logged.
pub async fn run(path: &Path, out: &mut impl Write) -> anyhow::Result<()> {
    let result = read_and_serve(path, out).await;
    log_end(&result);
    match result {
        Ok(Stop::Complete) => Ok(()),
        Ok(Stop::Aborted) => Err(Refused.into()),
        Err(failure) => Err(failure.into()),
    }
}

fn log_end(result: &Result<Stop, Failure>) {
    match result {
        Ok(Stop::Complete) => {
            info!("serve: Node ended.", kv: { status = 0, cause = "told to stop" });
        }
        Ok(Stop::Aborted) => {
            let cause = "told to stop; aborted the requests in progress";
            warn!("serve: Node ended.", kv: { status = 1, cause });
        }
        Err(Failure { code, detail }) => {
            let cause = detail.replace('\n', "; ");
            error!("serve: Node ended.", kv: { status = 1, code:, cause: });
        }
    }
}

async fn read_and_serve(path: &Path, out: &mut impl Write) -> Result<Stop, Failure> {
    let mut signals = retry(
        &retry::Options::default(),
        StopSignals::try_new,
        log_waiting,
    )
    .await?;
    let started = tokio::select! {
        started = start(path, out) => started?,
        () = signals.wait() => return Ok(Stop::Complete),
    };
    serve(started, signals).await
}

fn log_waiting(waiting: &Waiting) {
    let Failure { code, detail } = &waiting.cause;
    let cause = detail.replace('\n', "; ");
    let waited_ms = waiting.waited.as_millis() as u64;
    warn!("serve: Waiting.", kv: { code:, cause:, waited_ms });
}

async fn start(path: &Path, out: &mut impl Write) -> Result<Started, Failure> {
    let read = settings_file::read(path, settings::parse, log_waiting).await;
    let settings_file::Read { settings, .. } = read.inspect_err(|failure| {
        // If nobody reads it, the log still holds it.
        let _ = writeln!(out, "{failure}");
    })?;
    let tls = tls::Config::new(&settings.identity)?;
    let open = || listen::open(&settings);
    let sockets = retry(&retry::Options::default(), open, log_waiting).await?;
    Ok(Started {
        settings,
        sockets,
        tls,
    })
}

async fn serve(started: Started, mut signals: StopSignals) -> Result<Stop, Failure> {
    let within = started.settings.stop_within;
    let mut running = running::spawn(started)?;
    let failure = tokio::select! {
        failure = running.wait_for_failure() => Some(failure),
        () = signals.wait() => None,
    };
    match &failure {
        Some(Failure { code, detail }) => {
            error!("serve: Stopping, since a task ended.", kv: { code:, cause = detail.as_str() });
        }
        None => info!("serve: Planned stop started."),
    }
    let stop = running.stop(&mut signals, within).await?;
    failure.map_or(Ok(stop), Err)
}
