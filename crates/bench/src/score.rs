//! What is measured of a run.

use woadstage_standin::world::Answer;
use woadstage_standin::world::World;
use woadstage_types::unit::Time;

use crate::bound;
use crate::load::Deployment;
use crate::taken::TIERS;
use crate::taken::Taken;

/// The score of one run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Score {
    /// Requests that came, by tier.
    pub asked: [u64; TIERS],
    /// Whole answers in time, by tier.
    pub good: [u64; TIERS],
    /// The most of each tier that an all-knowing scheduler could serve if it
    /// served that tier alone.
    pub bound: [u64; TIERS],
    /// Prompt tokens computed and thrown away.
    pub wasted: u64,
    /// Prompt tokens that engines took from their caches.
    pub cached: u64,
    /// Requests of the top tier that were shed although a less protected one
    /// was begun between their arrival and that.
    pub out_of_order: u64,
    /// First tokens, in milliseconds after arrival, at the 95th in 100 of the
    /// top tier's answers.
    pub first_p95_ms: u64,
    /// Calls made.
    pub called: u64,
    /// Messages between nodes.
    pub messages: u64,
}

impl Score {
    /// All whole answers in time.
    pub fn total(&self) -> u64 {
        self.good.iter().sum()
    }

    /// Adds another run's counts; the 95th is the worse of the two.
    pub fn add(&mut self, other: &Score) {
        for tier in 0..TIERS {
            self.asked[tier] += other.asked[tier];
            self.good[tier] += other.good[tier];
            self.bound[tier] += other.bound[tier];
        }
        self.wasted += other.wasted;
        self.cached += other.cached;
        self.out_of_order += other.out_of_order;
        self.first_p95_ms = self.first_p95_ms.max(other.first_p95_ms);
        self.called += other.called;
        self.messages += other.messages;
    }
}

/// Scores a world that has run.
pub fn of(world: &World, deployment: &Deployment, taken: &[Taken]) -> Score {
    let mut score = Score {
        wasted: world.wasted,
        cached: world.cached,
        ..Score::default()
    };
    score.called = world.called;
    score.messages = world.messages;
    let mut firsts = Vec::new();
    for Taken { id, request } in taken {
        let class = &deployment.classes[request.class];
        let tier = usize::from(class.tier);
        score.asked[tier] += 1;
        let asked = &world.asked[id];
        let in_time = asked
            .answers
            .iter()
            .any(|(at, answer)| matches!(answer, Answer::Whole { .. }) && *at <= asked.deadline);
        if !in_time {
            continue;
        }
        score.good[tier] += 1;
        if let Some(first) = asked.first.filter(|_| tier == 0) {
            firsts.push(first.since(asked.at).0 / 1_000);
        }
    }
    firsts.sort();
    score.first_p95_ms = firsts.get(firsts.len() * 95 / 100).copied().unwrap_or(0);
    score.bound = bound::of(deployment, taken);
    score.out_of_order = out_of_order(world, deployment, taken);
    score
}

fn out_of_order(world: &World, deployment: &Deployment, taken: &[Taken]) -> u64 {
    let tier = |taken: &Taken| deployment.classes[taken.request.class].tier;
    let mut lower: Vec<Time> = taken
        .iter()
        .filter(|taken| tier(taken) > 0)
        .filter_map(|taken| world.begun.get(&taken.id).copied())
        .collect();
    lower.sort();
    let top = taken.iter().filter(|taken| tier(taken) == 0);
    let passed_over = top.filter(|taken| {
        let asked = &world.asked[&taken.id];
        let shed = asked.answers.iter().find_map(|(at, answer)| match answer {
            Answer::Refused(_) => Some(*at),
            _ => None,
        });
        let Some(shed) = shed else { return false };
        let next = lower.partition_point(|begun| *begun <= asked.at);
        lower.get(next).is_some_and(|begun| *begun < shed)
    });
    passed_over.count() as u64
}
