//! Explains what happened to a request, from the log lines of any number of nodes.
//!
//! The clocks of hosts may disagree, so times of different nodes are not compared: lines
//! keep the order of their file, and files are ordered by the time of their first line
//! about the request.
//!
//! A caller asks for one stream with several requests if it breaks off: the first begins it, and the
//! others take it up. Each of them is explained.

use std::io;
use std::io::BufRead;
use std::io::Write;

use serde_json::Value;

/// A log line about the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// The index of the file that contains the line.
    pub file: usize,
    /// The parsed log event.
    pub event: Value,
}

/// One of the requests with which a caller asked for a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// The request's id.
    pub request: String,
    /// The lines about it.
    pub lines: Vec<Line>,
}

/// Returns the ids of the requests for the stream that a request began or takes up, by the time at
/// which they were accepted: the one that began it first. Empty if it wasn't taken up.
///
/// # Errors
/// Fails if a file cannot be read.
pub fn find_attempts(files: &mut [Box<dyn BufRead>], request: &str) -> io::Result<Vec<String>> {
    let mut take_ups = Vec::new();
    for text in files.iter_mut().flat_map(|reader| reader.lines()) {
        let event = parse(&text?).filter(|event| event["event"] == "accepted");
        let Some(event) = event.filter(|event| !str_field(event, "resumes").is_empty()) else {
            continue;
        };
        let [request, began] =
            ["request", "resumes"].map(|name| str_field(&event, name).to_owned());
        take_ups.push((event["time_ms"].as_u64(), request, began));
    }
    let mut own = take_ups.iter().filter(|(_, taking, _)| taking == request);
    let began = own.next().map_or(request, |(_, _, began)| began).to_owned();
    take_ups.retain(|(_, _, other)| *other == began);
    take_ups.sort();
    let mut attempts: Vec<String> = take_ups.into_iter().map(|(_, taking, _)| taking).collect();
    // A forwarded request is accepted at both nodes.
    attempts.dedup();
    if !attempts.is_empty() {
        attempts.insert(0, began);
    }
    Ok(attempts)
}

/// Returns the lines about a request. Text before the first brace of a line is ignored,
/// since log collectors add prefixes of their own.
///
/// # Errors
/// Fails if a file cannot be read.
pub fn find(files: &mut [Box<dyn BufRead>], request: &str) -> io::Result<Vec<Line>> {
    let mut lines_by_file: Vec<(u64, Vec<Line>)> = Vec::new();
    for (file, reader) in files.iter_mut().enumerate() {
        let mut lines = Vec::new();
        for text in reader.lines() {
            if let Some(event) = parse(&text?).filter(|event| event["request"] == request) {
                lines.push(Line { file, event });
            }
        }
        let first_time = lines
            .first()
            .and_then(|line| line.event["time_ms"].as_u64());
        lines_by_file.push((first_time.unwrap_or(u64::MAX), lines));
    }
    lines_by_file.sort_by_key(|(first_time, _)| *first_time);
    Ok(lines_by_file
        .into_iter()
        .flat_map(|(_, lines)| lines)
        .collect())
}

/// Returns the event of a log line, or none if the line does not contain one.
pub fn parse(text: &str) -> Option<Value> {
    let start = text.find('{')?;
    serde_json::from_str(&text[start..]).ok()
}

/// Returns a sentence that describes what happened to the request.
pub fn cause(lines: &[Line]) -> String {
    let events: Vec<&Value> = lines.iter().map(|line| &line.event).collect();
    let last = |name: &str| {
        let named = |event: &&&Value| event["event"] == name;
        // The node that a caller asked knows more than one that it forwarded the request to.
        let is_callers =
            |event: &&&Value| named(event) && str_field(event, "forwarded_by").is_empty();
        let found = events.iter().rev().find(is_callers);
        found.or_else(|| events.iter().rev().find(named))
    };
    if let Some(cut) = last("cut") {
        return format!(
            "The answer broke off after it had begun: {}.",
            str_field(cut, "detail")
        );
    }
    if last("answered").is_none() {
        return match last("left") {
            Some(left) => caller_left_cause(left, last("sent").is_some()),
            None if events.is_empty() => "No line speaks of this request.".into(),
            None => "There is no final answer in these lines: the process ended, or lines were left out.".into(),
        };
    }
    if let Some(unmatched) = last("unmatched") {
        return unmatched_cause(unmatched);
    }
    if let Some(barred) = last("barred") {
        return barred_cause(barred);
    }
    if let Some(limit) = last("over-limit") {
        return over_limit_cause(limit);
    }
    let attempts: Vec<&&Value> = events
        .iter()
        .filter(|event| event["event"] == "attempt")
        .collect();
    let forwards = events.iter();
    let forwards = forwards.filter(|event| event["event"] == "forward-ended");
    let forwards: String = forwards.map(|event| forward_cause(event)).collect();
    let taken_up = last("taken-up").map_or(String::new(), |event| take_up_cause(event));
    match last("answered") {
        Some(answered) => answer_cause(answered, &attempts) + &taken_up + &forwards,
        None => String::new(),
    }
}

