//! What at-most-once costs in availability: which share of not-repeatable
//! actions gets no answer after repeats, for how long, and how many run twice.
//! Deterministic: the real cores under a virtual clock.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

use rand::RngExt;
use woadstage_config::published;
use woadstage_core::node::Arrival;
use woadstage_core::node::Event;
use woadstage_standin::sample;
use woadstage_standin::world::Answer;
use woadstage_standin::world::Endpoint;
use woadstage_standin::world::Options;
use woadstage_standin::world::Work;
use woadstage_standin::world::World;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Time;
use woadstage_types::unit::Tokens;

const NODES: usize = 8;
/// Actions a second, for a minute.
const RATE: u64 = 50;
const LASTS: u64 = 60;
/// From the ticket, or the key, to its first use.
const USE_AFTER: Span = Span::from_millis(100);
/// A caller repeats with the same key so often, so far apart.
const REPEATS: u32 = 4;
const REPEAT_EVERY: Span = Span::from_secs(2);

/// How an action's key is made.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    Ticket,
    Owner,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    Nothing,
    Kill,
    Cut,
    Rolling,
}

/// One action, as its caller sees it.
#[derive(Debug, Clone, Default)]
struct Action {
    at: Time,
    key: Option<String>,
    requests: Vec<id::Request>,
}

type Actions = Rc<RefCell<BTreeMap<u64, Action>>>;

fn ready(world: &mut World) -> Option<usize> {
    let ready: Vec<usize> = (0..NODES)
        .filter(|node| world.query(*node, |core| core.is_ready()) == Some(true))
        .collect();
    let pick = world.rng().random_range(0..ready.len().max(1));
    ready.get(pick).copied()
}

fn key(world: &mut World, way: Way) -> Option<String> {
    match way {
        Way::Owner => {
            let random = world.rng().random();
            Some(id::Request(id::new_v7(world.now(), random)).to_string())
        }
        Way::Ticket => {
            let node = ready(world)?;
            let now = world.clock(node);
            let token = published::sha256(sample::TOKENS[0]);
            let core = world.hosts[node].node.as_mut()?;
            core.issue_ticket(now, &token)
                .ok()
                .map(|ticket| ticket.to_string())
        }
    }
}

fn send(world: &mut World, actions: &Actions, number: u64, way: Way) {
    let Some(node) = ready(world) else { return };
    let mut actions = actions.borrow_mut();
    let Some(action) = actions.get_mut(&number) else {
        return;
    };
    let answered = action
        .requests
        .iter()
        .any(|request| is_whole(world, *request));
    let Some(key) = action.key.clone().filter(|_| !answered) else {
        return;
    };
    let class = if way == Way::Ticket {
        "shift-confirmation"
    } else {
        "plain-confirmation"
    };
    let what = number.to_string();
    let arrival = Arrival {
        request: id::Request(0),
        token: published::sha256(sample::TOKENS[0]),
        class: Some(id::Class::new(class)),
        target: id::Target::new("roster"),
        is_service: true,
        key: Some(key),
        timeout: Some(REPEAT_EVERY),
        prompt: Tokens(1),
        output_limit: None,
        prefix: Arc::from([]),
        fingerprint: hash::of(what.as_bytes()),
        from: None,
    };
    let request = world.ask(
        node,
        arrival,
        Work {
            what,
            ..Work::default()
        },
    );
    action.requests.push(request);
}

fn is_whole(world: &World, request: id::Request) -> bool {
    let answers = &world.asked[&request].answers;
    answers
        .iter()
        .any(|(_, answer)| matches!(answer, Answer::Whole { .. }))
}

