//! Streams bound to the version of the software that began them, among several nodes.

use std::net::SocketAddrV4;

use rstest::rstest;
use woadstage_dispatch::binding::Answer;
use woadstage_dispatch::binding::Binding;
use woadstage_dispatch::binding::Keeper;
use woadstage_dispatch::binding::Key;
use woadstage_dispatch::binding::Question;
use woadstage_dispatch::binding::Registry;
use woadstage_dispatch::binding::Reply;
use woadstage_dispatch::binding::Statement;
use woadstage_dispatch::binding::Stream;
use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::job;
use woadstage_dispatch::job::Job;
use woadstage_dispatch::link::Probe;
use woadstage_dispatch::message::Message;
use woadstage_dispatch::message::Status;
use woadstage_dispatch::protocol::Protocol;
use woadstage_types::code::Code;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use crate::support::MODEL;
use crate::support::at;
use crate::support::dispatcher;
use crate::support::dispatcher_at;
use crate::support::endpoint;
use crate::support::job;
use crate::support::list;
use crate::support::node;
use crate::support::refusals;
use crate::support::starts;

mod all_lost;
mod cut_off;
pub mod fleet;
mod links_lost;
mod origin_lost;
mod random;

use fleet::Fleet;

const KEY: Key = Key(77);

fn engine(name: &str, software: &str, centre: &str) -> Endpoint {
    Endpoint {
        software: Some(id::Software::new(software)),
        data_centre: id::DataCentre::new(centre),
        ..endpoint(name, MODEL, 4)
    }
}

/// Returns this many engines of each version, in the data centres in turn.
fn engines_of(versions: &[&str], count: usize) -> Vec<Endpoint> {
    let numbers = versions
        .iter()
        .flat_map(|software| (0..count).map(move |number| (software, number)));
    let engines = numbers.map(|(software, number)| {
        let name = format!("e-{software}-{number}");
        engine(&name, software, fleet::centre(number))
    });
    engines.collect()
}

/// Returns the engines after some of them have started again with other software.
fn with_restarted(
    engines: &[Endpoint],
    software: &str,
    is_restarted: impl Fn(&Endpoint) -> bool,
) -> Vec<Endpoint> {
    let engines = engines.iter().map(|engine| match is_restarted(engine) {
        true => Endpoint {
            started_at: engine.started_at + 1,
            software: Some(id::Software::new(software)),
            ..engine.clone()
        },
        false => engine.clone(),
    });
    engines.collect()
}

fn two_versions() -> Vec<Endpoint> {
    vec![engine("one", "1", "a"), engine("two", "2", "a")]
}

/// A request for a stream that its caller may take up.
fn stream(key: Key, arrived: Time) -> Job {
    Job {
        repeatable: true,
        stream: Some(Stream {
            key,
            until: arrived + Span::from_secs(8),
        }),
        ..job(MODEL, 0, arrived)
    }
}

fn take_up(key: Option<Key>, arrived: Time) -> Job {
    Job {
        binding: Binding::TakesUp(key),
        ..stream(key.unwrap_or(KEY), arrived)
    }
}

#[rstest]
#[case::small(5)]
#[case::cells(24)]
#[case::many_cells(72)]
fn a_stream_is_taken_up_elsewhere_after_its_node_died(#[case] nodes: u8) {
    let mut fleet = Fleet::start(nodes);
    for round in 0..6 {
        let key = Key(u64::from(round) * 1_000_003);
        let (begins, takes_up) = (1 + round % 2, nodes - round % 3);
        let (begun, software) = fleet.begin(begins, key);
        fleet.run_for(Span::from_millis(40));
        let died = fleet.nodes.remove(&node(begins));
        let request = take_up(Some(key), fleet.now);
        let taken_up = fleet.submit(takes_up, request);
        let (id, taken_up) = taken_up.expect("the stream goes on");
        assert_eq!(taken_up, software, "round {round}");
        fleet.end(takes_up, id);
        fleet.nodes.insert(node(begins), died.expect("it lived"));
        fleet.end(begins, begun);
        fleet.run_for(Span::from_secs(2));
    }
}

