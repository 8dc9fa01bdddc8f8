//! The whole path in one command: stand-ins and three nodes as processes, a
//! streamed chat request and a service call through different nodes.

use std::io::Write;
use std::path::Path;

use crate::client::Answer;
use crate::client::Caller;
use crate::fleet::Fleet;
use crate::fleet::Options;
use crate::sample;

/// Runs the demo and prints what happened.
pub async fn run(program: &Path, out: &mut impl Write) -> anyhow::Result<()> {
    let options = Options {
        program: program.into(),
        nodes: 3,
        engines: 3,
        services: 2,
        logs: false,
    };
    let fleet = Fleet::start(options).await?;
    for node in &fleet.nodes {
        writeln!(
            out,
            "{}: callers {}, operators {}",
            node.name, node.callers, node.operators
        )?;
    }
    let caller = Caller::new(sample::TOKENS[0]);
    let nodes = &fleet.nodes;
    let words = "Summarise the handover of the night shift.";
    let chat = caller
        .chat(&nodes[0].callers, "handover-summary", words, 12, true)
        .await?;
    show(out, "a streamed chat request through entry-0", &chat)?;
    let ticket = caller.ticket(&nodes[1].callers).await?;
    writeln!(out, "\na ticket from entry-1: {ticket}")?;
    let what = "volunteer 17 takes the Saturday shift";
    let class = "shift-confirmation";
    let first = caller
        .confirm(&nodes[2].callers, class, &ticket, what)
        .await?;
    show(out, "a shift confirmation through entry-2", &first)?;
    let again = caller
        .confirm(&nodes[0].callers, class, &ticket, what)
        .await?;
    show(out, "the same again through entry-0", &again)?;
    writeln!(
        out,
        "\nthe service ran it {} time(s)",
        fleet.roster_runs(what)
    )?;
    let uri = format!("http://{}/v1/explain/{}", nodes[0].operators, chat.request);
    let explained = caller.send("GET", &uri, &[], "").await?;
    writeln!(
        out,
        "\nwhat was decided for the chat request: {}",
        explained.body
    )?;
    writeln!(
        out,
        "\nwhere to look: docs/OPERATORS.md, docs/DESIGN.md, docs/PROMISES.md"
    )?;
    Ok(())
}

fn show(out: &mut impl Write, what: &str, answer: &Answer) -> anyhow::Result<()> {
    writeln!(
        out,
        "\n{what}: HTTP {}, {}, {}",
        answer.status, answer.code, answer.outcome
    )?;
    for line in answer.body.lines().filter(|line| !line.is_empty()) {
        writeln!(out, "  {line}")?;
    }
    Ok(())
}
