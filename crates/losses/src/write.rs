//! A report as tables on a terminal.

use std::io;
use std::io::Write;

use crate::report::Counts;
use crate::report::Report;
use crate::request::Cause;

/// Losses that are named in a row, largest first.
const NAMED: usize = 4;

/// Writes a report as tables.
///
/// # Errors
/// Where `out` cannot be written to.
pub fn write(report: &Report, out: &mut impl Write) -> io::Result<()> {
    write_source(report, out)?;
    writeln!(out, "\nall: {}", row(&report.all))?;
    writeln!(out, "\nroute")?;
    for route in &report.routes {
        let name = match route.name.as_str() {
            "" => "(none)",
            name => name,
        };
        writeln!(out, "{name:<24} {}", row(&route.counts))?;
    }
    writeln!(out, "\nfrom second")?;
    for window in &report.windows {
        let from = window.from_ms as f64 / 1_000.0;
        writeln!(out, "{from:<8} {}", row(&window.counts))?;
    }
    writeln!(out, "\nendpoint, ms to the first event, ms between events")?;
    for endpoint in &report.endpoints {
        let (first, event) = (endpoint.first_ms, endpoint.event_ms);
        let counts = row(&endpoint.counts);
        writeln!(out, "{:<24} {first:>6} {event:>5} {counts}", endpoint.name)?;
    }
    let late = report.all.count(Cause::LatePause);
    let beside = report.pauses_beside_prompts;
    writeln!(
        out,
        "\n{beside} of {late} late pauses: a long prompt was sent to that endpoint meanwhile"
    )?;
    writeln!(out, "\nat second")?;
    for mark in &report.marks {
        let at = mark.at_ms as f64 / 1_000.0;
        writeln!(out, "{at:<8.3} {}: {}", mark.host, mark.what)?;
    }
    Ok(())
}

/// Writes a report as one line of JSON.
///
/// # Errors
/// Where `out` cannot be written to.
pub fn write_json(report: &Report, out: &mut impl Write) -> io::Result<()> {
    let json = serde_json::to_string(report)?;
    writeln!(out, "{json}")
}

/// What the logs hold and what they lack.
fn write_source(report: &Report, out: &mut impl Write) -> io::Result<()> {
    let hosts = report.hosts.join(", ");
    writeln!(out, "hosts: {hosts}")?;
    if report.unreadable + report.left_out + report.empty_files > 0 {
        writeln!(
            out,
            "missing: {} lines unreadable, {} left out by nodes, {} files empty",
            report.unreadable, report.left_out, report.empty_files
        )?;
    }
    Ok(())
}

/// How many were asked and served in time, and the largest losses.
fn row(counts: &Counts) -> String {
    let in_time = counts.count(Cause::InTime);
    let mut losses: Vec<(Cause, u64)> = Cause::ALL
        .into_iter()
        .filter(|cause| *cause != Cause::InTime)
        .map(|cause| (cause, counts.count(cause)))
        .filter(|(_, count)| *count > 0)
        .collect();
    losses.sort_by_key(|(cause, count)| (std::cmp::Reverse(*count), *cause));
    losses.truncate(NAMED);
    let losses: Vec<String> = losses
        .iter()
        .map(|(cause, count)| format!("{} {count}", cause.as_str()))
        .collect();
    format!(
        "{:>6} asked {in_time:>6} in time  {}",
        counts.asked,
        losses.join(", ")
    )
}
