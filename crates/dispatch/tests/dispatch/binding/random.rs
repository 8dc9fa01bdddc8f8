//! Random kills, stops, cuts between nodes and rolls of the engines' software, while streams are taken
//! up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;
use woadstage_dispatch::binding::Key;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_types::code::Code;
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
    /// It is stopped, ends after this time, and restarts.
    Stop(Span),
    /// All others restart, it begins streams this long after that, and is killed.
    LoseSpared(Span),
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
        1 => span(60..400).prop_map(Step::Stop),
        1 => span(1_500..3_000).prop_map(Step::LoseSpared),
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
    nodes: u8,
    incarnations: u64,
    /// When a node was last killed, stopped or cut, or the end of that.
    disturbed: Time,
    /// The streams during which only one node at a time was disturbed, with time to recover between
    /// two, and the time before which that would have been too soon.
    owed: BTreeMap<u64, Time>,
    rolls: u64,
    /// What is due at nodes.
    due: Vec<(Time, u8, Due)>,
    /// When each stream began, and the version that began it.
    began: BTreeMap<u64, (Time, id::Software)>,
}

/// How long a node takes to be heard by the others after it restarted, and to be told of what they
/// keep.
const CONTACT: Span = Span::from_millis(1_500);

/// The first key of the streams that a spared node begins.
const FIRST_KEY_AT_SPARED: u64 = 1_000;

/// How long keepers take to be told of a stream.
const TOLD_WITHIN: Span = Span::from_millis(100);

enum Due {
    End,
    Restart,
    Heal,
    Learn,
}

