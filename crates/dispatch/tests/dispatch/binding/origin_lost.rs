//! Streams are taken up after the node that served their callers is gone, whatever happened to the
//! other nodes before.

use std::sync::Arc;

use rstest::rstest;
use woadstage_dispatch::binding::Key;
use woadstage_dispatch::endpoint::List;
use woadstage_types::unit::Span;

use super::engines_of;
use super::fleet::Fleet;
use super::take_up;
use crate::support::list;
use crate::support::node;

/// The node that serves the callers.
const ORIGIN: u8 = 1;

const STREAMS: u64 = 18;

/// Longer than a stream of the tests lasts.
const QUIET: Span = Span::from_secs(17);

/// The time between the steps of restarts in turn, all of which take less than a stream lasts.
const PACE: Span = Span::from_millis(100);

/// What happens to the other nodes, beside the end of the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Others {
    Stay,
    /// Each is stopped and started, one after the other, before the streams begin.
    StopInTurn,
    /// The same while the streams run.
    StopInTurnMeanwhile,
    /// Each is killed and started, one after the other, before the streams begin.
    DieInTurn,
    /// All are killed and started at one moment, before the streams begin.
    DieTogether,
    /// The same while the streams run.
    DieTogetherMeanwhile,
    /// Another version is listed after the origin was lost.
    LearnOfAnotherVersion,
}

/// How the origin is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Kill,
    /// It no longer answers, and is not known to be gone yet.
    Freeze,
    /// It is stopped, and hands over what it knows.
    Stop,
}

fn list_of(versions: &[&str], revision: u64) -> Arc<List> {
    list(revision, &engines_of(versions, 6))
}

fn restart(fleet: &mut Fleet, number: u8, list: &Arc<List>) {
    let incarnation = 1_000 + fleet.now.0;
    fleet.start_node(number, incarnation, list);
}

fn disturb(fleet: &mut Fleet, others: Others, list: &Arc<List>) {
    let numbers = 2..=u8::try_from(fleet.nodes.len()).expect("few nodes");
    for number in numbers {
        match others {
            Others::Stay | Others::LearnOfAnotherVersion => return,
            Others::StopInTurn | Others::StopInTurnMeanwhile => {
                let stopped = fleet.nodes.get_mut(&node(number)).expect("it lives");
                stopped.leave();
                fleet.run_for(PACE);
                fleet.nodes.remove(&node(number));
                restart(fleet, number, list);
                fleet.run_for(PACE);
            }
            Others::DieInTurn => {
                fleet.nodes.remove(&node(number));
                fleet.run_for(PACE);
                restart(fleet, number, list);
                fleet.run_for(PACE);
            }
            Others::DieTogether | Others::DieTogetherMeanwhile => {
                restart(fleet, number, list);
            }
        }
    }
    fleet.run_for(Span::from_millis(600));
}

fn lose(fleet: &mut Fleet, loss: Loss) {
    match loss {
        Loss::Kill => {
            fleet.nodes.remove(&node(ORIGIN));
        }
        Loss::Freeze => {
            fleet.cut.insert(node(ORIGIN));
        }
        Loss::Stop => {
            let stopped = fleet.nodes.get_mut(&node(ORIGIN)).expect("it lives");
            stopped.leave();
            fleet.run_for(Span::from_millis(300));
            fleet.nodes.remove(&node(ORIGIN));
        }
    }
}

/// Guards against relying on other nodes to know that one version alone has served: nodes that
/// started since did not see it, and those that hear of another version can't tell when a stream began.
#[rstest]
fn streams_go_on_after_their_node_is_lost(
    #[values(6, 30)] nodes: u8,
    #[values(
        Others::Stay,
        Others::StopInTurn,
        Others::StopInTurnMeanwhile,
        Others::DieInTurn,
        Others::DieTogether,
        Others::DieTogetherMeanwhile,
        Others::LearnOfAnotherVersion
    )]
    others: Others,
    #[values(Loss::Kill, Loss::Freeze, Loss::Stop)] loss: Loss,
) {
    let one = list_of(&["1"], 1);
    let mut fleet = Fleet::with_list(nodes, &one);
    fleet.run_for(QUIET);
    let is_meanwhile = matches!(
        others,
        Others::StopInTurnMeanwhile | Others::DieTogetherMeanwhile
    );
    if !is_meanwhile {
        disturb(&mut fleet, others, &one);
    }
    for key in 0..STREAMS {
        let (id, _) = fleet.begin(ORIGIN, Key(key * 1_000_003));
        fleet.end(ORIGIN, id);
    }
    fleet.run_for(Span::from_millis(60));
    if is_meanwhile {
        disturb(&mut fleet, others, &one);
    }
    lose(&mut fleet, loss);
    if others == Others::LearnOfAnotherVersion {
        fleet.run_for(Span::from_millis(200));
        fleet.publish(&list_of(&["1", "2"], 2));
        fleet.run_for(Span::from_millis(400));
    }
    let mut refused = 0;
    for key in 0..STREAMS {
        let number = 2 + u8::try_from(key % u64::from(nodes - 1)).expect("few nodes");
        let request = take_up(Some(Key(key * 1_000_003)), fleet.now);
        match fleet.submit(number, request) {
            Ok((id, software)) => {
                assert_eq!(software.as_str(), "1");
                fleet.end(number, id);
            }
            Err(_) => refused += 1,
        }
    }
    assert_eq!(refused, 0, "refused of {STREAMS}");
}

/// Guards against streams whose keepers end one after the other, once their node is gone.
#[rstest]
fn streams_go_on_after_their_node_and_all_its_keepers_died_in_turn(#[values(6, 30)] nodes: u8) {
    let one = list_of(&["1"], 1);
    let mut fleet = Fleet::with_list(nodes, &one);
    fleet.run_for(QUIET);
    for number in 2..=nodes {
        restart(&mut fleet, number, &one);
    }
    fleet.run_for(Span::from_secs(2));
    let key = Key(1);
    let (id, _) = fleet.begin(ORIGIN, key);
    fleet.end(ORIGIN, id);
    fleet.run_for(Span::from_millis(60));
    let mut lost = ORIGIN;
    for _ in 0..4 {
        fleet.nodes.remove(&node(lost));
        fleet.run_for(Span::from_millis(1_800));
        let keeps = |number: &u8| fleet.nodes[&node(*number)].binding_count() > 0;
        let live = (2..=nodes).filter(|number| fleet.nodes.contains_key(&node(*number)));
        let keepers: Vec<u8> = live.filter(keeps).collect();
        assert!(keepers.len() >= 2, "{keepers:?} after {lost} died");
        lost = keepers[0];
    }
    let number =
        (2..=nodes).rfind(|number| *number != lost && fleet.nodes.contains_key(&node(*number)));
    let request = take_up(Some(key), fleet.now);
    let taken_up = fleet.submit(number.expect("some live"), request);
    assert!(taken_up.is_ok(), "{taken_up:?}");
}
