//! Ours and the baselines, over the same load and the same engines.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use rand::RngExt;
use woadstage_config::published;
use woadstage_core::node::Arrival;
use woadstage_core::pool;
use woadstage_core::pool::prefix_cache;
use woadstage_standin::sample;
use woadstage_standin::world::Endpoint;
use woadstage_standin::world::Options;
use woadstage_standin::world::Work;
use woadstage_standin::world::World;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Tokens;

use crate::case;
use crate::case::Case;
use crate::load;
use crate::load::Deployment;
use crate::load::Request;
use crate::score;
use crate::score::Score;
use crate::taken::Taken;

/// A scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scheduler {
    /// The cores.
    Ours,
    /// Each host sends to the engines in turn.
    RoundRobin,
    /// Each host sends to the engine with the least reported load.
    LeastReported,
    /// Each host sends to the less loaded of two, by their reports.
    TwoChoices,
}

/// The baselines. Engines order what waits by tier for them too, and they too
/// hang up at the deadline; they know nothing beyond the reports.
pub const BASELINES: [Scheduler; 3] = [
    Scheduler::RoundRobin,
    Scheduler::LeastReported,
    Scheduler::TwoChoices,
];

impl Scheduler {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Scheduler::Ours => "ours",
            Scheduler::RoundRobin => "round robin",
            Scheduler::LeastReported => "least reported",
            Scheduler::TwoChoices => "two choices",
        }
    }
}

const REPORT_EVERY: Span = Span::from_secs(1);

/// Runs one case with one seed.
pub fn run(
    deployment: &Deployment,
    case: Case,
    scheduler: Scheduler,
    seed: u64,
    policy: &pool::Options,
) -> Score {
    let options = Options {
        seed,
        nodes: deployment.nodes,
        hop: deployment.hop,
        endpoint_hop: deployment.hop,
        pool: policy.clone(),
        document: deployment.document().into(),
        ..Options::default()
    };
    let mut world = World::new(
        options,
        Endpoint::engines(deployment.workers, &deployment.engine),
    );
    let arrivals = load::arrivals(deployment, seed, case::LASTS, |at| case.load(at));
    case.prepare(&mut world, deployment.workers);
    let loads = Rc::new(RefCell::new(vec![0; deployment.workers]));
    schedule_reports(&mut world, case, &loads);
    let deployment = Rc::new(deployment.clone());
    let taken: Rc<RefCell<Vec<Taken>>> = Rc::default();
    let turn = Rc::new(RefCell::new(vec![seed as usize; deployment.nodes]));
    for (at, request) in arrivals {
        let (deployment, taken) = (deployment.clone(), taken.clone());
        let (loads, turn) = (loads.clone(), turn.clone());
        world.after(at, move |world| {
            let id = match scheduler {
                Scheduler::Ours => ask(world, &deployment, &request),
                _ => {
                    let pick = pick(world, scheduler, &request, &loads, &turn);
                    send(world, &deployment, &request, pick)
                }
            };
            taken.borrow_mut().push(Taken { id, request });
        });
    }
    world.run_for(case::LASTS + case::AFTER);
    score::of(&world, &deployment, &taken.borrow())
}

fn schedule_reports(world: &mut World, case: Case, loads: &Rc<RefCell<Vec<u32>>>) {
    let whole = case::LASTS + case::AFTER;
    let (least, most) = case.lag();
    for turn in 0..whole.0 / REPORT_EVERY.0 {
        let loads = loads.clone();
        world.after(Span(turn * REPORT_EVERY.0), move |world| {
            let lag = Span(world.rng().random_range(least.0..=most.0));
            world.report(lag);
            let now: Vec<u32> = world
                .endpoints
                .iter()
                .map(|endpoint| endpoint.load())
                .collect();
            world.after(lag, move |_| *loads.borrow_mut() = now);
        });
    }
}

fn work(deployment: &Deployment, request: &Request) -> (Arc<[u8]>, Work) {
    let prefix = request.prefix(deployment);
    // Customers differ in the salt of their contexts, so that no identity
    // needs to stand in the engine's own hashes.
    let blocks = prefix_cache::blocks(0, &prefix);
    let what = format!("{:x}", request.salt);
    (
        prefix,
        Work {
            what,
            prompt: request.prompt,
            output: request.output,
            blocks,
        },
    )
}

fn ask(world: &mut World, deployment: &Deployment, request: &Request) -> id::Request {
    let class = &deployment.classes[request.class];
    let (prefix, work) = work(deployment, request);
    let arrival = Arrival {
        request: id::Request(0),
        token: published::sha256(sample::TOKENS[request.customer]),
        class: Some(id::Class::new(class.name)),
        target: id::Target::new("roster-model"),
        is_service: false,
        key: None,
        timeout: Some(class.timeout),
        prompt: Tokens((request.prompt as f64 * request.guess) as u64),
        output_limit: None,
        prefix,
        fingerprint: request.salt,
        from: None,
    };
    world.ask(request.node, arrival, work)
}

fn pick(
    world: &mut World,
    scheduler: Scheduler,
    request: &Request,
    loads: &RefCell<Vec<u32>>,
    turn: &RefCell<Vec<usize>>,
) -> usize {
    let loads = loads.borrow();
    let count = loads.len();
    match scheduler {
        Scheduler::LeastReported => {
            let least = loads.iter().min().copied().unwrap_or(0);
            let first = world.rng().random_range(0..count);
            let all = (0..count).map(|by| (first + by) % count);
            all.into_iter().find(|at| loads[*at] == least).unwrap_or(0)
        }
        Scheduler::TwoChoices => {
            let one = world.rng().random_range(0..count);
            let other = world.rng().random_range(0..count);
            if loads[one] <= loads[other] {
                one
            } else {
                other
            }
        }
        Scheduler::RoundRobin | Scheduler::Ours => {
            let mut turns = turn.borrow_mut();
            turns[request.node] += 1;
            (turns[request.node] + request.node) % count
        }
    }
}

fn send(world: &mut World, deployment: &Deployment, request: &Request, to: usize) -> id::Request {
    let class = &deployment.classes[request.class];
    let (_, work) = work(deployment, request);
    let id = world.note(request.node, class.timeout, work);
    if world.hosts[request.node].node.is_none() {
        return id;
    }
    world.call_directly(request.node, id, to, class.tier);
    let node = request.node;
    world.after(class.timeout, move |world| world.hang_up(node, id));
    id
}
