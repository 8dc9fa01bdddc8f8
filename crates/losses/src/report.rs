//! Aggregates requests by cause, route, time window and endpoint.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Serialize;

use crate::clock;
use crate::line::Event;
use crate::line::File;
use crate::line::Line;
use crate::request;
use crate::request::Cause;
use crate::request::Request;

/// Settings of a report.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Length of a time window, in milliseconds.
    pub window_ms: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options { window_ms: 2_000 }
    }
}

/// The minimum number of uncached prompt tokens for a prompt to count as a
/// possible cause of a long pause in another stream of its endpoint. Shorter
/// prompts are processed within one event.
const LONG_PROMPT_TOKENS: u64 = 2_000;

/// Number of requests, in total and by cause.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Total number of requests.
    #[serde(rename = "asked")]
    pub total: u64,
    /// Number of requests by cause; absent causes are zero.
    pub causes: BTreeMap<Cause, u64>,
}

impl Counts {
    /// Counts one request.
    pub fn add(&mut self, cause: Cause) {
        self.total += 1;
        *self.causes.entry(cause).or_default() += 1;
    }

    /// Returns the number of requests with this cause.
    pub fn count(&self, cause: Cause) -> u64 {
        self.causes.get(&cause).copied().unwrap_or(0)
    }
}

/// Number of answered requests by what shared admission did to them, as far as the nodes that held
/// them knew.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Admissions {
    /// Requests that an owner redirected to another.
    pub redirected: u64,
    /// Requests whose callers had claimed a booking.
    pub booked: u64,
    /// Refusals with a place booked for the caller.
    pub bookings: u64,
}

/// Counts of one route.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route; empty for requests without a known route.
    pub name: String,
    /// Counts by cause.
    #[serde(flatten)]
    pub counts: Counts,
    /// Counts by what shared admission did.
    #[serde(flatten)]
    pub admissions: Admissions,
}

/// Counts of the requests that arrived within one time window.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Window {
    /// Start of the window, in milliseconds since the first line of all logs.
    pub from_ms: u64,
    /// Counts by cause.
    #[serde(flatten)]
    pub counts: Counts,
}

/// Counts and latencies of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Counts of the requests whose last attempt went to this endpoint.
    #[serde(flatten)]
    pub counts: Counts,
    /// The median time from sending to the first event or answer, in
    /// milliseconds.
    #[serde(rename = "first_ms")]
    pub median_first_event_ms: u64,
    /// The mean time between two events, in milliseconds; 0 without streams.
    #[serde(rename = "event_ms")]
    pub mean_event_interval_ms: u64,
}

/// A start of a node, or a loss or recovery of its connection to the platform.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Mark {
    /// Time of the event, in milliseconds since the first line of all logs.
    pub at_ms: u64,
    /// Name of the host, or the number of the file if no earlier line names the
    /// host.
    pub host: String,
    /// Description of the event.
    pub what: String,
}

/// The aggregated losses of all logs.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Hosts that the logs name.
    pub hosts: Vec<String>,
    /// Number of files without a line that could be parsed.
    pub empty_files: u64,
    /// Number of lines that could not be parsed.
    #[serde(rename = "unreadable")]
    pub unreadable_lines: u64,
    /// Number of lines that nodes dropped to limit the log volume; the report
    /// lacks their events.
    #[serde(rename = "left_out")]
    pub dropped_lines: u64,
    /// Length of a time window, in milliseconds.
    pub window_ms: u64,
    /// Counts of all requests.
    pub all: Counts,
    /// Counts by route.
    pub routes: Vec<Route>,
    /// Counts by time of arrival.
    pub windows: Vec<Window>,
    /// Counts and latencies by endpoint.
    pub endpoints: Vec<Endpoint>,
    /// Number of streams with a late pause whose endpoint was sent a long prompt
    /// during the stream.
    #[serde(rename = "pauses_beside_prompts")]
    pub pauses_during_prompts: u64,
    /// Starts of nodes and changes of their connections to the platform.
    pub marks: Vec<Mark>,
}

/// Builds a report from the logs of any number of nodes.
pub fn build(files: Vec<File>, options: &Options) -> Report {
    let mut report = Report {
        window_ms: options.window_ms.max(1),
        unreadable_lines: files.iter().map(|file| file.unreadable).sum(),
        empty_files: files.iter().filter(|file| file.lines.is_empty()).count() as u64,
        ..Report::default()
    };
    let mut logs: Vec<Vec<Line>> = files.into_iter().map(|file| file.lines).collect();
    align(&mut logs);
    let start_ms = logs.iter().flatten().map(|line| line.time_ms).min();
    let start_ms = start_ms.unwrap_or(0);
    let requests: Vec<Request> = logs
        .iter()
        .flat_map(|lines| request::collect(lines))
        .collect();
    for (file_index, lines) in logs.iter().enumerate() {
        record_marks(&mut report, lines, file_index, start_ms);
    }
    report.marks.sort_by_key(|mark| mark.at_ms);
    count_requests(&mut report, &requests, start_ms);
    report.endpoints = summarise_endpoints(&requests);
    report.pauses_during_prompts = count_pauses_during_prompts(&requests);
    report
}

