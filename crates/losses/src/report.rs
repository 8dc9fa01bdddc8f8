//! Sums of what became of all requests.

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

/// What a report is made of.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options { window_ms: 2_000 }
    }
}

/// Prompt tokens from which on a prompt that is read beside a stream counts as
/// what made one of its pauses long: shorter ones are read within one event.
const LONG_PROMPT: u64 = 2_000;

/// How many requests came to which end.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Counts {
    /// All of them.
    pub asked: u64,
    /// By cause; those that are left out are zero.
    pub causes: BTreeMap<Cause, u64>,
}

impl Counts {
    /// Counts one request.
    pub fn add(&mut self, cause: Cause) {
        self.asked += 1;
        *self.causes.entry(cause).or_default() += 1;
    }

    /// How many came to this end.
    pub fn count(&self, cause: Cause) -> u64 {
        self.causes.get(&cause).copied().unwrap_or(0)
    }
}

/// The requests of one route.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Route {
    /// Its name; empty for requests of which no line tells a route.
    pub name: String,
    /// What became of them.
    #[serde(flatten)]
    pub counts: Counts,
}

/// The requests that came within a window of time.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Window {
    /// Its begin, in milliseconds since the first line of all.
    pub from_ms: u64,
    /// What became of them.
    #[serde(flatten)]
    pub counts: Counts,
}

/// The streams and calls that one endpoint served.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// What became of the requests that were last sent there.
    #[serde(flatten)]
    pub counts: Counts,
    /// The median time from sending to the first event or answer, in
    /// milliseconds.
    pub first_ms: u64,
    /// The mean time between two events, in milliseconds; 0 without streams.
    pub event_ms: u64,
}

/// Something that happened to a node.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Mark {
    /// When, in milliseconds since the first line of all.
    pub at_ms: u64,
    /// On which host, or the number of its file where no line tells.
    pub host: String,
    /// What.
    pub what: String,
}

/// All sums.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Hosts that tell their name in the logs.
    pub hosts: Vec<String>,
    /// Files without any line that could be read.
    pub empty_files: u64,
    /// Lines that could not be read.
    pub unreadable: u64,
    /// Lines that nodes left out to bound the volume; what they told is missing.
    pub left_out: u64,
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
    /// All requests.
    pub all: Counts,
    /// By route.
    pub routes: Vec<Route>,
    /// By time of arrival.
    pub windows: Vec<Window>,
    /// By endpoint.
    pub endpoints: Vec<Endpoint>,
    /// Late pauses in whose stream's time a long prompt was sent to its endpoint.
    pub pauses_beside_prompts: u64,
    /// What happened to nodes.
    pub marks: Vec<Mark>,
}

/// Sums up the logs of any number of nodes.
pub fn report(files: Vec<File>, options: &Options) -> Report {
    let mut report = Report {
        window_ms: options.window_ms.max(1),
        unreadable: files.iter().map(|file| file.unreadable).sum(),
        empty_files: files.iter().filter(|file| file.lines.is_empty()).count() as u64,
        ..Report::default()
    };
    let mut logs: Vec<Vec<Line>> = files.into_iter().map(|file| file.lines).collect();
    align(&mut logs);
    let first_ms = logs.iter().flatten().map(|line| line.time_ms).min();
    let first_ms = first_ms.unwrap_or(0);
    let requests: Vec<Request> = logs
        .iter()
        .flat_map(|lines| request::collect(lines))
        .collect();
    for (number, lines) in logs.iter().enumerate() {
        note_marks(&mut report, lines, number, first_ms);
    }
    report.marks.sort_by_key(|mark| mark.at_ms);
    count_requests(&mut report, &requests, first_ms);
    report.endpoints = to_endpoints(&requests);
    report.pauses_beside_prompts = count_beside_prompts(&requests);
    report
}

