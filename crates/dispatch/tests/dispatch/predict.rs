//! The choice between engines of different speeds, and when a request waits for a faster one.

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

/// The time between two events on either engine, in milliseconds.
const FAST_STEP_MS: u64 = 16;
const SLOW_STEP_MS: u64 = 70;

/// The time by which the speeds of the engines are known, in milliseconds.
const SPEEDS_KNOWN_MS: u64 = 10_000;

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

/// Creates a dispatcher that has observed many events of a fast and a slow engine, both now idle.
fn fast_and_slow_engine(policy: Policy) -> Dispatcher {
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
        let step = if engine == "fast" {
            FAST_STEP_MS
        } else {
            SLOW_STEP_MS
        };
        for event in 1..100 {
            dispatcher.progress(at(event * step), *run, 1);
        }
    }
    for (run, _) in runs {
        dispatcher.end(at(SPEEDS_KNOWN_MS), run, End::Whole);
    }
    dispatcher
}

/// Fills the fast engine and starts a short stream on the slow one.
fn start_stream_on_each(dispatcher: &mut Dispatcher) -> [job::Id; 2] {
    let on_fast = dispatcher.enter(at(SPEEDS_KNOWN_MS), routine(SPEEDS_KNOWN_MS, 100));
    let on_slow = dispatcher.enter(at(SPEEDS_KNOWN_MS), routine(SPEEDS_KNOWN_MS, 100));
    let expected = [(on_fast, "fast".to_owned()), (on_slow, "slow".to_owned())];
    assert_eq!(starts(dispatcher), expected);
    [on_fast, on_slow]
}

#[test]
fn the_faster_engine_is_preferred() {
    let mut dispatcher = fast_and_slow_engine(Policy::default());
    start_stream_on_each(&mut dispatcher);
}

#[test]
fn a_long_prompt_waits_rather_than_delay_streams_on_a_slow_engine() {
    let mut dispatcher = fast_and_slow_engine(Policy::default());
    let [on_fast, _] = start_stream_on_each(&mut dispatcher);
    let long = dispatcher.enter(at(SPEEDS_KNOWN_MS + 1), routine(SPEEDS_KNOWN_MS + 1, 8_000));
    assert_eq!(starts(&mut dispatcher), []);
    dispatcher.end(at(SPEEDS_KNOWN_MS + 100), on_fast, End::Whole);
    assert_eq!(starts(&mut dispatcher), [(long, "fast".to_owned())]);
}

#[rstest]
#[case::short_prompt(routine(SPEEDS_KNOWN_MS + 1, 500))]
#[case::no_limit_on_pauses(Job { pause: None, ..routine(SPEEDS_KNOWN_MS + 1, 4_000) })]
fn a_request_that_delays_no_stream_takes_the_slow_engine(#[case] job: Job) {
    let mut dispatcher = fast_and_slow_engine(Policy::default());
    start_stream_on_each(&mut dispatcher);
    let id = dispatcher.enter(at(SPEEDS_KNOWN_MS + 1), job);
    assert_eq!(starts(&mut dispatcher), [(id, "slow".to_owned())]);
}

#[test]
fn a_late_long_prompt_takes_any_engine() {
    let mut dispatcher = fast_and_slow_engine(Policy::default());
    let [_, on_slow] = start_stream_on_each(&mut dispatcher);
    let long = dispatcher.enter(at(SPEEDS_KNOWN_MS + 1), routine(SPEEDS_KNOWN_MS + 1, 8_000));
    assert_eq!(starts(&mut dispatcher), []);
    // Progress keeps the slow engine from being considered stalled.
    dispatcher.progress(at(SPEEDS_KNOWN_MS + 1_000), on_slow, 1);
    dispatcher.tick(at(SPEEDS_KNOWN_MS + 1_001));
    assert_eq!(starts(&mut dispatcher), [(long, "slow".to_owned())]);
}

