//! Lists of endpoints in any order: changes, outages in which entries expire, restores of the platform, lists
//! that arrive late and pauses of the node, against a model that says which endpoints may be used.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use woadstage_dispatch::dispatcher::Dispatcher;
use woadstage_dispatch::edition::Era;
use woadstage_dispatch::endpoint::Endpoint;
use woadstage_dispatch::endpoint::List;
use woadstage_dispatch::job::End;
use woadstage_types::hash;

use crate::support::SERVICE;
use crate::support::at;
use crate::support::configuration;
use crate::support::endpoint;
use crate::support::job;
use crate::support::options;
use crate::support::starts;

const SEEDS: u64 = 1_000;
const STEPS: u64 = 60;
const STEP_MS: u64 = 100;
const PAUSE_MS: u64 = 2_900;
const NAMES: [&str; 5] = ["e0", "e1", "e2", "e3", "e4"];

/// What happens to the endpoints, and what the node was told of it.
struct Model {
    seed: u64,
    draws: u64,
    now_ms: u64,
    node: Dispatcher,
    /// The endpoints that run, and whether they are leaving.
    running: BTreeMap<&'static str, bool>,
    /// Those whose entries expired in an outage.
    expired: BTreeSet<&'static str>,
    /// Those that the node must not use: it was told for certain that they left.
    told_gone: BTreeSet<&'static str>,
    /// Those that it was told of and must be able to use.
    told_ready: BTreeSet<&'static str>,
    era: u64,
    revision: u64,
    settled: bool,
    sent: Vec<Arc<List>>,
}

impl Model {
    fn new(seed: u64) -> Model {
        let mut node = Dispatcher::new(options(1));
        node.set_configuration(at(0), configuration(1));
        node.observe(at(0));
        let running = NAMES.map(|name| (name, false));
        let mut model = Model {
            seed,
            draws: 0,
            now_ms: 0,
            node,
            running: running.into(),
            expired: BTreeSet::new(),
            told_gone: BTreeSet::new(),
            told_ready: BTreeSet::new(),
            era: 1,
            revision: 1,
            settled: true,
            sent: Vec::new(),
        };
        model.send();
        model
    }

    fn draw(&mut self, below: usize) -> usize {
        self.draws += 1;
        (hash::chain(self.seed, &self.draws.to_le_bytes()) % below as u64) as usize
    }

    fn draw_name(&mut self) -> &'static str {
        NAMES[self.draw(NAMES.len())]
    }

    /// Has the node read what the platform lists.
    fn send(&mut self) {
        let listed = self.running.iter();
        let listed = listed.filter(|(name, _)| !self.expired.contains(*name));
        let endpoints: Vec<Endpoint> = listed
            .clone()
            .map(|(name, leaving)| Endpoint {
                leaving: *leaving,
                ..endpoint(name, SERVICE, 4)
            })
            .collect();
        for (name, leaving) in listed {
            match leaving {
                true => (self.told_gone.insert(name), self.told_ready.remove(name)),
                false => (self.told_gone.remove(name), self.told_ready.insert(name)),
            };
        }
        if self.settled {
            for name in NAMES
                .iter()
                .filter(|name| !self.running.contains_key(*name))
            {
                self.told_gone.insert(name);
                self.told_ready.remove(name);
            }
        }
        let list = Arc::new(List {
            era: Era(self.era),
            revision: self.revision,
            settled: self.settled,
            endpoints,
            ..List::default()
        });
        self.node.set_endpoints(at(self.now_ms), list.clone());
        self.sent.push(list);
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.node.observe(at(self.now_ms));
        let name = self.draw_name();
        match self.draw(8) {
            0 => {
                self.running.remove(name);
            }
            1 => {
                self.running
                    .entry(name)
                    .and_modify(|leaving| *leaving = true);
            }
            // An endpoint that left does not come back under its name and start.
            2 if !self.told_gone.contains(name) => {
                self.running.entry(name).or_insert(false);
            }
            // The platform was away: what it lacks may still run.
            3 => {
                self.settled = false;
                self.expired = self.running.keys().copied().collect();
            }
            4 => {
                self.settled = false;
                self.era += 1;
                self.revision = 0;
            }
            // All entries are written again, and the list is complete.
            5 => {
                self.expired.clear();
                self.settled = true;
            }
            6 => {
                let late = self.draw(self.sent.len());
                let late = self.sent[late].clone();
                self.node.set_endpoints(at(self.now_ms), late);
                return;
            }
            _ => {
                self.pause();
                return;
            }
        }
        self.revision += 1;
        self.send();
    }

    /// The node stands still, reads a new list and confirms it. Before, it starts nothing.
    fn pause(&mut self) {
        self.now_ms += PAUSE_MS;
        self.node.observe(at(self.now_ms));
        let id = self
            .node
            .enter(at(self.now_ms), job(SERVICE, 1, at(self.now_ms)));
        self.node.tick(at(self.now_ms));
        assert!(starts(&mut self.node).is_empty(), "seed {}", self.seed);
        self.revision += 1;
        self.send();
        let generation = self.node.unconfirmed_opt().expect("a pause");
        self.node.confirm(at(self.now_ms), generation);
        self.check_starts(&[id]);
    }

    fn check(&mut self) {
        let now = at(self.now_ms);
        let ids: Vec<_> = (0..3)
            .map(|_| self.node.enter(now, job(SERVICE, 1, now)))
            .collect();
        self.check_starts(&ids);
    }

    fn check_starts(&mut self, entered: &[woadstage_dispatch::job::Id]) {
        let now = at(self.now_ms);
        let started = starts(&mut self.node);
        for (id, name) in &started {
            let gone = self.told_gone.contains(name.as_str());
            assert!(!gone, "seed {}: {name} is used after it left", self.seed);
            self.node.end(now, *id, End::Whole);
        }
        let is_missed = started.is_empty() && !self.told_ready.is_empty();
        assert!(
            !is_missed,
            "seed {}: {:?} are not used",
            self.seed, self.told_ready
        );
        for id in entered {
            self.node.abandon(now, *id);
        }
        starts(&mut self.node);
    }
}

/// Guards against endpoints that are used after they left, and against sound ones that are dropped, whatever
/// comes between two lists.
#[test]
fn endpoints_are_used_as_the_lists_say_in_any_order() {
    for seed in 0..SEEDS {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
            model.check();
        }
    }
}
