//! `woadstage plan`: prints the changes that an intent would make and writes
//! the document to publish.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;

use super::fetch;
use crate::operators::Plan;

/// The options of the command.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address of the node to query.
    pub node: SocketAddr,
    /// The path of the intent.
    pub intent: PathBuf,
    /// The path of the output document; `woadstage-<revision>.toml` if not
    /// given.
    pub output: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Queries a node, prints the planned changes and writes the document.
pub async fn run(options: &Options, out: &mut impl Write) -> anyhow::Result<()> {
    let path = &options.intent;
    let intent = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    let plan: Plan = fetch::ask(options.node, "/v1/plan", Some(intent), out).await?;
    if options.json {
        writeln!(out, "{}", serde_json::to_string(&plan)?)?;
        return Ok(());
    }
    if plan.changes.is_empty() {
        writeln!(out, "nothing would change")?;
        return Ok(());
    }
    for change in &plan.changes {
        writeln!(out, "{}", change.place)?;
        if let Some(from) = &change.from {
            writeln!(out, "  - {from}")?;
        }
        if let Some(to) = &change.to {
            writeln!(out, "  + {to}")?;
        }
    }
    let default_output = PathBuf::from(format!("woadstage-{}.toml", plan.revision));
    let output = options.output.as_ref().unwrap_or(&default_output);
    std::fs::write(output, &plan.document).with_context(|| output.display().to_string())?;
    writeln!(
        out,
        "wrote {} as revision {}",
        output.display(),
        plan.revision
    )?;
    writeln!(
        out,
        "to confirm: publish it at woadstage/config with your platform's tool, with check-and-set on index {}",
        plan.base_index
    )?;
    Ok(())
}