/// A request that the slow engine cannot answer within its objective.
fn tight_objective() -> Job {
    Job {
        objective: Span::from_millis(65),
        pause: None,
        ..routine(SPEEDS_KNOWN_MS + 1, 100)
    }
}

#[rstest]
#[case::waits(true, &[])]
#[case::takes_free_engine(false, &["slow"])]
fn a_request_with_a_tight_objective_waits_for_a_fast_engine(
    #[case] wait_for_objective: bool,
    #[case] expected: &[&str],
) {
    let mut dispatcher = fast_and_slow_engine(Policy {
        wait_for_objective,
        ..Policy::default()
    });
    start_stream_on_each(&mut dispatcher);
    dispatcher.enter(at(SPEEDS_KNOWN_MS + 1), tight_objective());
    let endpoints: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, name)| name)
        .collect();
    assert_eq!(endpoints, expected);
}

#[rstest]
#[case::in_time_first(true, 1)]
#[case::oldest_first(false, 0)]
fn late_requests_go_last_in_their_rank(#[case] late_last: bool, #[case] first: usize) {
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
    // Its objective is long enough for it to be admitted behind the other request.
    let fresh = Job {
        objective: Span::from_secs(4),
        ..job(MODEL, 2, at(900))
    };
    let fresh = dispatcher.enter(at(900), fresh);
    dispatcher.end(at(1_500), running, End::Whole);
    let expected = [late, fresh][first];
    assert_eq!(starts(&mut dispatcher), [(expected, "e".to_owned())]);
}

/// A stream with its caller's estimate of the number of tokens.
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

/// The time by which the lengths of streams are known too, in milliseconds.
const LENGTHS_KNOWN_MS: u64 = SPEEDS_KNOWN_MS + 20_000;

/// Finishes streams that each had one event for every ten estimated tokens.
fn learn_lengths(dispatcher: &mut Dispatcher, streams: u64) {
    for number in 0..streams {
        let begin = SPEEDS_KNOWN_MS + number * 12 * FAST_STEP_MS;
        let stream = dispatcher.enter(at(begin), estimated(begin, 100));
        for event in 1..=10 {
            dispatcher.progress(at(begin + event * FAST_STEP_MS), stream, 1);
        }
        dispatcher.end(at(begin + 11 * FAST_STEP_MS), stream, End::Whole);
    }
    starts(dispatcher);
}

/// A stream of 100 events takes 1.6 s on the fast engine and 7 s on the slow one. Its caller gives
/// up after 8 s, and the forecast allows for estimates that are off by about a third.
#[rstest]
#[case::in_time_on_both(300, 40, "slow")]
#[case::cut_off_on_the_slow_one(1_000, 40, "")]
#[case::cut_off_on_both(10_000, 40, "slow")]
#[case::lengths_unknown(1_000, 5, "slow")]
fn a_long_stream_waits_for_an_engine_that_finishes_in_time(
    #[case] tokens: u64,
    #[case] streams: u64,
    #[case] engine: &str,
) {
    let mut dispatcher = fast_and_slow_engine(Policy::default());
    learn_lengths(&mut dispatcher, streams);
    // Keeps the fast engine busy.
    let short = dispatcher.enter(at(LENGTHS_KNOWN_MS), estimated(LENGTHS_KNOWN_MS, 10));
    assert_eq!(starts(&mut dispatcher), [(short, "fast".to_owned())]);
    let long = dispatcher.enter(
        at(LENGTHS_KNOWN_MS + 1),
        estimated(LENGTHS_KNOWN_MS + 1, tokens),
    );
    let sent: Vec<String> = starts(&mut dispatcher)
        .into_iter()
        .map(|(_, engine)| engine)
        .collect();
    assert_eq!(sent.concat(), engine);
    dispatcher.end(at(LENGTHS_KNOWN_MS + 50), short, End::Whole);
    if engine.is_empty() {
        assert_eq!(starts(&mut dispatcher), [(long, "fast".to_owned())]);
    }
}
