//! Tests for explaining a request from log lines.

use std::io::BufRead;
use std::io::Cursor;

use rstest::rstest;
use woadstage_gateway::explain;

fn files(texts: &[&str]) -> Vec<Box<dyn BufRead>> {
    let boxed = |text: &&str| -> Box<dyn BufRead> { Box::new(Cursor::new(text.to_string())) };
    texts.iter().map(boxed).collect()
}

fn cause(text: &str) -> String {
    let lines = explain::find(&mut files(&[text]), "r").expect("the log is readable");
    explain::cause(&lines)
}

const ACCEPTED: &str = r#"{"time_ms":1,"event":"accepted","request":"r"}"#;
const SENT: &str = r#"{"time_ms":2,"event":"sent","request":"r","endpoint":"e"}"#;

#[rstest]
#[case::answered(
    r#"{"time_ms":9,"event":"answered","request":"r","status":200,"code":"","after_ms":812}"#,
    "An endpoint answered 200; the answer was whole after 812 ms."
)]
#[case::caller_left(
    r#"{"time_ms":9,"event":"left","request":"r","after_ms":3200}"#,
    "The caller left after 3200 ms, while an endpoint worked on it."
)]
#[case::cut(
    r#"{"time_ms":9,"event":"cut","request":"r","detail":"connection reset"}"#,
    "The answer broke off after it had begun: connection reset."
)]
#[case::no_further_line(
    "",
    "There is no final answer in these lines: the process ended, or lines were left out."
)]
fn a_request_that_was_sent(#[case] end: &str, #[case] expected: &str) {
    assert_eq!(cause(&format!("{ACCEPTED}\n{SENT}\n{end}\n")), expected);
}

#[test]
fn a_request_whose_outcome_is_unknown_names_every_attempt() {
    let attempt = r#"{"time_ms":5,"event":"attempt","request":"r","endpoint":"e","end":"lost","detail":"reset","next":"may-have-run"}"#;
    let answered = r#"{"time_ms":6,"event":"answered","request":"r","status":502,"code":"W3003","outcome":"unknown","configuration":7}"#;
    let explanation = cause(&format!("{ACCEPTED}\n{SENT}\n{attempt}\n{answered}\n"));
    assert!(explanation.contains("502 W3003 (unknown)"), "{explanation}");
    assert!(
        explanation.contains("under configuration 7"),
        "{explanation}"
    );
    assert!(
        explanation.contains("e (lost: reset; then may-have-run)"),
        "{explanation}"
    );
}

#[test]
fn a_refusal_by_quota_names_the_numbers_behind_it() {
    let limit = r#"{"time_ms":1,"event":"over-limit","request":"r","customer":"c","asked":900,"level":12,"most":500,"kept":90,"nodes":9,"silent":1}"#;
    let answered = r#"{"time_ms":2,"event":"answered","request":"r","status":429,"code":"W2003"}"#;
    let explanation = cause(&format!("{limit}\n{answered}\n"));
    assert!(
        explanation.contains(
            "customer c was over its limit: it asked for 900 with 12 of 500 left, 90 of them kept"
        ),
        "{explanation}"
    );
}

#[test]
fn lines_of_several_nodes_are_merged_without_comparing_their_clocks() {
    let one = r#"
        12.0 node-1 {"time_ms":900,"event":"accepted","request":"r"}
        noise without a brace
        12.1 node-1 {"time_ms":100,"event":"left","request":"r","after_ms":5}
        12.1 node-1 {"time_ms":950,"event":"left","request":"other","after_ms":5}"#;
    let other = r#"{"time_ms":500,"event":"accepted","request":"r"}"#;
    let lines = explain::find(&mut files(&[one, other]), "r").expect("the log is readable");
    let order: Vec<(usize, &str)> = lines
        .iter()
        .map(|line| (line.file, line.event["event"].as_str().expect("a name")))
        .collect();
    assert_eq!(order, [(1, "accepted"), (0, "accepted"), (0, "left")]);
}

#[test]
fn a_request_without_log_lines() {
    assert_eq!(
        cause(ACCEPTED.replace("\"r\"", "\"x\"").as_str()),
        "No line speaks of this request."
    );
}

