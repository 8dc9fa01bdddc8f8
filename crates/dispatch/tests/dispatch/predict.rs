//! Engines of unlike speeds: what is expected of them decides who goes where,
//! and who waits.

use rstest::rstest;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::dispatcher::Policy;
use woadstage_dispatch::job;
use woadstage_dispatch::job::End;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::job::Prompt;
use woadstage_types::unit::Span;

use crate::support::MODEL;
use crate::support::at;
use crate::support::configuration;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::options;
use crate::support::starts;

/// Milliseconds between two events on either engine.
const FAST: u64 = 16;
const SLOW: u64 = 70;

/// When the engines are known.
const KNOWN: u64 = 10_000;

fn routine(millis: u64, tokens: u64) -> Job {
    Job {
        pause: Some(Span::from_millis(250)),
        prompt: Prompt {
            tokens,
            output: 50,
            ..Prompt::default()
        },
        ..job(MODEL, 2, at(millis))
    }
}

/// A dispatcher that has seen many events of a fast and of a slow engine, which
/// have nothing to do now.
fn unlike_engines(policy: Policy) -> Dispatcher {
    let mut options = options(1);
    options.policy = policy;
    let mut dispatcher = Dispatcher::new(options);
    dispatcher.set_configuration(at(0), configuration(1));
    let engines = [endpoint("fast", MODEL, 1), endpoint("slow", MODEL, 2)];
    dispatcher.set_endpoints(at(0), list(1, &engines));
    for _ in 0..3 {
        dispatcher.enter(at(0), routine(0, 100));
    }
    let runs = starts(&mut dispatcher);
    assert_eq!(runs.len(), 3);
    for (run, engine) in &runs {
        let step = if engine == "fast" { FAST } else { SLOW };
        for event in 1..100 {
            dispatcher.progress(at(event * step), *run, 1);
        }
    }
    for (run, _) in runs {
        dispatcher.end(at(KNOWN), run, End::Whole);
    }
    dispatcher
}

/// Fills the fast engine, and puts a short stream on the slow one.
fn streams_on_both(dispatcher: &mut Dispatcher) -> [job::Id; 2] {
    let on_fast = dispatcher.enter(at(KNOWN), routine(KNOWN, 100));
    let on_slow = dispatcher.enter(at(KNOWN), routine(KNOWN, 100));
    let expected = [(on_fast, "fast".to_owned()), (on_slow, "slow".to_owned())];
    assert_eq!(starts(dispatcher), expected);
    [on_fast, on_slow]
}

#[test]
fn the_faster_engine_goes_first() {
    let mut dispatcher = unlike_engines(Policy::default());
    streams_on_both(&mut dispatcher);
}

#[test]
fn a_long_prompt_waits_rather_than_disturb_a_stream_on_a_slow_engine() {
    let mut dispatcher = unlike_engines(Policy::default());
    let [on_fast, _] = streams_on_both(&mut dispatcher);
    let long = dispatcher.enter(at(KNOWN + 1), routine(KNOWN + 1, 8_000));
    assert_eq!(starts(&mut dispatcher), []);
    dispatcher.end(at(KNOWN + 100), on_fast, End::Whole);
    assert_eq!(starts(&mut dispatcher), [(long, "fast".to_owned())]);
}

#[rstest]
#[case::a_short_prompt_disturbs_nobody(routine(KNOWN + 1, 500))]
#[case::no_bound_on_pauses(Job { pause: None, ..routine(KNOWN + 1, 4_000) })]
fn what_disturbs_nobody_takes_the_slow_engine(#[case] job: Job) {
    let mut dispatcher = unlike_engines(Policy::default());
    streams_on_both(&mut dispatcher);
    let id = dispatcher.enter(at(KNOWN + 1), job);
    assert_eq!(starts(&mut dispatcher), [(id, "slow".to_owned())]);
}

#[test]
fn a_long_prompt_that_cannot_be_in_time_takes_any_engine() {
    let mut dispatcher = unlike_engines(Policy::default());
    let [_, on_slow] = streams_on_both(&mut dispatcher);
    let long = dispatcher.enter(at(KNOWN + 1), routine(KNOWN + 1, 8_000));
    assert_eq!(starts(&mut dispatcher), []);
    // The slow engine is not taken for one that stands still.
    dispatcher.progress(at(KNOWN + 1_000), on_slow, 1);
    dispatcher.tick(at(KNOWN + 1_001));
    assert_eq!(starts(&mut dispatcher), [(long, "slow".to_owned())]);
}