/// Converts the times of all logs to the clock of the first.
fn align(logs: &mut [Vec<Line>]) {
    let offsets = clock::offsets(logs);
    for (lines, offset) in logs.iter_mut().zip(offsets) {
        for line in lines {
            line.time_ms = line.time_ms.saturating_add_signed(offset);
        }
    }
}

fn record_marks(report: &mut Report, lines: &[Line], file_index: usize, start_ms: u64) {
    let mut host = format!("file {}", file_index + 1);
    for line in lines {
        let what = match &line.event {
            Event::Started { host: name } => {
                host.clone_from(name);
                if !report.hosts.contains(name) {
                    report.hosts.push(name.clone());
                }
                "started".to_owned()
            }
            Event::Dependency { name, reached } if name == "platform" => match reached {
                true => "platform regained".to_owned(),
                false => "platform lost".to_owned(),
            },
            Event::LeftOut { lines } => {
                report.dropped_lines += lines;
                continue;
            }
            _ => continue,
        };
        report.marks.push(Mark {
            at_ms: line.time_ms - start_ms,
            host: host.clone(),
            what,
        });
    }
}

fn count_requests(report: &mut Report, requests: &[Request], start_ms: u64) {
    let mut routes: BTreeMap<&str, Route> = BTreeMap::new();
    let mut windows: BTreeMap<u64, Counts> = BTreeMap::new();
    for request in requests {
        let cause = request.cause();
        let window = (request.arrived_at_ms - start_ms) / report.window_ms;
        report.all.add(cause);
        let route = routes.entry(&request.route).or_default();
        route.counts.add(cause);
        if let Some(answered) = &request.answered {
            route.admissions.redirected += u64::from(answered.redirected);
            route.admissions.booked += u64::from(answered.booked);
            route.admissions.bookings += u64::from(answered.has_booking);
        }
        windows.entry(window).or_default().add(cause);
    }
    let routes = routes.into_iter().map(|(name, route)| Route {
        name: name.to_owned(),
        ..route
    });
    report.routes = routes.collect();
    let window_ms = report.window_ms;
    let windows = windows.into_iter().map(|(number, counts)| Window {
        from_ms: number * window_ms,
        counts,
    });
    report.windows = windows.collect();
}

fn summarise_endpoints(requests: &[Request]) -> Vec<Endpoint> {
    let mut sent: BTreeMap<&str, Vec<&Request>> = BTreeMap::new();
    for request in requests {
        if let Some(last) = &request.sent {
            sent.entry(&last.endpoint).or_default().push(request);
        }
    }
    let endpoints = sent
        .into_iter()
        .map(|(name, requests)| summarise_endpoint(name, &requests));
    endpoints.collect()
}

fn summarise_endpoint(name: &str, requests: &[&Request]) -> Endpoint {
    let mut endpoint = Endpoint {
        name: name.to_owned(),
        ..Endpoint::default()
    };
    let mut first_event_times = Vec::new();
    let (mut streaming_ms, mut pauses) = (0, 0);
    for request in requests {
        endpoint.counts.add(request.cause());
        let (Some(sent), Some(answered)) = (&request.sent, &request.answered) else {
            continue;
        };
        if !answered.code.is_empty() {
            continue;
        }
        let first_event_ms = match answered.events {
            0 => answered.duration_ms,
            _ => answered.first_event_ms,
        };
        first_event_times.push(first_event_ms.saturating_sub(sent.waited_ms));
        if answered.events > 1 {
            streaming_ms += answered.duration_ms.saturating_sub(answered.first_event_ms);
            pauses += u64::from(answered.events - 1);
        }
    }
    first_event_times.sort_unstable();
    endpoint.median_first_event_ms = first_event_times
        .get(first_event_times.len() / 2)
        .copied()
        .unwrap_or(0);
    endpoint.mean_event_interval_ms = streaming_ms.checked_div(pauses).unwrap_or(0);
    endpoint
}

/// Counts the streams with a late pause whose endpoint was sent a long prompt
/// during the stream.
fn count_pauses_during_prompts(requests: &[Request]) -> u64 {
    let mut long_prompts: HashMap<&str, BTreeSet<u64>> = HashMap::new();
    for sent in requests.iter().filter_map(|request| request.sent.as_ref()) {
        if sent.uncached >= LONG_PROMPT_TOKENS {
            long_prompts
                .entry(&sent.endpoint)
                .or_default()
                .insert(sent.sent_at_ms);
        }
    }
    let late = requests
        .iter()
        .filter(|request| request.cause() == Cause::LatePause);
    let during_prompt = late.filter(|request| {
        let (Some(sent), Some(answered)) = (&request.sent, &request.answered) else {
            return false;
        };
        let ended_ms = request.arrived_at_ms + answered.duration_ms;
        let sent_times = long_prompts.get(sent.endpoint.as_str());
        sent_times.is_some_and(|times| times.range(sent.sent_at_ms + 1..=ended_ms).next().is_some())
    });
    during_prompt.count() as u64
}