/// Returns a sentence that describes how the version that began a stream was found out.
fn take_up_cause(event: &Value) -> String {
    let [began, last, software, source] =
        ["resumes", "last_event", "software", "source"].map(|field| str_field(event, field));
    let began = match began {
        "" => "a stream that it doesn't name".to_owned(),
        began => format!("the stream of {began}"),
    };
    let known = match (software, source) {
        ("", "unanswered") => "some nodes didn't say which software began it".to_owned(),
        ("", "doubted") => "the endpoint that began it may have started again".to_owned(),
        ("", "disputed") => "nodes stated different software".to_owned(),
        ("", _) => "no node knew which software began it".to_owned(),
        (software, "own") => format!("software {software} began it, by this node's record"),
        (software, "node") => format!("software {software} began it, by another node's record"),
        (software, _) => format!("only software {software} had served"),
    };
    let asked = match str_field(event, "asked") {
        "" => String::new(),
        asked => format!(" (asked: {asked})"),
    };
    format!(" It took up {began} after event {last}: {known}{asked}.")
}

/// Returns a sentence that describes a forward to another node.
fn forward_cause(event: &Value) -> String {
    let [node, end, detail] = ["node", "end", "detail"].map(|field| str_field(event, field));
    format!(
        " It was forwarded to node {node} ({end}: {detail}) for {} ms, as this node did not reach the endpoints.",
        event["after_ms"]
    )
}

fn caller_left_cause(event: &Value, sent: bool) -> String {
    let after = &event["after_ms"];
    let state = if sent {
        "while an endpoint worked on it"
    } else {
        "while it waited"
    };
    format!("The caller left after {after} ms, {state}.")
}

fn unmatched_cause(unmatched: &Value) -> String {
    let missing = match str_field(unmatched, "what") {
        "customer" => "no customer holds its key",
        _ => "no route matches it",
    };
    let origin = match str_field(unmatched, "way") {
        "transfer" => format!("from node {}", str_field(unmatched, "from")),
        call => format!(
            "by a {call} of the platform, written at revision {} and answered at {}",
            unmatched["revision"], unmatched["at"]
        ),
    };
    let platform = match unmatched["platform_ms"].as_u64() {
        Some(age) => format!("the platform had last answered {age} ms before"),
        None => "the platform had never answered this node".to_owned(),
    };
    let heard = match str_field(unmatched, "heard") {
        "" => "no other node was heard".to_owned(),
        heard => format!("nodes heard, with their versions: {heard}"),
    };
    format!(
        "Refused: {missing} under configuration {} ({}), in force for {} ms, which came {origin}; {platform}; {heard}.",
        unmatched["configuration"],
        str_field(unmatched, "digest"),
        unmatched["in_force_ms"],
    )
}

fn barred_cause(barred: &Value) -> String {
    let feature = match str_field(barred, "features") {
        // In logs of earlier releases.
        "" => str_field(barred, "fingerprint"),
        features => features,
    };
    let what = match str_field(barred, "parts") {
        "" => format!("what it asks for (fingerprint {feature})"),
        parts => format!("prompts with part {parts} (feature {feature})"),
    };
    format!(
        "Refused: {} endpoints ended while they ran {what}, and it was tried {} times since.",
        barred["ends"], barred["trials"],
    )
}

fn over_limit_cause(limit: &Value) -> String {
    format!(
        "Refused: customer {} was over its limit: it asked for {} with {} of {} left, {} of them kept for more protected requests; of {} nodes that share it, {} were silent.",
        str_field(limit, "customer"),
        limit["asked"],
        limit["level"],
        limit["most"],
        limit["kept"],
        limit["nodes"],
        limit["silent"],
    )
}