fn prepare(world: &mut World, trouble: Trouble) {
    let at = Span::from_secs(20);
    match trouble {
        Trouble::Nothing => {}
        Trouble::Kill => {
            world.after(at, |world| world.kill(3, false));
            world.after(at + Span::from_secs(5), |world| world.start(3));
        }
        Trouble::Cut => {
            let pairs = || (0..4).flat_map(|one| (4..8).map(move |other| (one, other)));
            world.after(at, move |world| {
                pairs().for_each(|(one, other)| world.cut(one, other))
            });
            world.after(at + Span::from_secs(10), move |world| {
                pairs().for_each(|(one, other)| world.heal(one, other));
            });
        }
        Trouble::Rolling => {
            for node in 0..NODES {
                let start = Span::from_secs(10 + node as u64 * 5);
                world.after(start, move |world| world.tell(node, Event::Stop));
                let after = |millis| start + Span::from_millis(millis);
                world.after(after(1_000), move |world| world.tell(node, Event::Close));
                world.after(after(3_000), move |world| world.kill(node, true));
                world.after(after(3_500), move |world| world.start(node));
            }
        }
    }
}

fn run(way: Way, trouble: Trouble, seed: u64) -> Outcome {
    let options = Options {
        seed,
        nodes: NODES,
        ..Options::default()
    };
    let mut world = World::new(
        options,
        Endpoint::services("roster", 3, Span::from_millis(20)),
    );
    world.run_for(Span::from_secs(2));
    prepare(&mut world, trouble);
    let actions: Actions = Rc::default();
    for number in 0..RATE * LASTS {
        let at = Span(number * 1_000_000 / RATE);
        let kept = actions.clone();
        world.after(at, move |world| {
            let key = key(world, way);
            let action = Action {
                at: world.now(),
                key,
                requests: Vec::new(),
            };
            kept.borrow_mut().insert(number, action);
        });
        for turn in 0..=REPEATS {
            let kept = actions.clone();
            let when = at + USE_AFTER + Span(REPEAT_EVERY.0 * u64::from(turn));
            world.after(when, move |world| send(world, &kept, number, way));
        }
    }
    world.run_for(Span::from_secs(LASTS + 20));
    Outcome::of(&world, &actions.borrow())
}

/// What a run came to.
struct Outcome {
    actions: usize,
    first: usize,
    whole: usize,
    lost: Vec<Time>,
    twice: usize,
}

impl Outcome {
    fn of(world: &World, actions: &BTreeMap<u64, Action>) -> Outcome {
        let whole = |action: &Action, tries: usize| {
            action
                .requests
                .iter()
                .take(tries)
                .any(|request| is_whole(world, *request))
        };
        let all = || actions.values();
        let lost = all()
            .filter(|action| !whole(action, usize::MAX))
            .map(|action| action.at);
        Outcome {
            actions: actions.len(),
            first: all().filter(|action| whole(action, 1)).count(),
            whole: all().filter(|action| whole(action, usize::MAX)).count(),
            lost: lost.collect(),
            twice: world.runs.values().filter(|count| **count > 1).count(),
        }
    }

    fn print(&self, way: Way, trouble: Trouble) {
        let Outcome {
            actions,
            first,
            whole,
            lost,
            twice,
        } = self;
        let over = match (lost.first(), lost.last()) {
            (Some(from), Some(to)) => format!("{:.1} s", to.since(*from).as_secs_f64()),
            _ => "-".into(),
        };
        let lost = lost.len();
        println!(
            "| {way:?} | {trouble:?} | {actions} | {first} | {whole} | {lost} | {over} | {twice} |"
        );
    }

    /// The bounds on tickets; counts, the same each run.
    fn holds(&self, trouble: Trouble) -> bool {
        let most = match trouble {
            Trouble::Nothing | Trouble::Rolling => 0,
            Trouble::Kill => self.actions / 500,
            Trouble::Cut => self.actions / 200,
        };
        self.twice == 0 && self.lost.len() <= most
    }
}

fn main() -> ExitCode {
    println!(
        "| way | trouble | actions | whole at first | whole after repeats | no answer | over | run twice |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut holds = true;
    for way in [Way::Ticket, Way::Owner] {
        for trouble in [
            Trouble::Nothing,
            Trouble::Kill,
            Trouble::Cut,
            Trouble::Rolling,
        ] {
            let outcome = run(way, trouble, 1);
            outcome.print(way, trouble);
            holds &= way != Way::Ticket || outcome.holds(trouble);
        }
    }
    if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
