//! Answers whose head is broken: none of them may reach a caller as a success.

use std::time::Duration;

use rstest::rstest;

use crate::support::Action;
use crate::support::Caller;
use crate::support::Gateway;
use crate::support::Response;
use crate::support::Worker;
use crate::support::chunk;
use crate::support::field;
use crate::support::fleet;
use crate::support::fleet::Cut;
use crate::support::run;

/// A body that is also a whole stream of events.
const BODY: &str = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";

/// What an endpoint does with its connection after an answer.
#[derive(Debug, Clone, Copy)]
enum After {
    Keep,
    Close,
    Reset,
}

impl After {
    fn to_action(self, text: String) -> Action {
        match self {
            After::Keep => Action::Answer(text),
            After::Close => Action::AnswerAndClose(text),
            After::Reset => Action::AnswerAndReset(text),
        }
    }
}

fn answer_of(status: &str, fields: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nwoadstage-request: {{id}}\r\ncontent-type: text/event-stream\r\n\
         {fields}\r\n\r\n{body}"
    )
}

fn in_chunks() -> String {
    let (first, second) = BODY.split_at(21);
    chunk(first) + &chunk(second) + "0\r\n\r\n"
}

fn chunked(fields: &str) -> String {
    answer_of("200 OK", fields, &in_chunks())
}

fn with_length(fields: &str) -> String {
    answer_of("200 OK", fields, BODY)
}

/// An answer that is sound but for one line in its head, the first or the last one.
fn with_line(line: &str) -> [String; 2] {
    let length = BODY.len();
    let sound = with_length(&format!("content-length: {length}"));
    let first = sound.replacen("\r\n", &format!("\r\n{line}\r\n"), 1);
    [
        first,
        with_length(&format!("content-length: {length}\r\n{line}")),
    ]
}

fn with_status(status: &str) -> String {
    answer_of(status, &format!("content-length: {}", BODY.len()), BODY)
}

/// Transfer codings other than a single `chunked` (RFC 9112, 6.1).
fn codings() -> Vec<String> {
    let values = [
        "chunke",
        "xchunked",
        "chunkedx",
        "chun ked",
        "\"chunked\"",
        "chunked; q=1",
        "chunked,",
        "",
        "17",
        "identity",
        "gzip",
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
        "chunked\r\ntransfer-encoding: identity",
        "identity\r\ntransfer-encoding: chunked",
        "chunked\r\ntransfer-encoding: chunked",
        "chunked\r\ntransfer-encoding:",
    ];
    let codings = values.map(|value| chunked(&format!("transfer-encoding: {value}")));
    codings.into()
}

/// A length beside a transfer coding.
fn lengths_beside_codings() -> Vec<String> {
    let length = BODY.len();
    let both = |length: &str, coding: &str| {
        [
            format!("content-length: {length}\r\ntransfer-encoding: {coding}"),
            format!("transfer-encoding: {coding}\r\ncontent-length: {length}"),
        ]
    };
    let in_chunks =
        ["3", "0", "x", &in_chunks().len().to_string()].map(|text| both(text, "chunked"));
    let of_length = ["chunke", "gzip"].map(|coding| both(&length.to_string(), coding));
    let in_chunks = in_chunks
        .into_iter()
        .flatten()
        .map(|fields| chunked(&fields));
    let of_length = of_length
        .into_iter()
        .flatten()
        .map(|fields| with_length(&fields));
    in_chunks.chain(of_length).collect()
}

/// Lengths that are no number, or several.
fn lengths() -> Vec<String> {
    let length = BODY.len();
    let values = [
        "x".to_owned(),
        String::new(),
        format!("+{length}"),
        format!("-{length}"),
        format!("{length}x"),
        format!("0x{length}"),
        format!("{length}.0"),
        "4 2".to_owned(),
        format!("{length},"),
        format!("{length}, 3"),
        format!("{length}\r\ncontent-length: 3"),
        format!("3\r\ncontent-length: {length}"),
        "99999999999999999999999".to_owned(),
        "18446744073709551615".to_owned(),
    ];
    values
        .map(|value| with_length(&format!("content-length: {value}")))
        .into()
}