fn answer_cause(answered: &Value, attempts: &[&&Value]) -> String {
    let status = &answered["status"];
    let code = str_field(answered, "code");
    let version = &answered["configuration"];
    if code.is_empty() {
        let after = &answered["after_ms"];
        return format!(
            "An endpoint answered {status}; the answer was whole after {after} ms.{}",
            shared_admission(answered)
        );
    }
    let tried: Vec<String> = attempts
        .iter()
        .map(|attempt| {
            let [endpoint, end, detail, next] =
                ["endpoint", "end", "detail", "next"].map(|field| str_field(attempt, field));
            format!("{endpoint} ({end}: {detail}; then {next})")
        })
        .collect();
    let tried = if tried.is_empty() {
        "no endpoint".to_owned()
    } else {
        tried.join(", ")
    };
    let wait = match answered["wait_ms"].as_u64() {
        Some(wait) if wait > 0 => format!(" A wait of {wait} ms was expected."),
        _ => String::new(),
    };
    let leaving = passed_over(answered, "passed_leaving", "said that they leave");
    let resting = passed_over(answered, "passed_resting", "had asked for rest");
    let unusable = match str_field(answered, "unusable") {
        "" => String::new(),
        counts => format!(" Endpoints not used because of failures: {counts}."),
    };
    format!(
        "This node answered {status} {code} ({}), under configuration {version}; it had tried {tried}.{wait}{leaving}{resting}{unusable}{}",
        str_field(answered, "outcome"),
        shared_admission(answered),
    )
}

/// Returns sentences that name what shared admission did to the request, or an empty string if it
/// did nothing or the lines don't say.
fn shared_admission(answered: &Value) -> String {
    let mut text = String::new();
    if answered["redirected"] == true {
        text.push_str(" An owner of slots had redirected it to another.");
    }
    if answered["booked"] == true {
        text.push_str(" Its caller had claimed a booking.");
    }
    if let Some(due @ 1..) = answered["booking_ms"].as_u64() {
        text.push_str(&format!(
            " A place was booked for its caller's return after {due} ms."
        ));
    }
    text
}

/// Returns a sentence that names the endpoints passed over and the reason, or an empty string
/// if there were none.
fn passed_over(answered: &Value, field: &str, why: &str) -> String {
    match str_field(answered, field) {
        "" => String::new(),
        names => format!(" Passed over, as they {why}: {names}."),
    }
}

fn str_field<'a>(event: &'a Value, field: &str) -> &'a str {
    event[field].as_str().unwrap_or_default()
}

/// Writes the lines about a request and a sentence that describes what happened to it, and such a
/// sentence for each of the `attempts` at the same stream.
///
/// # Errors
/// Fails if `out` cannot be written to.
pub fn write(
    lines: &[Line],
    attempts: &[Attempt],
    names: &[String],
    json: bool,
    out: &mut impl Write,
) -> io::Result<()> {
    if json {
        let events: Vec<&Value> = lines.iter().map(|line| &line.event).collect();
        let attempts: Vec<Value> = attempts
            .iter()
            .map(|attempt| {
                serde_json::json!({ "request": attempt.request, "cause": cause(&attempt.lines) })
            })
            .collect();
        let report =
            serde_json::json!({ "lines": events, "cause": cause(lines), "attempts": attempts });
        return writeln!(out, "{report}");
    }
    for line in lines {
        let Some(fields) = line.event.as_object() else {
            continue;
        };
        let other_fields: Vec<String> = fields
            .iter()
            .filter(|(name, _)| !["event", "request", "time_ms"].contains(&name.as_str()))
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let name = names.get(line.file).map_or("", String::as_str);
        writeln!(
            out,
            "{name} {} {} {}",
            line.event["time_ms"],
            str_field(&line.event, "event"),
            other_fields.join(" ")
        )?;
    }
    writeln!(out, "{}", cause(lines))?;
    if !attempts.is_empty() {
        writeln!(out, "The requests of its caller for the same stream:")?;
    }
    for attempt in attempts {
        writeln!(out, "{}: {}", attempt.request, cause(&attempt.lines))?;
    }
    Ok(())
}
