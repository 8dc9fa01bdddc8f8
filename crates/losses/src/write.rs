//! Output of a report as tables or JSON.

use std::io;
use std::io::Write;

use crate::report::Admissions;
use crate::report::Counts;
use crate::report::Report;
use crate::request::Cause;

/// The maximum number of causes in a table row.
const MAX_CAUSES_PER_ROW: usize = 4;

/// Writes a report as tables.
///
/// # Errors
/// Returns an error if writing to `out` fails.
pub fn write_tables(report: &Report, out: &mut impl Write) -> io::Result<()> {
    write_sources(report, out)?;
    writeln!(out, "\nall: {}", format_row(&report.all))?;
    writeln!(out, "\nroute")?;
    for route in &report.routes {
        let name = match route.name.as_str() {
            "" => "(none)",
            name => name,
        };
        let admissions = format_admissions(route.admissions);
        writeln!(out, "{name:<24} {}{admissions}", format_row(&route.counts))?;
    }
    writeln!(out, "\nfrom second")?;
    for window in &report.windows {
        let from = window.from_ms as f64 / 1_000.0;
        writeln!(out, "{from:<8} {}", format_row(&window.counts))?;
    }
    writeln!(out, "\nendpoint, ms to the first event, ms between events")?;
    for endpoint in &report.endpoints {
        let (first, event) = (
            endpoint.median_first_event_ms,
            endpoint.mean_event_interval_ms,
        );
        let counts = format_row(&endpoint.counts);
        writeln!(out, "{:<24} {first:>6} {event:>5} {counts}", endpoint.name)?;
    }
    let late = report.all.count(Cause::LatePause);
    let during_prompt = report.pauses_during_prompts;
    writeln!(
        out,
        "\n{during_prompt} of {late} late pauses: a long prompt was sent to that endpoint meanwhile"
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
/// Returns an error if writing to `out` fails.
pub fn write_json(report: &Report, out: &mut impl Write) -> io::Result<()> {
    let json = serde_json::to_string(report)?;
    writeln!(out, "{json}")
}

/// Writes the hosts that the logs name and the numbers of missing lines and empty files.
fn write_sources(report: &Report, out: &mut impl Write) -> io::Result<()> {
    let hosts = report.hosts.join(", ");
    writeln!(out, "hosts: {hosts}")?;
    if report.unreadable_lines + report.dropped_lines + report.empty_files > 0 {
        writeln!(
            out,
            "missing: {} lines unreadable, {} left out by nodes, {} files empty",
            report.unreadable_lines, report.dropped_lines, report.empty_files
        )?;
    }
    Ok(())
}

/// Formats what shared admission did; empty if it did nothing.
fn format_admissions(admissions: Admissions) -> String {
    if admissions == Admissions::default() {
        return String::new();
    }
    let Admissions {
        redirected,
        booked,
        bookings,
    } = admissions;
    format!("; {redirected} redirected, {booked} booked, {bookings} bookings made")
}

/// Formats the number of requests, those served in time and the most frequent
/// causes of loss.
fn format_row(counts: &Counts) -> String {
    let in_time = counts.count(Cause::InTime);
    let mut losses: Vec<(Cause, u64)> = Cause::ALL
        .into_iter()
        .filter(|cause| *cause != Cause::InTime)
        .map(|cause| (cause, counts.count(cause)))
        .filter(|(_, count)| *count > 0)
        .collect();
    losses.sort_by_key(|(cause, count)| (std::cmp::Reverse(*count), *cause));
    losses.truncate(MAX_CAUSES_PER_ROW);
    let losses: Vec<String> = losses
        .iter()
        .map(|(cause, count)| format!("{} {count}", cause.as_str()))
        .collect();
    format!(
        "{:>6} asked {in_time:>6} in time  {}",
        counts.total,
        losses.join(", ")
    )
}