#[test]
fn a_stopping_node_hands_over_what_it_keeps() {
    let mut fleet = Fleet::start(7);
    let (_, software) = fleet.begin(2, KEY);
    fleet.run_for(Span::from_millis(40));
    // One after the other, all nodes but one stop.
    for number in 1..=6 {
        fleet
            .nodes
            .get_mut(&node(number))
            .expect("it lives")
            .leave();
        fleet.run_for(Span::from_millis(300));
        fleet.nodes.remove(&node(number));
    }
    let request = take_up(Some(KEY), fleet.now);
    let taken_up = fleet.submit(7, request).map(|(_, software)| software);
    assert_eq!(taken_up, Ok(software));
}

#[test]
fn a_stream_that_no_node_recorded_is_not_run() {
    let mut fleet = Fleet::start(5);
    for key in [Some(KEY), None] {
        let request = take_up(key, fleet.now);
        assert_eq!(fleet.submit(3, request).err(), Some(Code::StreamUnknown));
    }
}

#[test]
fn the_records_of_another_customer_are_not_found() {
    assert_ne!(Key::new(Some(1), "id"), Key::new(Some(2), "id"));
    assert_ne!(Key::new(Some(1), "id"), Key::new(None, "id"));
}

/// Enters a request that takes a stream up at this time. Returns whether it is not refused.
fn runs(dispatcher: &mut Dispatcher, when: Time) -> bool {
    dispatcher.enter(when, take_up(Some(KEY), when));
    refusals(dispatcher).is_empty()
}

/// The routes of the tests have a timeout of 8 s, and records are kept for at most 120 s.
#[test]
fn one_version_must_have_served_alone_for_longer_than_a_stream_lasts() {
    let one = [engine("one", "1", "a")];
    let mut dispatcher = dispatcher_at(at(0), &one);
    assert!(!runs(&mut dispatcher, at(119_000)));
    assert!(runs(&mut dispatcher, at(120_000)));
    dispatcher.set_endpoints(at(121_000), list(2, &two_versions()));
    assert!(!runs(&mut dispatcher, at(121_001)));
    dispatcher.set_endpoints(at(124_000), list(3, &one));
    assert!(!runs(&mut dispatcher, at(243_000)));
    assert!(runs(&mut dispatcher, at(244_001)));
    dispatcher.set_platform_unreachable(true);
    assert!(!runs(&mut dispatcher, at(244_002)));
}

#[test]
fn one_version_counts_as_alone_while_the_platform_is_away_if_all_nodes_are_heard() {
    let mut dispatcher = dispatcher(&[engine("one", "1", "a")]);
    dispatcher.set_platform_unreachable(true);
    let hear = |dispatcher: &mut Dispatcher, millis, revision| {
        let status = Status {
            incarnation: 2,
            sequence: millis,
            endpoints: list(revision, &[]).edition(),
            ..Status::default()
        };
        dispatcher.receive_status(at(millis), node(2), status);
    };
    hear(&mut dispatcher, 20_000, 1);
    assert!(runs(&mut dispatcher, at(20_100)));
    hear(&mut dispatcher, 20_200, 2);
    let id = dispatcher.enter(at(20_300), take_up(Some(KEY), at(20_300)));
    assert_eq!(dispatcher.take_up_opt(id), None);
}

#[test]
fn a_version_that_is_not_listed_counts_as_another() {
    let unknown = Endpoint {
        software: None,
        ..engine("two", "", "a")
    };
    let mut dispatcher = dispatcher(&[engine("one", "1", "a"), unknown]);
    assert!(!runs(&mut dispatcher, at(60_000)));
}

#[test]
fn a_stream_begun_at_an_unknown_version_is_not_resumed() {
    let unknown = |name: &str| Endpoint {
        software: None,
        ..engine(name, "", "a")
    };
    let mut dispatcher = dispatcher(&[unknown("one"), unknown("two")]);
    let id = dispatcher.enter(at(1), stream(KEY, at(1)));
    dispatcher.bind(at(2), id, None);
    dispatcher.take_decisions();
    dispatcher.end(at(3), id, job::End::Lost);
    let refused = refusals(&mut dispatcher);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1, Code::StreamUnknown);
}

#[test]
fn a_stream_that_brought_no_event_may_begin_anew_anywhere() {
    let mut dispatcher = dispatcher(&two_versions());
    let id = dispatcher.enter(at(1), stream(KEY, at(1)));
    let first = starts(&mut dispatcher);
    dispatcher.end(at(2), id, job::End::Lost);
    let second = starts(&mut dispatcher);
    assert_ne!(first[0].1, second[0].1);
}

