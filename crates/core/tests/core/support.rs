//! Shared test support: requests, simulated worlds and invariants that hold in
//! each of them.

use std::sync::Arc;

use woadstage_core::node::Arrival;
use woadstage_standin::engine;
use woadstage_standin::sample;
use woadstage_standin::world::Answer;
use woadstage_standin::world::Endpoint;
use woadstage_standin::world::Options;
use woadstage_standin::world::Work;
use woadstage_standin::world::World;
use woadstage_types::code::Outcome;
use woadstage_types::hash;
use woadstage_types::id;
use woadstage_types::unit::Span;
use woadstage_types::unit::Tokens;

/// Creates a call to a service.
pub fn service(class: &str, what: &str, key: Option<&str>) -> (Arrival, Work) {
    let target = if class == "booking" {
        "ledger"
    } else {
        "roster"
    };
    let arrival = Arrival {
        request: id::Request(0),
        token: woadstage_config::published::sha256(sample::TOKENS[0]),
        class: Some(id::Class::new(class)),
        target: id::Target::new(target),
        is_service: true,
        key: key.map(str::to_string),
        timeout: Some(Span::from_secs(5)),
        prompt: Tokens(1),
        output_limit: None,
        prefix: Arc::from([]),
        fingerprint: hash::of(what.as_bytes()),
        from: None,
    };
    (
        arrival,
        Work {
            what: what.into(),
            ..Work::default()
        },
    )
}

/// Creates a request to the model.
pub fn chat(class: &str, what: &str, prompt: u64, output: u64) -> (Arrival, Work) {
    let (arrival, work) = service(class, what, None);
    let arrival = Arrival {
        target: id::Target::new("roster-model"),
        is_service: false,
        prompt: Tokens(prompt),
        ..arrival
    };
    (
        arrival,
        Work {
            prompt,
            output,
            ..work
        },
    )
}

/// Creates a small world with engines and two services.
pub fn world(options: Options) -> World {
    let mut endpoints = Endpoint::engines(3, &engine::Options::default());
    endpoints.extend(Endpoint::services("roster", 2, Span::from_millis(20)));
    let mut ledger = Endpoint::services("ledger", 2, Span::from_millis(20));
    ledger
        .iter_mut()
        .for_each(|endpoint| endpoint.checks = true);
    endpoints.extend(ledger);
    World::new(options, endpoints)
}

/// Issues a ticket at a node, for the customer that [`service`] uses.
pub fn ticket(world: &mut World, node: usize) -> Option<String> {
    let token = woadstage_config::published::sha256(sample::TOKENS[0]);
    let now = world.clock(node);
    let core = world.hosts[node].node.as_mut()?;
    core.issue_ticket(now, &token)
        .ok()
        .map(|ticket| ticket.to_string())
}

/// Returns the only answer to a request.
pub fn answer(world: &World, request: id::Request) -> &Answer {
    let asked = &world.asked[&request];
    assert_eq!(asked.answers.len(), 1, "{asked:?}");
    &asked.answers[0].1
}

/// Returns the code with which a request was refused.
pub fn refusal_code(world: &World, request: id::Request) -> String {
    match answer(world, request) {
        Answer::Refused(refusal) | Answer::Broken(refusal) => refusal.code.to_string(),
        Answer::Whole { what } => panic!("{request} got {what}"),
    }
}

/// Returns whether the request got a complete answer.
pub fn is_complete(world: &World, request: id::Request) -> bool {
    let answers = &world.asked[&request].answers;
    matches!(answers.first(), Some((_, Answer::Whole { .. })))
}

/// Returns the violations of the invariants that hold for every request at any
/// time.
pub fn violations(world: &World) -> Vec<String> {
    let mut found = Vec::new();
    for (request, asked) in &world.asked {
        let host = &world.hosts[asked.node];
        let lives = host.node.is_some() && !host.is_paused() && host.incarnation == asked.run;
        if lives && world.now() > asked.deadline + Span::from_secs(3) && asked.answers.is_empty() {
            found.push(format!("{request} was never answered: {asked:?}"));
        }
        if asked.answers.len() > 1 {
            found.push(format!("{request} was answered twice: {:?}", asked.answers));
        }
        for (_, answer) in &asked.answers {
            match answer {
                Answer::Whole { what } if *what != asked.what => {
                    found.push(format!("{request} asked {} and got {what}", asked.what));
                }
                Answer::Refused(refusal) | Answer::Broken(refusal)
                    if refusal.outcome == Outcome::NotRun
                        && world.executed.contains_key(request) =>
                {
                    found.push(format!("{request} was said not to have run: {refusal:?}"));
                }
                _ => {}
            }
        }
    }
    found
}