/// Lines that are no field (RFC 9112, 5).
fn lines() -> Vec<String> {
    let lines = [
        "no field",
        "content-length 5",
        " folded: line",
        "\tfolded",
        ": without a name",
        "na me: value",
        "na\tme: value",
        "name : value",
        "name\t: value",
        "na\u{1}me: value",
        "na\u{7f}me: value",
        "na\u{e9}me: value",
        "na\rme: value",
        "name: val\u{1}ue",
        "na\0me: value",
        "content-length : 3",
        "content\u{1}-length: 3",
        "transfer-encoding : chunked",
    ];
    lines.into_iter().flat_map(with_line).collect()
}

/// Status lines without the status of a final answer (RFC 9110, 15).
fn statuses() -> Vec<String> {
    let statuses = [
        "000 None",
        "000",
        "00 None",
        "0 None",
        "0000 None",
        "001 None",
        "099 None",
        "101 Switching Protocols",
        "600 None",
        "999 None",
        "2 OK",
        "20 OK",
        "2000 OK",
        "2x0 OK",
        "OK",
        "",
        "-200 OK",
        "+200 OK",
        "2 00 OK",
        "000 200 OK",
    ];
    let mut answers: Vec<String> = statuses.map(with_status).into();
    let version = |version| with_status("200 OK").replacen("HTTP/1.1", version, 1);
    answers.extend(["HTTP/2.0", "HTTP/1.", "HTTP", "ICY"].map(version));
    answers.push(with_status("000 None") + &with_status("200 OK"));
    answers
}

/// Bodies in chunks that are none (RFC 9112, 7.1).
fn chunks() -> Vec<String> {
    let bodies = [
        "x\r\n".to_owned() + BODY,
        "\r\n".to_owned() + &in_chunks(),
        in_chunks().replacen("\r\n", "\n\n", 1),
        in_chunks().replacen("15\r\n", "-15\r\n", 1),
        in_chunks().replacen("15\r\n", "14\r\n", 1),
        in_chunks().replacen("15\r\n", "fffffffffffffffff\r\n", 1),
        in_chunks().replace("0\r\n\r\n", "0x\r\n\r\n"),
        in_chunks().replace("0\r\n\r\n", "\r\n\r\n"),
        in_chunks().replace("0\r\n\r\n", "0\r\nno field\r\n\r\n"),
        in_chunks().replace("0\r\n\r\n", "0\r\nna me: value\r\n\r\n"),
        in_chunks().replace("0\r\n\r\n", "0\r\n"),
    ];
    let chunked = |body: &String| answer_of("200 OK", "transfer-encoding: chunked", body);
    bodies.iter().map(chunked).collect()
}

/// Returns a whole answer with these fields, after other texts, cut at each place before the end of its head.
fn cuts(before: &str, fields: &str, body: &str) -> Vec<String> {
    let head = format!("HTTP/1.1 200 OK\r\nwoadstage-request: {{id}}\r\n{fields}\r\n");
    let whole = format!("{before}{head}{body}");
    let end = before.len() + head.len();
    (0..end).map(|length| whole[..length].to_owned()).collect()
}

/// Heads that end too early, by what they say of the body.
fn cut_heads() -> Vec<Vec<String>> {
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n";
    let length = format!("content-length: {}\r\n", BODY.len());
    vec![
        cuts("", &length, BODY),
        cuts("", "content-length: 0\r\nx-other: 1\r\n", ""),
        cuts("", "transfer-encoding: chunked\r\n", &in_chunks()),
        cuts("", "content-type: text/event-stream\r\n", BODY),
        cuts(interim, &length, BODY),
    ]
}