#[test]
fn a_request_that_waits_for_its_version_holds_up_no_others() {
    let mut dispatcher = dispatcher(&two_versions());
    let bound = |when| Job {
        binding: Binding::Software(id::Software::new("1")),
        ..stream(KEY, when)
    };
    for millis in 1..=40 {
        dispatcher.enter(at(millis), bound(at(millis)));
    }
    let at_one = starts(&mut dispatcher);
    assert!(at_one.len() < 40 && at_one.iter().all(|(_, name)| name == "one"));
    dispatcher.enter(at(50), stream(Key(1), at(50)));
    let others = starts(&mut dispatcher);
    assert_eq!(others.len(), 1);
    assert_eq!(others[0].1, "two");
}

/// Take-ups that waited for seconds made the forecast refuse new streams beside idle endpoints.
#[test]
fn a_request_whose_version_is_out_of_reach_does_not_wait_for_long() {
    let mut dispatcher = dispatcher(&two_versions());
    let one = engine("one", "1", "a");
    assert!(dispatcher.probe_target_opt(at(0), &one).is_some());
    dispatcher.record_probe(at(0), &one, Probe::Failed);
    let bound = Job {
        binding: Binding::Software(id::Software::new("1")),
        ..stream(KEY, at(10))
    };
    dispatcher.enter(at(10), bound);
    for millis in (20..=500).step_by(20) {
        dispatcher.tick(at(millis));
    }
    let refused = refusals(&mut dispatcher);
    assert_eq!(refused.len(), 1);
    let (_, code, retry_after) = refused[0];
    assert_eq!(code, Code::SoftwareGone);
    assert!(retry_after.is_some());
}

/// Returns a dispatcher that hears of this many other nodes, of this protocol.
fn with_peers(count: u8, protocol: Protocol) -> Dispatcher {
    let mut dispatcher = dispatcher(&two_versions());
    for number in 2..2 + count {
        let status = Status {
            incarnation: u64::from(number),
            sequence: 1,
            protocol,
            ..Status::default()
        };
        dispatcher.receive_status(at(0), node(number), status);
    }
    dispatcher
}

fn questions(dispatcher: &mut Dispatcher) -> Vec<(SocketAddrV4, u64)> {
    let messages = dispatcher.take_messages().into_iter();
    let questions = messages.filter_map(|(to, message)| match message {
        Message::BindingQuestion(question) => Some((to, question.number)),
        _ => None,
    });
    questions.collect()
}

#[test]
fn nodes_of_an_older_build_are_not_asked() {
    let mut dispatcher = with_peers(3, Protocol::TOLERANCES);
    dispatcher.enter(at(1), take_up(Some(KEY), at(1)));
    assert!(questions(&mut dispatcher).is_empty());
    let refused = refusals(&mut dispatcher);
    assert_eq!((refused[0].1, refused[0].2), (Code::StreamUnknown, None));
}

#[test]
fn a_record_outweighs_the_word_of_a_node_that_saw_one_version_alone() {
    let mut dispatcher = with_peers(2, Protocol::CURRENT);
    dispatcher.enter(at(1), take_up(Some(KEY), at(1)));
    let asked = questions(&mut dispatcher);
    assert_eq!(asked.len(), 2);
    let reply = |answer| Reply {
        number: asked[0].1,
        answer,
    };
    let sole = Answer::Sole(id::Software::new("2"));
    dispatcher.receive_binding_reply(at(2), asked[0].0, reply(sole));
    assert!(starts(&mut dispatcher).is_empty());
    let known = Answer::Known {
        software: id::Software::new("1"),
        age: Span::from_millis(9),
    };
    dispatcher.receive_binding_reply(at(3), asked[1].0, reply(known));
    let started = starts(&mut dispatcher);
    assert_eq!(started[0].1, "one");
    let found = dispatcher.take_up_opt(started[0].0).expect("a take-up");
    assert_eq!(found.source.node_opt(), Some(asked[1].0));
}