/// Puts the times of all logs on the first one's clock.
fn align(logs: &mut [Vec<Line>]) {
    let offsets = clock::offsets(logs);
    for (lines, offset) in logs.iter_mut().zip(offsets) {
        for line in lines {
            line.time_ms = line.time_ms.saturating_add_signed(offset);
        }
    }
}

fn note_marks(report: &mut Report, lines: &[Line], number: usize, first_ms: u64) {
    let mut host = format!("file {}", number + 1);
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
                report.left_out += lines;
                continue;
            }
            _ => continue,
        };
        report.marks.push(Mark {
            at_ms: line.time_ms - first_ms,
            host: host.clone(),
            what,
        });
    }
}

fn count_requests(report: &mut Report, requests: &[Request], first_ms: u64) {
    let mut routes: BTreeMap<&str, Counts> = BTreeMap::new();
    let mut windows: BTreeMap<u64, Counts> = BTreeMap::new();
    for request in requests {
        let cause = request.cause();
        let window = (request.at_ms - first_ms) / report.window_ms;
        report.all.add(cause);
        routes.entry(&request.route).or_default().add(cause);
        windows.entry(window).or_default().add(cause);
    }
    let routes = routes.into_iter().map(|(name, counts)| Route {
        name: name.to_owned(),
        counts,
    });
    report.routes = routes.collect();
    let window_ms = report.window_ms;
    let windows = windows.into_iter().map(|(number, counts)| Window {
        from_ms: number * window_ms,
        counts,
    });
    report.windows = windows.collect();
}

fn to_endpoints(requests: &[Request]) -> Vec<Endpoint> {
    let mut sent: BTreeMap<&str, Vec<&Request>> = BTreeMap::new();
    for request in requests {
        if let Some(last) = &request.sent {
            sent.entry(&last.endpoint).or_default().push(request);
        }
    }
    let endpoints = sent
        .into_iter()
        .map(|(name, requests)| to_endpoint(name, &requests));
    endpoints.collect()
}

fn to_endpoint(name: &str, requests: &[&Request]) -> Endpoint {
    let mut endpoint = Endpoint {
        name: name.to_owned(),
        ..Endpoint::default()
    };
    let mut firsts = Vec::new();
    let (mut writing_ms, mut pauses) = (0, 0);
    for request in requests {
        endpoint.counts.add(request.cause());
        let (Some(sent), Some(answered)) = (&request.sent, &request.answered) else {
            continue;
        };
        if !answered.code.is_empty() {
            continue;
        }
        let first_ms = match answered.events {
            0 => answered.after_ms,
            _ => answered.first_ms,
        };
        firsts.push(first_ms.saturating_sub(sent.waited_ms));
        if answered.events > 1 {
            writing_ms += answered.after_ms.saturating_sub(answered.first_ms);
            pauses += u64::from(answered.events - 1);
        }
    }
    firsts.sort_unstable();
    endpoint.first_ms = firsts.get(firsts.len() / 2).copied().unwrap_or(0);
    endpoint.event_ms = writing_ms.checked_div(pauses).unwrap_or(0);
    endpoint
}

/// Late pauses of streams to whose endpoint a long prompt went meanwhile.
fn count_beside_prompts(requests: &[Request]) -> u64 {
    let mut long: HashMap<&str, BTreeSet<u64>> = HashMap::new();
    for sent in requests.iter().filter_map(|one| one.sent.as_ref()) {
        if sent.uncached >= LONG_PROMPT {
            long.entry(&sent.endpoint).or_default().insert(sent.at_ms);
        }
    }
    let late = requests
        .iter()
        .filter(|request| request.cause() == Cause::LatePause);
    let beside = late.filter(|request| {
        let (Some(sent), Some(answered)) = (&request.sent, &request.answered) else {
            return false;
        };
        let ended_ms = request.at_ms + answered.after_ms;
        let prompts = long.get(sent.endpoint.as_str());
        prompts.is_some_and(|at| at.range(sent.at_ms + 1..=ended_ms).next().is_some())
    });
    beside.count() as u64
}