/// Two endpoints that take their actions from one script, and a gateway before them.
struct Play {
    workers: [Worker; 2],
    gateway: Gateway,
    caller: Caller,
}

impl Play {
    async fn start(script: Vec<Action>) -> Play {
        let one = Worker::start("e", script).await;
        let other = one.start_beside("f").await;
        let gateway = Gateway::start(&[&one, &other]).await;
        let caller = Caller::connect(&gateway).await;
        Play {
            workers: [one, other],
            gateway,
            caller,
        }
    }

    fn received(&self) -> usize {
        let received = self
            .workers
            .iter()
            .map(|worker| worker.requests.borrow().len());
        received.sum()
    }

    /// Sends a request whose caller waits for a second only.
    async fn request(&mut self, path: &str) -> Response {
        self.caller
            .request_within("id-1", path, Duration::from_secs(1))
            .await;
        self.caller.answer().await
    }

    /// Sends another request, over the same connection if the gateway keeps it. The endpoints answer
    /// it in order, and a third one joins them.
    async fn next_request(&mut self, path: &str, before: &Response) -> Response {
        let [one, other] = &self.workers;
        one.set_script(vec![Action::Answer(sound())]);
        let joined = one.start_beside("g").await;
        self.gateway.set_endpoints(&[one, other, &joined]);
        if !before.is_complete {
            self.caller = Caller::connect(&self.gateway).await;
        }
        self.caller.request("id-2", path, "").await;
        self.caller.answer().await
    }
}

fn sound() -> String {
    with_length(&format!("content-length: {}", BODY.len()))
}

fn is_served(response: &Response) -> bool {
    (
        response.status,
        response.is_complete,
        response.body.as_str(),
    ) == (200, true, BODY)
}

/// Whether a stream went on at another endpoint. The stand-ins begin anew there.
fn went_on(play: &Play, response: &Response) -> bool {
    let resumes = |request: &String| field(request, "last-event-id").is_some();
    let mut workers = play.workers.iter();
    let is_resumed = workers.any(|worker| worker.requests.borrow().iter().any(resumes));
    is_resumed && response.is_complete && response.body.ends_with(BODY)
}

/// Whether the caller is told that the request may have run, or that its answer broke off.
fn is_failure(response: &Response) -> bool {
    match response.status {
        200 => !response.is_complete,
        502 | 504 => response.body.contains("\"unknown\""),
        _ => false,
    }
}

