//! `woadstage explain`: prints the decisions made for one request.

use std::io::Write;
use std::net::SocketAddr;

use woadstage_core::trace::Step;
use woadstage_types::id;

use super::fetch;
use crate::operators::RecordedStep;

/// Queries a node and prints the recorded steps of a request.
pub async fn run(
    node: SocketAddr,
    request: id::Request,
    json: bool,
    out: &mut impl Write,
) -> anyhow::Result<()> {
    let path = format!("/v1/explain/{request}");
    let steps: Vec<RecordedStep> = fetch::ask(node, &path, None, out).await?;
    if json {
        writeln!(out, "{}", serde_json::to_string(&steps)?)?;
        return Ok(());
    }
    let start = steps
        .first()
        .map(|recorded| recorded.at)
        .unwrap_or_default();
    for RecordedStep { at, step } in &steps {
        let millis = at.since(start).0 as f64 / 1_000.0;
        writeln!(out, "{millis:>10.3} ms  {}", to_sentence(step))?;
    }
    Ok(())
}

fn to_sentence(step: &Step) -> String {
    match step {
        Step::Arrived {
            class,
            revision,
            left_us,
        } => format!(
            "Arrived as {class} under revision {revision}; of use for {} ms.",
            left_us / 1_000
        ),
        Step::Forwarded { to } => format!("Passed to {to}, which its key names."),
        Step::Waits => "Waits for another request with the same key.".into(),
        Step::Asked { of, attempt } => format!("Asked {of} for an endpoint (ask {attempt})."),
        Step::Called { endpoint, attempt } => format!("Called {endpoint} (ask {attempt})."),
        Step::First => "The first token came.".into(),
        Step::Stopped { code } => format!("Stopped: {code} {}", code.text()),
        Step::Ended { code } => format!("Ended: {code} {}", code.text()),
    }
}