#[test]
fn every_event_is_in_the_table_of_the_docs() {
    let page = include_str!("../../../../docs/EVENTS.md");
    let source = include_str!("../../src/event.rs");
    let body = source.split_once("pub enum Event").expect("the enum").1;
    let body = body.split_once("impl Event").expect("its end").0;
    let variants = body
        .lines()
        .filter_map(|line| line.strip_prefix("    ")?.strip_suffix(" {"));
    let names: Vec<String> = variants.map(to_kebab).collect();
    assert!(names.len() > 10);
    for name in names {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "docs/EVENTS.md lacks {name}"
        );
    }
}

fn to_kebab(name: &str) -> String {
    let mut text = String::new();
    for letter in name.chars() {
        if letter.is_uppercase() && !text.is_empty() {
            text.push('-');
        }
        text.push(letter.to_ascii_lowercase());
    }
    text
}

#[test]
fn a_refusal_names_the_endpoints_that_were_passed_over() {
    let answered = r#"{"time_ms":6,"event":"answered","request":"r","status":503,"code":"W2001","outcome":"not-run","configuration":7,"passed_leaving":"e","passed_resting":"f, g"}"#;
    let explanation = cause(&format!("{ACCEPTED}\n{answered}\n"));
    assert!(
        explanation.ends_with("Passed over, as they said that they leave: e. Passed over, as they had asked for rest: f, g."),
        "{explanation}"
    );
}

#[test]
fn a_refusal_without_a_route_names_the_configuration_and_its_origin() {
    let unmatched = r#"{"time_ms":5,"event":"unmatched","request":"r","what":"route","configuration":7,"digest":"0a","in_force_ms":8900,"from":"platform","way":"read","revision":40,"at":44,"platform_ms":120,"heard":"10.0.0.2:1=7"}"#;
    let answered = r#"{"time_ms":6,"event":"answered","request":"r","status":404,"code":"W1014","outcome":"not-run","configuration":7}"#;
    let explanation = cause(&format!("{unmatched}\n{answered}\n"));
    assert_eq!(
        explanation,
        "Refused: no route matches it under configuration 7 (0a), in force for 8900 ms, which came by a read of the platform, written at revision 40 and answered at 44; the platform had last answered 120 ms before; nodes heard, with their versions: 10.0.0.2:1=7."
    );
}

/// An operator would not see why a request ran in another cell, or why its caller was told to return.
#[rstest]
#[case::redirected_and_booked(
    r#"{"time_ms":9,"event":"answered","request":"r","status":200,"code":"","after_ms":812,"redirected":true,"booked":true}"#,
    "An endpoint answered 200; the answer was whole after 812 ms. An owner of slots had redirected it to another. Its caller had claimed a booking."
)]
#[case::neither(
    r#"{"time_ms":9,"event":"answered","request":"r","status":200,"code":"","after_ms":812,"redirected":false,"booked":false}"#,
    "An endpoint answered 200; the answer was whole after 812 ms."
)]
#[case::refused_with_a_booking(
    r#"{"time_ms":9,"event":"answered","request":"r","status":503,"code":"W2002","outcome":"not-run","configuration":7,"wait_ms":90,"redirected":false,"booked":false,"booking_ms":290}"#,
    "This node answered 503 W2002 (not-run), under configuration 7; it had tried no endpoint. A wait of 90 ms was expected. A place was booked for its caller's return after 290 ms."
)]
#[case::refused_without_a_booking(
    r#"{"time_ms":9,"event":"answered","request":"r","status":503,"code":"W2002","outcome":"not-run","configuration":7,"wait_ms":90,"redirected":true,"booking_ms":0}"#,
    "This node answered 503 W2002 (not-run), under configuration 7; it had tried no endpoint. A wait of 90 ms was expected. An owner of slots had redirected it to another."
)]
fn what_shared_admission_did_is_named(#[case] answered: &str, #[case] expected: &str) {
    assert_eq!(cause(&format!("{ACCEPTED}\n{answered}\n")), expected);
}