/// A request that the slow engine could not answer within its objective.
fn hasty() -> Job {
    Job {
        objective: Span::from_millis(65),
        pause: None,
        ..routine(KNOWN + 1, 100)
    }
}

#[rstest]
#[case::it_waits(true, &[])]
#[case::it_takes_what_is_free(false, &["slow"])]
fn a_hasty_request_waits_for_an_engine_that_is_fast_enough(
    #[case] wait_for_objective: bool,
    #[case] expected: &[&str],
) {
    let mut dispatcher = unlike_engines(Policy {
        wait_for_objective,
        ..Policy::default()
    });
    streams_on_both(&mut dispatcher);
    dispatcher.enter(at(KNOWN + 1), hasty());
    let places: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, place)| place)
        .collect();
    assert_eq!(places, expected);
}

#[rstest]
#[case::those_in_time_go_first(true, 1)]
#[case::the_oldest_goes_first(false, 0)]
fn what_is_late_already_goes_behind_its_rank(#[case] late_last: bool, #[case] first: usize) {
    let mut options = options(1);
    options.policy = Policy {
        late_last,
        ..Policy::default()
    };
    let mut dispatcher = Dispatcher::new(options);
    dispatcher.set_configuration(at(0), configuration(1));
    dispatcher.set_endpoints(at(0), list(1, &[endpoint("e", MODEL, 1)]));
    let running = dispatcher.enter(at(0), job(MODEL, 2, at(0)));
    starts(&mut dispatcher);
    let late = dispatcher.enter(at(1), job(MODEL, 2, at(1)));
    // Its objective is long enough that it is let in behind the other.
    let fresh = Job {
        objective: Span::from_secs(4),
        ..job(MODEL, 2, at(900))
    };
    let fresh = dispatcher.enter(at(900), fresh);
    dispatcher.end(at(1_500), running, End::Whole);
    let expected = [late, fresh][first];
    assert_eq!(starts(&mut dispatcher), [(expected, "e".to_owned())]);
}

/// A stream whose caller estimates its tokens.
fn estimated(millis: u64, tokens: u64) -> Job {
    let job = routine(millis, 100);
    Job {
        prompt: Prompt {
            output_hint: Some(tokens),
            ..job.prompt.clone()
        },
        ..job
    }
}

/// When lengths are known as well.
const LENGTHS_KNOWN: u64 = KNOWN + 20_000;

/// Ends so many streams that had one event for ten estimated tokens.
fn learn_lengths(dispatcher: &mut Dispatcher, streams: u64) {
    for number in 0..streams {
        let begin = KNOWN + number * 12 * FAST;
        let stream = dispatcher.enter(at(begin), estimated(begin, 100));
        for event in 1..=10 {
            dispatcher.progress(at(begin + event * FAST), stream, 1);
        }
        dispatcher.end(at(begin + 11 * FAST), stream, End::Whole);
    }
    starts(dispatcher);
}

/// A stream of 100 events takes 1.6 s on the fast engine and 7 s on the slow one;
/// its caller gives it up after 8 s, and estimates are off by a third or so.
#[rstest]
#[case::over_in_time_on_any(300, 40, "slow")]
#[case::cut_off_on_the_slow_one(1_000, 40, "")]
#[case::cut_off_on_both(10_000, 40, "slow")]
#[case::lengths_are_not_known_yet(1_000, 5, "slow")]
fn a_long_stream_waits_for_an_engine_where_it_is_over_in_time(
    #[case] tokens: u64,
    #[case] streams: u64,
    #[case] engine: &str,
) {
    let mut dispatcher = unlike_engines(Policy::default());
    learn_lengths(&mut dispatcher, streams);
    // Keeps the fast engine busy.
    let short = dispatcher.enter(at(LENGTHS_KNOWN), estimated(LENGTHS_KNOWN, 10));
    assert_eq!(starts(&mut dispatcher), [(short, "fast".to_owned())]);
    let long = dispatcher.enter(at(LENGTHS_KNOWN + 1), estimated(LENGTHS_KNOWN + 1, tokens));
    let sent: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, engine)| engine)
        .collect();
    assert_eq!(sent.concat(), engine);
    dispatcher.end(at(LENGTHS_KNOWN + 50), short, End::Whole);
    if engine.is_empty() {
        assert_eq!(starts(&mut dispatcher), [(long, "fast".to_owned())]);
    }
}
