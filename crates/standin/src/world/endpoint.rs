//! Endpoints of a world: engines by their cost model, and services.

use std::collections::HashMap;

use woadstage_types::id;
use woadstage_types::unit::Span;

use super::CallId;
use crate::engine;
use crate::engine::Engine;

/// What a request asks of an endpoint.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Work {
    /// Names what is asked; executions are counted by it.
    pub what: String,
    /// Prompt tokens, exactly.
    pub prompt: u64,
    /// Output tokens, which nobody knows beforehand.
    pub output: u64,
    /// The prompt's blocks.
    pub blocks: Vec<u64>,
}

/// Engine or service.
#[derive(Debug)]
pub enum Kind {
    /// An engine.
    Engine(Engine),
    /// A service with the time of one execution.
    Service(Span),
}

/// An endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: id::Endpoint,
    /// The model or service it serves.
    pub serves: id::Target,
    /// What it is.
    pub kind: Kind,
    /// Answers nothing; what reaches it is executed all the same.
    pub mute: bool,
    /// Executes what reaches it and then breaks the connection.
    pub breaks: bool,
    /// Takes no connections.
    pub down: bool,
    /// Says that it is leaving and refuses new work.
    pub leaving: bool,
    /// Remembers keys and answers a repeat with the first answer.
    pub checks: bool,
    /// Work begun after it said that it is leaving.
    pub late_work: u64,
    pub(super) stepping: bool,
    pub(super) pending: Vec<engine::Outcome>,
    pub(super) jobs: HashMap<u64, CallId>,
    pub(super) next: u64,
    pub(super) running: u32,
    pub(super) keys: HashMap<String, String>,
}

impl Endpoint {
    /// An endpoint of either kind.
    pub fn new(name: &str, serves: &str, kind: Kind) -> Endpoint {
        Endpoint {
            name: id::Endpoint::new(name),
            serves: id::Target::new(serves),
            kind,
            mute: false,
            breaks: false,
            down: false,
            leaving: false,
            checks: false,
            late_work: 0,
            stepping: false,
            pending: Vec::new(),
            jobs: HashMap::new(),
            next: 0,
            running: 0,
            keys: HashMap::new(),
        }
    }

    /// Engines of the roster model.
    pub fn engines(count: usize, options: &engine::Options) -> Vec<Endpoint> {
        let engine = |at| {
            let kind = Kind::Engine(Engine::new(options.clone()));
            Endpoint::new(&format!("engine-{at}"), "roster-model", kind)
        };
        (0..count).map(engine).collect()
    }

    /// Endpoints of a service.
    pub fn services(service: &str, count: usize, time: Span) -> Vec<Endpoint> {
        let one = |at| Endpoint::new(&format!("{service}-{at}"), service, Kind::Service(time));
        (0..count).map(one).collect()
    }

    /// Requests it has.
    pub fn load(&self) -> u32 {
        match &self.kind {
            Kind::Engine(engine) => {
                let (running, waiting) = engine.load();
                (running + waiting) as u32
            }
            Kind::Service(_) => self.running,
        }
    }

    /// The engine, if it is one.
    pub fn engine_mut(&mut self) -> Option<&mut Engine> {
        match &mut self.kind {
            Kind::Engine(engine) => Some(engine),
            Kind::Service(_) => None,
        }
    }
}