/// An operator would not find the fields among the lines of a request.
#[test]
fn the_lines_show_the_fields_of_shared_admission() {
    let sent = r#"{"time_ms":2,"event":"sent","request":"r","endpoint":"e","redirected":true,"booked":false}"#;
    let lines = explain::find(&mut files(&[sent]), "r").expect("the log is readable");
    let mut text = Vec::new();
    explain::write(&lines, &[], &["node-1".to_owned()], false, &mut text)
        .expect("memory is writable");
    let text = String::from_utf8(text).expect("the text is UTF-8");
    assert!(text.contains("booked=false"), "{text}");
    assert!(text.contains("redirected=true"), "{text}");
}

#[test]
fn a_forwarded_request_is_followed_over_both_nodes() {
    let here = format!(
        "{ACCEPTED}\n{}\n{}\n",
        r#"{"time_ms":5,"event":"forward-ended","request":"r","node":"10.0.0.2:7600","end":"answered","next":"over","detail":"200","after_ms":30}"#,
        r#"{"time_ms":6,"event":"answered","request":"r","status":200,"code":"","after_ms":31,"forwarded_to":"10.0.0.2:7600"}"#,
    );
    let there = r#"{"time_ms":9,"event":"answered","request":"r","status":200,"code":"","after_ms":99,"forwarded_by":"10.0.0.1:7600"}"#;
    let lines = explain::find(&mut files(&[&here, there]), "r").expect("the log is readable");
    let explanation = explain::cause(&lines);
    assert!(
        explanation.contains("whole after 31 ms")
            && explanation.contains("forwarded to node 10.0.0.2:7600 (answered: 200)"),
        "{explanation}"
    );
}

/// The lines of a stream that breaks off at one node and is taken up at another, over a forward.
fn stream_logs() -> [String; 2] {
    let lines = [
        r#"{"time_ms":1,"event":"accepted","request":"r"}"#,
        r#"{"time_ms":4,"event":"cut","request":"r","detail":"connection reset"}"#,
        r#"{"time_ms":7,"event":"accepted","request":"again","resumes":"r","last_event":"3","forwarded_by":"10.0.0.2:7600"}"#,
    ];
    let other = [
        r#"{"time_ms":6,"event":"accepted","request":"again","resumes":"r","last_event":"3"}"#,
        r#"{"time_ms":6,"event":"taken-up","request":"again","resumes":"r","last_event":"3","software":"v2","source":"node","asked":"10.0.0.2:7600=record (90 ms)"}"#,
        r#"{"time_ms":8,"event":"answered","request":"again","status":200,"code":"","after_ms":2}"#,
        r#"{"time_ms":9,"event":"accepted","request":"other","resumes":"x","last_event":"3"}"#,
    ];
    [lines.join("\n"), other.join("\n")]
}

#[rstest]
#[case::of_the_first_request("r", &["r", "again"])]
#[case::of_a_take_up("again", &["r", "again"])]
#[case::of_another_stream("other", &["x", "other"])]
#[case::of_a_request_that_is_not_taken_up("y", &[])]
fn the_requests_for_one_stream_are_found(#[case] request: &str, #[case] expected: &[&str]) {
    let [one, other] = stream_logs();
    let attempts = explain::find_attempts(&mut files(&[&one, &other]), request);
    assert_eq!(attempts.expect("the log is readable"), expected);
}

#[test]
fn each_request_for_a_stream_is_explained() {
    let [one, other] = stream_logs();
    let attempts = ["r", "again"].map(|request| explain::Attempt {
        request: request.to_owned(),
        lines: explain::find(&mut files(&[&one, &other]), request).expect("the log is readable"),
    });
    let mut text = Vec::new();
    explain::write(&attempts[0].lines, &attempts, &[], false, &mut text).expect("memory");
    let text = String::from_utf8(text).expect("the text is UTF-8");
    assert!(
        text.ends_with(
            "The requests of its caller for the same stream:\n\
             r: The answer broke off after it had begun: connection reset.\n\
             again: An endpoint answered 200; the answer was whole after 2 ms. It took up the stream of r after event 3: software v2 began it, by another node's record (asked: 10.0.0.2:7600=record (90 ms)).\n"
        ),
        "{text}"
    );
}