#[test]
fn a_version_does_not_count_as_alone_if_another_node_saw_several() {
    let mut dispatcher = with_peers(2, Protocol::CURRENT);
    dispatcher.enter(at(1), take_up(Some(KEY), at(1)));
    let asked = questions(&mut dispatcher);
    let answers = [Answer::Sole(id::Software::new("1")), Answer::Several];
    for ((node, number), answer) in asked.into_iter().zip(answers) {
        dispatcher.receive_binding_reply(at(2), node, Reply { number, answer });
    }
    assert_eq!(refusals(&mut dispatcher)[0].1, Code::StreamUnknown);
}

#[test]
fn a_stream_is_not_resumed_by_another_record_if_one_is_disputed() {
    let mut keeper = with_peers(1, Protocol::CURRENT);
    keeper.receive_bindings(at(1), node(2), &[statement(KEY.0, "1")]);
    keeper.receive_bindings(at(1), node(2), &[statement(KEY.0, "2")]);
    keeper.take_messages();
    let question = Question {
        number: 1,
        key: KEY,
        service: 1,
        lifetime: Span::from_secs(16),
    };
    keeper.answer_binding(at(2), node(2), question);
    let replies = keeper.take_messages();
    let [(_, Message::BindingReply(reply))] = &replies[..] else {
        panic!("one reply: {replies:?}");
    };
    assert_eq!(reply.answer, Answer::Disputed);
    let mut dispatcher = with_peers(2, Protocol::CURRENT);
    dispatcher.enter(at(1), take_up(Some(KEY), at(1)));
    let asked = questions(&mut dispatcher);
    let disputed = Reply {
        number: asked[0].1,
        answer: Answer::Disputed,
    };
    dispatcher.receive_binding_reply(at(2), asked[0].0, disputed);
    assert_eq!(refusals(&mut dispatcher)[0].1, Code::StreamUnknown);
}

#[test]
fn a_caller_may_retry_if_a_node_that_was_asked_stays_silent() {
    let mut dispatcher = with_peers(2, Protocol::CURRENT);
    dispatcher.enter(at(1), take_up(Some(KEY), at(1)));
    let asked = questions(&mut dispatcher);
    let reply = Reply {
        number: asked[0].1,
        answer: Answer::Unknown,
    };
    dispatcher.receive_binding_reply(at(2), asked[0].0, reply);
    dispatcher.tick(at(70));
    assert_eq!(questions(&mut dispatcher).len(), 1);
    assert!(refusals(&mut dispatcher).is_empty());
    dispatcher.tick(at(140));
    let refused = refusals(&mut dispatcher);
    assert_eq!(refused[0].1, Code::StreamUnknown);
    assert!(refused[0].2.is_some());
}

#[test]
fn a_caller_that_leaves_during_an_inquiry_leaves_nothing_behind() {
    let mut dispatcher = with_peers(2, Protocol::CURRENT);
    let id = dispatcher.enter(at(1), take_up(Some(KEY), at(1)));
    assert_eq!(dispatcher.held(), 1);
    dispatcher.abandon(at(2), id);
    assert_eq!(dispatcher.held(), 0);
    dispatcher.tick(at(200));
    assert!(refusals(&mut dispatcher).is_empty());
}

fn statement(key: u64, software: &str) -> Statement {
    Statement {
        key: Key(key),
        service: 1,
        software: id::Software::new(software),
        valid_for: Span::from_secs(9),
    }
}

#[test]
fn a_stream_of_which_two_versions_are_stated_is_not_resumed() {
    let mut registry = Registry::default();
    registry.record_stated(at(0), &statement(1, "1"), None);
    let found = registry.find_opt(at(5), Key(1)).expect("a record");
    assert_eq!(found.software, Some(id::Software::new("1")));
    registry.record_stated(at(6), &statement(1, "2"), None);
    let found = registry.find_opt(at(7), Key(1)).expect("a record");
    assert_eq!(found.software, None);
}

#[test]
fn records_expire_and_are_bounded() {
    let mut registry = Registry::default();
    for key in 0..70_000 {
        let kept_longer = Statement {
            valid_for: Span::from_secs(10 + key % 2),
            ..statement(key, "1")
        };
        registry.record_stated(at(0), &kept_longer, None);
    }
    assert_eq!(registry.len(), 65_536);
    registry.expire(at(10_000));
    assert_eq!(registry.len(), 35_000);
    registry.expire(at(11_000));
    assert!(registry.is_empty());
}