macro_rules! broken {
    ($($name:ident: $answers:expr;)*) => {
        /// Guards against broken answers that are passed on as successes.
        #[rstest]
        $(#[case::$name($answers)])*
        fn a_broken_answer_is_no_success(
            #[case] answers: Vec<String>,
            #[values("/once/x", "/repeatable/x", "/stream/x", "/resumable/x")] path: &str,
            #[values(After::Keep, After::Close, After::Reset)] after: After,
        ) {
            run(|| async move {
                for text in answers {
                    let mut play = Play::start(vec![after.to_action(text.clone())]).await;
                    let response = play.request(path).await;
                    assert!(is_failure(&response), "{text:?}: {response:?}");
                    let may_repeat = matches!(path, "/repeatable/x" | "/resumable/x");
                    assert!(play.received() <= 1 + usize::from(may_repeat), "{text:?}");
                    let next = play.next_request(path, &response).await;
                    assert!(is_served(&next), "after {text:?}: {next:?}");
                }
            });
        }

        /// Guards against requests that fail, or run twice, as one endpoint's answer is broken.
        #[rstest]
        $(#[case::$name($answers)])*
        fn a_request_is_repeated_after_a_broken_answer_if_it_may_be(
            #[case] answers: Vec<String>,
            #[values("/once/x", "/repeatable/x", "/stream/x", "/resumable/x")] path: &str,
            #[values(After::Keep, After::Close, After::Reset)] after: After,
        ) {
            run(|| async move {
                for text in answers {
                    let script = vec![after.to_action(text.clone()), Action::Answer(sound())];
                    let mut play = Play::start(script).await;
                    let response = play.request(path).await;
                    let may_repeat = matches!(path, "/repeatable/x" | "/resumable/x");
                    // Only a head that never ends, or a body that breaks, is known too late to repeat.
                    let is_late = response.status == 504 || response.status == 200;
                    let is_expected = match may_repeat {
                        true if is_served(&response) || went_on(&play, &response) => true,
                        true => is_late && is_failure(&response),
                        false => is_failure(&response),
                    };
                    assert!(is_expected, "{text:?}: {response:?}");
                    assert!(play.received() <= 1 + usize::from(may_repeat), "{text:?}");
                }
            });
        }
    };
}

broken! {
    codings: codings();
    lengths_beside_codings: lengths_beside_codings();
    lengths: lengths();
    lines: lines();
    statuses: statuses();
    chunks: chunks();
}

/// Whether a caller that got no head is told that the request may have run.
fn is_lost(response: &Response) -> bool {
    response.status != 200 && is_failure(response)
}

/// Guards against answers with a part of a head that are passed on as successes.
#[rstest]
fn an_answer_whose_head_is_cut_is_no_success(
    #[values("/once/x", "/repeatable/x", "/stream/x", "/resumable/x")] path: &str,
    #[values(After::Close, After::Reset)] after: After,
    #[values(0, 1, 2, 3, 4)] kind: usize,
    #[values(false, true)] is_first_only: bool,
) {
    run(|| async move {
        for text in cut_heads().swap_remove(kind) {
            let mut script = vec![after.to_action(text.clone())];
            script.extend(is_first_only.then(|| Action::Answer(sound())));
            let mut play = Play::start(script).await;
            let response = play.request(path).await;
            let may_repeat = matches!(path, "/repeatable/x" | "/resumable/x");
            let is_repeated = is_first_only && may_repeat && is_served(&response);
            assert!(is_repeated || is_lost(&response), "{text:?}: {response:?}");
            assert!(play.received() <= 1 + usize::from(may_repeat), "{text:?}");
        }
    });
}

/// Guards against heads that stop without an end of their connection and are passed on as successes.
#[rstest]
fn an_answer_whose_head_stops_is_no_success(
    #[values("/once/x", "/repeatable/x", "/stream/x", "/resumable/x")] path: &str,
    #[values(0, 1, 2, 3, 4)] kind: usize,
) {
    run(|| async move {
        let heads = cut_heads().swap_remove(kind);
        // Each takes until its caller's deadline; the last are within the blank line.
        for text in heads.iter().rev().step_by(31) {
            let mut play = Play::start(vec![Action::Answer(text.clone())]).await;
            let response = play.request(path).await;
            assert!(is_lost(&response), "{text:?}: {response:?}");
        }
    });
}

/// Heads that look unusual and are sound, with the fields that a caller gets of them.
#[rstest]
#[case::equal_lengths("content-length: 42\r\nContent-Length: 42", "content-length: 42")]
#[case::list_of_equal_lengths("content-length: 42, 42", "content-length: 42")]
#[case::leading_zeros("content-length: 00042", "content-length: 42")]
#[case::neither("x-other: 1", "transfer-encoding: chunked")]
#[case::closing("connection: close", "transfer-encoding: chunked")]
fn an_unusual_head_is_served(
    #[case] fields: &str,
    #[case] passed_on: &str,
    #[values("/once/x", "/repeatable/x", "/stream/x")] path: &str,
    #[values(1, 2)] hops: usize,
) {
    run(|| async move {
        let worker = Worker::start("e", vec![Action::Answer(sound())]).await;
        let nodes = start_forwarding(&[&worker]).await;
        worker.set_script(vec![Action::AnswerAndClose(with_length(fields))]);
        let response = request_over(&nodes[2 - hops], "id-1", path).await;
        assert!(is_served(&response), "{response:?}");
        let mut lines = response.head.lines();
        assert!(lines.any(|line| line == passed_on), "{}", response.head);
        assert_eq!(
            response.head.matches("content-length").count()
                + response.head.matches("transfer-encoding").count(),
            1
        );
    });
}

#[rstest]
#[case::chunks_in_other_case(chunked("Transfer-Encoding: Chunked"))]
#[case::interim_answer_before(format!("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n{}", sound()))]
fn an_unusual_answer_is_served(
    #[case] text: String,
    #[values("/once/x", "/repeatable/x", "/stream/x", "/resumable/x")] path: &str,
) {
    run(|| async move {
        let mut play = Play::start(vec![Action::Answer(text)]).await;
        let response = play.request(path).await;
        assert!(is_served(&response), "{response:?}");
    });
}

#[rstest]
#[case::no_content("204 No Content", 204)]
#[case::not_modified("304 Not Modified", 304)]
fn an_answer_that_ends_with_its_head_may_state_a_length(
    #[case] status: &str,
    #[case] expected: u16,
    #[values("/once/x", "/repeatable/x")] path: &str,
) {
    run(|| async move {
        let text = answer_of(status, "content-length: 42", "");
        let mut play = Play::start(vec![Action::Answer(text)]).await;
        play.caller.request("id-1", path, "").await;
        let head = play.caller.head().await.expect("an answer");
        assert!(head.starts_with(&format!("HTTP/1.1 {expected} ")), "{head}");
        play.workers[0].set_script(vec![Action::Answer(sound())]);
        assert!(is_served(&play.request(path).await));
    });
}

/// Starts two nodes of which the first reaches no endpoint and forwards what it is sent.
async fn start_forwarding(workers: &[&Worker]) -> Vec<fleet::Node> {
    let nodes = fleet::start(2, workers).await;
    nodes[0].cut(Cut::Reset);
    wait_until_served(&nodes[0]).await;
    nodes
}

async fn wait_until_served(node: &fleet::Node) {
    while !is_served(&request_over(node, "noticing", "/repeatable/x").await) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn request_over(node: &fleet::Node, id: &str, path: &str) -> Response {
    let mut caller = Caller::try_connect(node.callers).await.expect("a node");
    caller
        .request_within(id, path, Duration::from_secs(2))
        .await;
    caller.answer().await
}

/// Has an endpoint answer with each of these texts a node that forwards what it is sent.
async fn assert_failures_over_two_hops(
    answers: impl Iterator<Item = String>,
    path: &str,
    after: After,
) {
    let worker = Worker::start("e", vec![Action::Answer(sound())]).await;
    let other = worker.start_beside("f").await;
    let nodes = start_forwarding(&[&worker, &other]).await;
    for text in answers {
        worker.set_script(vec![after.to_action(text.clone())]);
        let response = request_over(&nodes[0], "id-1", path).await;
        assert!(is_failure(&response), "{text:?}: {response:?}");
        worker.set_script(vec![Action::Answer(sound())]);
        wait_until_served(&nodes[0]).await;
    }
}

/// Guards against broken answers that another node passes on as successes.
#[rstest]
#[case::codings(codings().into_iter().chain(lengths_beside_codings()).step_by(4))]
#[case::statuses(statuses().into_iter().step_by(4))]
#[case::cut_heads(cut_heads().into_iter().flatten().step_by(89))]
fn a_broken_answer_is_no_success_over_two_hops(
    // Endpoints are left alone for a while after each, which limits how many there is time for.
    #[case] answers: impl Iterator<Item = String>,
    #[values("/once/x", "/repeatable/x", "/stream/x", "/resumable/x")] path: &str,
    #[values(After::Keep, After::Close, After::Reset)] after: After,
) {
    run(|| assert_failures_over_two_hops(answers, path, after));
}
