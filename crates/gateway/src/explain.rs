//! Explains a request from log lines of any number of nodes, after the fact.
//!
//! Clocks of hosts may disagree, so times of different nodes are never
//! compared: lines keep the order in which their file has them, and a file
//! whose first line of the request is earlier by its own clock goes first.

use std::io;
use std::io::BufRead;
use std::io::Write;

use serde_json::Value;

/// One line that speaks of the request, from the file with an index.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Which file.
    pub file: usize,
    /// What it says.
    pub event: Value,
}

/// Finds the lines that speak of a request. What stands before the first brace
/// of a line is passed over, as log collectors put their own words there.
///
/// # Errors
/// Where a file cannot be read.
pub fn find(files: &mut [Box<dyn BufRead>], request: &str) -> io::Result<Vec<Line>> {
    let mut found: Vec<(u64, Vec<Line>)> = Vec::new();
    for (file, reader) in files.iter_mut().enumerate() {
        let mut lines = Vec::new();
        for text in reader.lines() {
            if let Some(event) = parse(&text?).filter(|event| event["request"] == request) {
                lines.push(Line { file, event });
            }
        }
        let first = lines
            .first()
            .and_then(|line| line.event["time_ms"].as_u64());
        found.push((first.unwrap_or(u64::MAX), lines));
    }
    found.sort_by_key(|(first, _)| *first);
    Ok(found.into_iter().flat_map(|(_, lines)| lines).collect())
}

/// The event of a log line, where it holds one.
pub fn parse(text: &str) -> Option<Value> {
    let start = text.find('{')?;
    serde_json::from_str(&text[start..]).ok()
}

/// Says in a sentence what became of the request.
pub fn cause(lines: &[Line]) -> String {
    let events: Vec<&Value> = lines.iter().map(|line| &line.event).collect();
    let last = |name: &str| events.iter().rev().find(|event| event["event"] == name);
    if let Some(cut) = last("cut") {
        return format!(
            "The answer broke off after it had begun: {}.",
            text(cut, "detail")
        );
    }
    if last("answered").is_none() {
        return match last("left") {
            Some(left) => left_cause(left, last("sent").is_some()),
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
        return limit_cause(limit);
    }
    let attempts: Vec<&&Value> = events
        .iter()
        .filter(|event| event["event"] == "attempt")
        .collect();
    match last("answered") {
        Some(answered) => answer_cause(answered, &attempts),
        None => String::new(),
    }
}

fn left_cause(left: &Value, sent: bool) -> String {
    let after = &left["after_ms"];
    let state = if sent {
        "while an endpoint worked on it"
    } else {
        "while it waited"
    };
    format!("The caller left after {after} ms, {state}.")
}

fn unmatched_cause(unmatched: &Value) -> String {
    let missing = match text(unmatched, "what") {
        "customer" => "no customer holds its key",
        _ => "no route matches it",
    };
    let came = match text(unmatched, "way") {
        "transfer" => format!("from node {}", text(unmatched, "from")),
        call => format!(
            "by a {call} of the platform, written at revision {} and answered at {}",
            unmatched["revision"], unmatched["at"]
        ),
    };
    let platform = match unmatched["platform_ms"].as_u64() {
        Some(ago) => format!("the platform had last answered {ago} ms before"),
        None => "the platform had never answered this node".to_owned(),
    };
    let heard = match text(unmatched, "heard") {
        "" => "no other node was heard".to_owned(),
        heard => format!("nodes heard, with their versions: {heard}"),
    };
    format!(
        "Refused: {missing} under configuration {} ({}), in force for {} ms, which came {came}; {platform}; {heard}.",
        unmatched["configuration"],
        text(unmatched, "digest"),
        unmatched["in_force_ms"],
    )
}

fn barred_cause(barred: &Value) -> String {
    format!(
        "Refused: {} endpoints ended while they ran what it asks for (fingerprint {}), and it was tried {} times since.",
        barred["ends"],
        text(barred, "fingerprint"),
        barred["trials"],
    )
}

fn limit_cause(limit: &Value) -> String {
    format!(
        "Refused: customer {} was over its limit: it asked for {} with {} of {} left, {} of them kept for more protected requests; of {} nodes that share it, {} were silent.",
        text(limit, "customer"),
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
    let code = text(answered, "code");
    let version = &answered["configuration"];
    if code.is_empty() {
        let late = &answered["after_ms"];
        return format!("An endpoint answered {status}; the answer was whole after {late} ms.");
    }
    let tried: Vec<String> = attempts
        .iter()
        .map(|attempt| {
            let [endpoint, end, detail, next] =
                ["endpoint", "end", "detail", "next"].map(|field| text(attempt, field));
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
    format!(
        "This node answered {status} {code} ({}), under configuration {version}; it had tried {tried}.{wait}{leaving}{resting}",
        text(answered, "outcome"),
    )
}

/// Says which endpoints were passed over, and why; nothing where none were.
fn passed_over(answered: &Value, field: &str, why: &str) -> String {
    match text(answered, field) {
        "" => String::new(),
        names => format!(" Passed over, as they {why}: {names}."),
    }
}

fn text<'a>(event: &'a Value, field: &str) -> &'a str {
    event[field].as_str().unwrap_or_default()
}

/// Writes the lines of a request and what became of it.
///
/// # Errors
/// Where `out` cannot be written to.
pub fn write(lines: &[Line], names: &[String], json: bool, out: &mut impl Write) -> io::Result<()> {
    if json {
        let events: Vec<&Value> = lines.iter().map(|line| &line.event).collect();
        let all = serde_json::json!({ "lines": events, "cause": cause(lines) });
        return writeln!(out, "{all}");
    }
    for line in lines {
        let Some(fields) = line.event.as_object() else {
            continue;
        };
        let shown: Vec<String> = fields
            .iter()
            .filter(|(name, _)| !["event", "request", "time_ms"].contains(&name.as_str()))
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let name = names.get(line.file).map_or("", String::as_str);
        writeln!(
            out,
            "{name} {} {} {}",
            line.event["time_ms"],
            text(&line.event, "event"),
            shown.join(" ")
        )?;
    }
    writeln!(out, "{}", cause(lines))
}