impl World {
    fn start(nodes: u8) -> World {
        let mut fleet = Fleet::with_list(nodes, &list_after(0));
        fleet.run_for(QUIET);
        World {
            disturbed: fleet.now - CONTACT,
            fleet,
            nodes,
            incarnations: u64::from(nodes),
            owed: BTreeMap::new(),
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
        if !matches!(due, Due::Learn) {
            self.disturbed = self.fleet.now;
        }
        match due {
            Due::End => {
                self.fleet.nodes.remove(&node(number));
            }
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

    /// Records that a node is disturbed from now on until this time.
    fn disturb(&mut self, until: Time) {
        let now = self.fleet.now;
        let is_alone = now.since(self.disturbed) >= CONTACT && now >= self.disturbed;
        self.owed.retain(|_, earliest| is_alone && now >= *earliest);
        self.disturbed = until;
    }

    /// Restarts all other nodes, has this one begin streams after this time, kills it, and takes them
    /// up.
    fn lose_spared(&mut self, spared: u8, after: Span) {
        for number in (1..=self.nodes).filter(|number| *number != spared) {
            self.disturb(self.fleet.now);
            self.apply(number, &Due::Restart);
            self.run_for(Span::from_millis(20));
        }
        self.run_for(after.max(CONTACT));
        if !self.fleet.nodes.contains_key(&node(spared)) {
            return;
        }
        let first = self.began.len() as u64 + FIRST_KEY_AT_SPARED;
        for key in first..first + 3 {
            self.perform(spared, key, &Step::Begin);
        }
        self.run_for(TOLD_WITHIN + TOLD_WITHIN);
        self.perform(spared, 0, &Step::Kill(Span::from_millis(20)));
        self.run_for(CONTACT + TOLD_WITHIN);
        self.take_up_all();
    }

    fn perform(&mut self, number: u8, key: u64, step: &Step) {
        let number = (number - 1) % self.nodes + 1;
        let now = self.fleet.now;
        let lives = self.fleet.nodes.contains_key(&node(number));
        match step {
            Step::Begin if lives && !self.began.contains_key(&key) => {
                let (id, software) = self.fleet.begin(number, Key(key));
                self.fleet.end(number, id);
                let began = self.fleet.now;
                self.began.insert(key, (began, software));
                if began.since(self.disturbed) >= CONTACT {
                    self.owed.insert(key, began + TOLD_WITHIN);
                }
            }
            Step::LoseSpared(span) if lives => self.lose_spared(number, *span),
            Step::TakeUp if lives => self.take_up(number, key),
            Step::Kill(span) if lives => {
                self.disturb(now + *span);
                self.fleet.nodes.remove(&node(number));
                self.due.push((now + *span, number, Due::Restart));
            }
            Step::Stop(span) if lives => {
                self.disturb(now + *span);
                let stopped = self.fleet.nodes.get_mut(&node(number)).expect("it lives");
                stopped.leave();
                self.due.push((now + *span, number, Due::End));
                self.due.push((now + *span, number, Due::Restart));
            }
            Step::Cut(span) => {
                self.disturb(now + *span);
                self.fleet.cut.insert(node(number));
                self.due.push((now + *span, number, Due::Heal));
            }
            Step::Roll(span) => {
                self.rolls += 1;
                self.fleet.published = list_after(self.rolls);
                for other in 1..=self.nodes {
                    let lag =
                        Span(span.0 * u64::from(other.abs_diff(number)) / u64::from(self.nodes));
                    self.due.push((now + lag, other, Due::Learn));
                }
            }
            Step::Begin | Step::TakeUp | Step::LoseSpared(_) | Step::Kill(_) | Step::Stop(_) => {}
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
        let is_owed = self.owed.contains_key(&key) && now.since(self.disturbed) >= CONTACT;
        match self.fleet.submit(number, take_up(Some(Key(key)), now)) {
            Ok((id, taken_up)) => {
                assert_eq!(taken_up, software, "stream {key} at node {number}");
                self.fleet.end(number, id);
            }
            Err(code) => assert!(
                code != Code::StreamUnknown || !is_owed,
                "stream {key} is not known at node {number}"
            ),
        }
    }

    /// Takes all streams up at all nodes.
    fn take_up_all(&mut self) {
        let keys: Vec<u64> = self.owed.keys().copied().collect();
        for key in keys {
            for number in 1..=self.nodes {
                if self.fleet.nodes.contains_key(&node(number)) {
                    self.take_up(number, key);
                }
            }
        }
    }
}

/// Guards against a node that takes a version for the only one while another already uses the next.
#[test]
fn a_node_that_learns_of_a_version_late_does_not_guess() {
    let mut world = World::start(NODES);
    world.rolls = 1;
    world.fleet.published = list_after(1);
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

    /// Guards against streams that nobody knows although only one node at a time was disturbed.
    #[test]
    fn streams_go_on_while_nodes_are_disturbed_one_after_the_other(
        nodes in 2..=30u8,
        steps in prop::collection::vec((1..=30u8, 0u64..24, 0u64..2_500, step()), 1..40),
    ) {
        let mut world = World::start(nodes);
        for (number, key, wait, step) in &steps {
            world.perform(*number, *key, step);
            world.run_for(Span::from_millis(*wait));
        }
        world.run_for(CONTACT);
        world.take_up_all();
    }

    #[test]
    fn a_stream_never_goes_on_at_another_version(
        steps in prop::collection::vec((1..=NODES, 0u64..8, 0u64..400, step()), 1..60),
    ) {
        let mut world = World::start(NODES);
        for (number, key, wait, step) in &steps {
            world.perform(*number, *key, step);
            world.run_for(Span::from_millis(*wait));
        }
    }
}

/// Guards against requests of a cut off node that nobody decides about.
#[test]
fn a_stream_begins_at_a_node_that_is_cut_off_after_others_restarted() {
    let ms = Span::from_millis;
    let steps = [
        (1, 0, 0, Step::Kill(ms(20))),
        (1, 0, 0, Step::Roll(ms(13))),
        (29, 14, 1_749, Step::Roll(ms(368))),
        (5, 14, 156, Step::Roll(ms(851))),
        (26, 5, 443, Step::LoseSpared(ms(1_810))),
        (13, 5, 1_282, Step::Roll(ms(52))),
        (29, 5, 76, Step::Cut(ms(1_549))),
        (29, 16, 1_950, Step::Begin),
    ];
    let mut world = World::start(17);
    for (number, key, wait, step) in &steps {
        world.perform(*number, *key, step);
        world.run_for(ms(*wait));
    }
    world.run_for(CONTACT);
    world.take_up_all();
}
