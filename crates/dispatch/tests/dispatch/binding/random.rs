//! Random kills, cuts between nodes and rolls of the engines' software, while streams are taken up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;
use woadstage_dispatch::binding::Key;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;

use super::engine;
use super::fleet;
use super::fleet::Fleet;
use super::take_up;
use crate::support::list;
use crate::support::node;

const NODES: u8 = 5;

/// Longer than a stream of the tests lasts.
const QUIET: Span = Span::from_secs(17);

/// How long callers wait for a stream, over all their requests.
const PATIENCE: Span = Span::from_secs(8);

/// Something that happens to a node.
#[derive(Debug, Clone)]
enum Step {
    Begin,
    TakeUp,
    /// It is killed and restarts after this time.
    Kill(Span),
    /// It reaches no other node for this time.
    Cut(Span),
    /// The platform lists other versions. It learns of them at once, and the others by their distance
    /// from it, up to four fifths of this time later.
    Roll(Span),
}

fn step() -> impl Strategy<Value = Step> {
    let span = |range: std::ops::Range<u64>| range.prop_map(Span::from_millis);
    prop_oneof![
        4 => Just(Step::Begin),
        8 => Just(Step::TakeUp),
        2 => span(20..1_500).prop_map(Step::Kill),
        1 => span(20..2_000).prop_map(Step::Cut),
        1 => span(0..900).prop_map(Step::Roll),
    ]
}

/// The list after this many rolls: by turns one version alone, and with its successor.
fn list_after(rolls: u64) -> Arc<List> {
    let (version, is_mixed) = (rolls / 2 + 1, rolls % 2);
    let engines: Vec<Endpoint> = (0..6)
        .map(|number| {
            let software = version + number % 2 * is_mixed;
            let name = format!("e-{software}-{number}");
            engine(&name, &software.to_string(), fleet::centre(number as usize))
        })
        .collect();
    list(rolls + 1, &engines)
}

struct World {
    fleet: Fleet,
    incarnations: u64,
    rolls: u64,
    /// What is due at nodes.
    due: Vec<(Time, u8, Due)>,
    /// When each stream began, and the version that began it.
    began: BTreeMap<u64, (Time, id::Software)>,
}

enum Due {
    Restart,
    Heal,
    Learn,
}

impl World {
    fn start() -> World {
        let mut fleet = Fleet::with_list(NODES, &list_after(0));
        fleet.run_for(QUIET);
        World {
            fleet,
            incarnations: u64::from(NODES),
            rolls: 0,
            due: Vec::new(),
            began: BTreeMap::new(),
        }
    }

    fn run_for(&mut self, span: Span) {
        let until = self.fleet.now + span;
        while self.fleet.now < until {
            self.fleet.run_for(Span::from_millis(20));
            let now = self.fleet.now;
            let (due, later) = self.due.drain(..).partition(|(when, ..)| *when <= now);
            self.due = later;
            for (_, number, what) in due {
                self.apply(number, &what);
            }
        }
    }

    fn apply(&mut self, number: u8, due: &Due) {
        let newest = list_after(self.rolls);
        match due {
            Due::Restart => {
                self.incarnations += 1;
                self.fleet.start_node(number, self.incarnations, &newest);
            }
            Due::Heal => {
                self.fleet.cut.remove(&node(number));
            }
            Due::Learn => {
                let now = self.fleet.now;
                if let Some(dispatcher) = self.fleet.nodes.get_mut(&node(number)) {
                    dispatcher.set_endpoints(now, newest);
                }
            }
        }
    }

    fn perform(&mut self, number: u8, key: u64, step: &Step) {
        let now = self.fleet.now;
        let lives = self.fleet.nodes.contains_key(&node(number));
        match step {
            Step::Begin if lives && !self.began.contains_key(&key) => {
                let (id, software) = self.fleet.begin(number, Key(key));
                self.fleet.end(number, id);
                self.began.insert(key, (self.fleet.now, software));
            }
            Step::TakeUp if lives => self.take_up(number, key),
            Step::Kill(span) if lives => {
                self.fleet.nodes.remove(&node(number));
                self.due.push((now + *span, number, Due::Restart));
            }
            Step::Cut(span) => {
                self.fleet.cut.insert(node(number));
                self.due.push((now + *span, number, Due::Heal));
            }
            Step::Roll(span) => {
                self.rolls += 1;
                for other in 1..=NODES {
                    let lag = Span(span.0 * u64::from(other.abs_diff(number)) / u64::from(NODES));
                    self.due.push((now + lag, other, Due::Learn));
                }
            }
            Step::Begin | Step::TakeUp | Step::Kill(_) => {}
        }
    }

    /// Takes a stream up, which must go on at the version that began it, or not at all.
    fn take_up(&mut self, number: u8, key: u64) {
        let Some((began, software)) = self.began.get(&key).cloned() else {
            return;
        };
        let now = self.fleet.now;
        if now.since(began) > PATIENCE {
            return;
        }
        if let Ok((id, taken_up)) = self.fleet.submit(number, take_up(Some(Key(key)), now)) {
            assert_eq!(taken_up, software, "stream {key} at node {number}");
            self.fleet.end(number, id);
        }
    }
}

/// Guards against a node that takes a version for the only one while another already uses the next.
#[test]
fn a_node_that_learns_of_a_version_late_does_not_guess() {
    let mut world = World::start();
    world.rolls = 1;
    world.apply(1, &Due::Learn);
    for key in 0..8 {
        world.perform(1, key, &Step::Begin);
        world.perform(5, key, &Step::TakeUp);
    }
    let versions = world.began.values().map(|(_, software)| software);
    assert!(versions.collect::<BTreeSet<_>>().len() > 1);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn a_stream_never_goes_on_at_another_version(
        steps in prop::collection::vec((1..=NODES, 0u64..8, 0u64..400, step()), 1..60),
    ) {
        let mut world = World::start();
        for (number, key, wait, step) in &steps {
            world.perform(*number, *key, step);
            world.run_for(Span::from_millis(*wait));
        }
    }
}