#[test]
fn a_keeper_is_told_until_it_confirms_and_again_after_it_restarted() {
    let mut registry = Registry::default();
    let stream = Stream {
        key: KEY,
        until: at(20_000),
    };
    registry.record_own(at(0), stream, 1, &id::Software::new("1"), None);
    let keeper = |incarnation| Keeper {
        node: node(2),
        incarnation,
    };
    let told = |registry: &mut Registry, millis, incarnation| {
        let due = registry.take_due(at(millis));
        let is_live = |other: &Keeper| *other == keeper(incarnation);
        let rank = |_| vec![keeper(incarnation)];
        let stated = due
            .iter()
            .filter_map(|key| registry.state(at(millis), *key, is_live, rank));
        stated.count()
    };
    assert_eq!(told(&mut registry, 0, 1), 1);
    assert_eq!(told(&mut registry, 50, 1), 0);
    assert_eq!(told(&mut registry, 100, 1), 1);
    registry.confirm(keeper(1), &[KEY]);
    assert_eq!(told(&mut registry, 200, 1), 0);
    assert_eq!(told(&mut registry, 700, 2), 1);
    assert_eq!(told(&mut registry, 800, 2), 1);
    registry.confirm(keeper(2), &[KEY]);
    assert_eq!(told(&mut registry, 900, 2), 0);
}

/// Returns a dispatcher without a platform, one of whose two endpoints of one version has ended.
fn with_ended_endpoint() -> (Dispatcher, Endpoint) {
    let engines = [engine("one", "1", "a"), engine("two", "1", "a")];
    let mut dispatcher = dispatcher(&engines);
    for second in 1..=20 {
        dispatcher.tick(at(second * 1_000));
    }
    dispatcher.set_platform_unreachable(true);
    let [one, two] = engines;
    dispatcher.record_refused(at(20_100), &one);
    dispatcher.record_connected(at(20_120), &two);
    dispatcher.tick(at(20_140));
    (dispatcher, one)
}

/// Guards against streams of two versions: an endpoint that starts again while the platform is out of
/// reach is listed with the version of its earlier start.
#[test]
fn a_stream_begun_at_another_start_of_an_endpoint_is_bound_to_nothing() {
    let (mut dispatcher, one) = with_ended_endpoint();
    assert_eq!(dispatcher.software_opt(&one), None);
    for key in 0..6 {
        dispatcher.enter(at(20_200), stream(Key(key), at(20_200)));
    }
    let started = starts(&mut dispatcher);
    assert!(started.iter().any(|(_, name)| name == "one"));
    for (id, name) in started {
        dispatcher.bind(at(20_300), id, None);
        dispatcher.end(at(20_400), id, job::End::Lost);
        let refused = refusals(&mut dispatcher);
        let expected = match name.as_str() {
            "one" => Code::StreamUnknown,
            _ => Code::SoftwareGone,
        };
        assert_eq!(refused[0].1, expected, "begun at {name}");
    }
}

/// Guards against the same when a stream of the earlier version is resumed.
#[test]
fn a_bound_stream_is_not_resumed_at_another_start_of_an_endpoint() {
    let (mut dispatcher, _) = with_ended_endpoint();
    for key in 0..6 {
        let when = at(20_200 + key);
        let bound = Job {
            binding: Binding::Software(id::Software::new("1")),
            ..stream(Key(key), when)
        };
        dispatcher.enter(when, bound);
    }
    let started = starts(&mut dispatcher);
    assert!(!started.is_empty() && started.iter().all(|(_, name)| name == "two"));
}

/// Guards against streams that can't be taken up beside a sound endpoint that was taken for another.
#[test]
fn an_endpoint_that_stays_listed_as_it_was_is_known_again_once_the_platform_is_back() {
    let (mut dispatcher, one) = with_ended_endpoint();
    let tick_until = |dispatcher: &mut Dispatcher, from: u64, until: u64| {
        for millis in (from..=until).step_by(100) {
            dispatcher.tick(at(millis));
        }
    };
    tick_until(&mut dispatcher, 20_200, 40_000);
    assert_eq!(dispatcher.software_opt(&one), None);
    dispatcher.set_platform_unreachable(false);
    tick_until(&mut dispatcher, 40_100, 43_900);
    assert_eq!(dispatcher.software_opt(&one), None);
    tick_until(&mut dispatcher, 44_000, 44_200);
    assert_eq!(dispatcher.software_opt(&one), Some(&id::Software::new("1")));
}
