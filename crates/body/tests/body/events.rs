//! Tests of finding the ends of events, also against a plain reference.

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::select;
use rstest::rstest;
use woadstage_body::events::Scanner;
use woadstage_body::events::last_id;

macro_rules! streams {
    ($($name:ident: $parts:expr => $events:expr, $inside:expr;)*) => {
        #[rstest]
        $(#[case::$name(&$parts, $events, $inside)])*
        fn ends_of_events_are_found(
            #[case] parts: &[&str],
            #[case] events: u32,
            #[case] inside: bool,
        ) {
            let mut scanner = Scanner::default();
            let counts = parts.iter().map(|part| scanner.push(part.as_bytes()).events);
            assert_eq!(counts.sum::<u32>(), events);
            assert_eq!(scanner.is_inside_event(), inside);
        }
    };
}

streams! {
    nothing: [] => 0, false;
    line_feeds: ["data: a\n\ndata: b\n\n"] => 2, false;
    carriage_returns_and_line_feeds: ["data: a\r\n\r\ndata: b\r\n\r\n"] => 2, false;
    carriage_returns: ["data: a\r\rdata: b\r\r"] => 2, false;
    mixed_line_ends: ["data: a\r\n\ndata: b\n\r\n"] => 2, false;
    end_divided_by_reads: ["data: a\n", "\ndata: b\r\n\r", "\ndata: c\r", "\r"] => 3, false;
    inside_a_line: ["data: a\n\nda"] => 1, true;
    after_a_line: ["data: a\n\ndata: b\n"] => 1, true;
    comments: [": a\n\n: b\n"] => 0, false;
    inside_a_comment: [": a"] => 0, true;
    comment_within_an_event: ["data: a\n: b\n"] => 0, true;
    further_empty_lines: ["data: a\n\n\n\n"] => 1, false;
    byte_order_mark: ["\u{feff}data: a\n\n"] => 1, false;
    byte_order_mark_alone: ["\u{feff}"] => 0, false;
}

#[test]
fn the_last_id_is_found_for_every_line_end() {
    for end in ["\n", "\r\n", "\r"] {
        let events =
            format!("id: 1{end}data: a{end}{end}id:2{end}data: b{end}{end}data: c{end}{end}");
        assert_eq!(
            last_id(events.as_bytes()).as_deref(),
            Some("2"),
            "{events:?}"
        );
    }
}

/// Returns the number of events in a stream, and whether it ends inside one.
fn scan_plainly(stream: &[u8]) -> (u32, bool) {
    let stream = stream.strip_prefix("\u{feff}".as_bytes()).unwrap_or(stream);
    let text = String::from_utf8_lossy(stream)
        .replace("\r\n", "\n")
        .replace('\r', "\n");
    let (whole, rest) = text.rsplit_once('\n').unwrap_or(("", &text));
    let lines = if text.contains('\n') {
        whole.split('\n').collect()
    } else {
        Vec::new()
    };
    let (mut events, mut has_field) = (0, false);
    for line in lines {
        if line.is_empty() {
            events += u32::from(std::mem::take(&mut has_field));
        } else {
            has_field |= !line.starts_with(':');
        }
    }
    (events, has_field || !rest.is_empty())
}

fn parts() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let pieces: [&[u8]; 9] = [
        b"\n", b"\r", b"\r\n", b":", b"data: a", b"id: 1", b"\xef", b"\xbb", b"\xbf",
    ];
    vec(
        vec(select(pieces.to_vec()), 0..5).prop_map(|pieces| pieces.concat()),
        0..8,
    )
}

proptest! {
    #[test]
    fn divided_streams_are_scanned_like_whole_ones(parts in parts()) {
        let mut scanner = Scanner::default();
        let (mut seen, mut events) = (Vec::new(), 0);
        for part in &parts {
            let progress = scanner.push(part);
            events += progress.events;
            if let Some(length) = progress.outside_at {
                let prefix = [&seen, &part[..length]].concat();
                prop_assert!(!scan_plainly(&prefix).1, "{prefix:?}");
            }
            seen.extend_from_slice(part);
        }
        let partial_mark = seen == b"\xef" || seen == b"\xef\xbb";
        prop_assert_eq!((events, scanner.is_inside_event()), (scan_plainly(&seen).0, scan_plainly(&seen).1 || partial_mark));
    }
}
