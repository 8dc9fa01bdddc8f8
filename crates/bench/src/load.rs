//! The two users' requests and when they come.

use std::sync::Arc;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use woadstage_config::published;
use woadstage_core::pool::prefix_cache;
use woadstage_standin::engine;
use woadstage_standin::sample;
use woadstage_types::unit::Span;

/// One class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its tier.
    pub tier: u8,
    /// Its share of all requests, in percent.
    pub share: u32,
    /// Shortest and longest prompt of its own, in tokens; spread evenly by
    /// their logarithm.
    pub prompt: (u64, u64),
    /// Shortest and longest answer, in tokens.
    pub output: (u64, u64),
    /// Contexts that its prompts begin with, and the tokens of one.
    pub contexts: (u64, u64),
    /// How long an answer is of use.
    pub timeout: Span,
}

/// A user's deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Entry hosts.
    pub nodes: usize,
    /// Workers of its model.
    pub workers: usize,
    /// One-way time between entry hosts, and to endpoints.
    pub hop: Span,
    /// What its engines are like.
    pub engine: engine::Options,
    /// Its classes.
    pub classes: Vec<Class>,
}

/// The roster fleet: lengths a hundredfold apart.
pub fn roster() -> Deployment {
    let class = |name, tier, share, prompt, output, secs| Class {
        name,
        tier,
        share,
        prompt,
        output,
        contexts: (0, 0),
        timeout: Span::from_secs(secs),
    };
    Deployment {
        name: "roster",
        nodes: 8,
        workers: 9,
        hop: Span(500),
        engine: engine::Options::default(),
        classes: vec![
            class("rescue-summary", 0, 20, (100, 1_500), (20, 150), 5),
            class("handover-summary", 1, 50, (80, 8_000), (20, 300), 15),
            class("recap", 2, 30, (500, 8_000), (100, 500), 30),
        ],
    }
}

/// Savannah: short verifications, disputes that repeat their context, recaps.
pub fn savannah() -> Deployment {
    let engine = engine::Options {
        step_us: 5_000.0,
        ..engine::Options::default()
    };
    let roster = roster();
    let mut classes = roster.classes.clone();
    let [verify, dispute, recap] = &mut classes[..] else {
        unreachable!("three classes")
    };
    (verify.share, verify.prompt, verify.output) = (35, (200, 2_000), (10, 60));
    (dispute.share, dispute.prompt, dispute.output) = (35, (50, 500), (50, 200));
    dispute.contexts = (40, 4_096);
    (recap.share, recap.prompt, recap.output) = (30, (1_000, 10_000), (150, 600));
    Deployment {
        name: "savannah",
        workers: 12,
        hop: Span(1_500),
        engine,
        classes,
        ..roster
    }
}

impl Deployment {
    /// The published document under which it runs.
    pub fn document(&self) -> String {
        let step = (self.engine.step_us + self.engine.sequence_us * 8.0) as u64;
        let rate = (1e6 / self.engine.prompt_us) as u64;
        let body = sample::ROSTER
            .replace(
                "prefill = \"20000/s\"",
                &format!("prefill = \"{rate}/s\"\npriority = true"),
            )
            .replace("step = \"8ms\"", &format!("step = \"{step}us\""));
        published::write(1, "", &format!("{body}{}", sample::customers()))
    }

    /// Engine time that a request takes when batches are full, in microseconds.
    pub fn cost(&self, prompt: u64, output: u64) -> f64 {
        let token = self.engine.step_us / self.engine.slots as f64 + self.engine.sequence_us;
        prompt as f64 * self.engine.prompt_us + output as f64 * token
    }

    /// Requests a second that all engines together can serve, without caches.
    pub fn capacity(&self) -> f64 {
        let mut rng = StdRng::seed_from_u64(0);
        let many = 20_000;
        let total: f64 = (0..many)
            .map(|_| {
                let request = self.draw(&mut rng);
                self.cost(request.prompt, request.output)
            })
            .sum();
        self.workers as f64 * 1e6 / (total / f64::from(many))
    }

    /// Draws one request.
    pub fn draw(&self, rng: &mut StdRng) -> Request {
        let mut at = rng.random_range(0..100);
        let found = self.classes.iter().position(|class| {
            let here = at < class.share;
            at = at.saturating_sub(class.share);
            here
        });
        let place = found.unwrap_or(0);
        let class = &self.classes[place];
        let customer = match rng.random_range(0..100) {
            0..40 => 0,
            40..70 => 1,
            70..85 => 2,
            85..95 => 3,
            _ => 4,
        };
        let (contexts, tokens) = class.contexts;
        // The first contexts come up more often than the last.
        let context = (contexts > 0).then(|| {
            let low = rng.random_range(0..contexts);
            low.min(rng.random_range(0..contexts))
        });
        let own = log_uniform(rng, class.prompt);
        Request {
            class: place,
            customer,
            context: context.map(|context| context * 5 + customer as u64),
            prompt: own + context.map_or(0, |_| tokens),
            output: log_uniform(rng, class.output),
            node: rng.random_range(0..self.nodes),
            // The estimate that the shell makes from the bytes is off.
            guess: rng.random_range(0.8..1.25),
            salt: rng.random(),
        }
    }
}

fn log_uniform(rng: &mut StdRng, (least, most): (u64, u64)) -> u64 {
    let (low, high) = ((least as f64).ln(), (most as f64).ln());
    rng.random_range(low..=high).exp() as u64
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The place of its class.
    pub class: usize,
    /// The place of its customer.
    pub customer: usize,
    /// The context that its prompt begins with.
    pub context: Option<u64>,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens.
    pub output: u64,
    /// The node that it comes to.
    pub node: usize,
    /// Factor by which its prompt is misjudged.
    pub guess: f64,
    /// Makes its own part unlike every other's.
    pub salt: u64,
}

impl Request {
    /// The prompt's bytes, as far as prefixes are hashed.
    pub fn prefix(&self, deployment: &Deployment) -> Arc<[u8]> {
        let most = (self.prompt * 4)
            .min((prefix_cache::MAX_BLOCKS * prefix_cache::BLOCK_BYTES) as u64)
            as usize;
        let (_, context_tokens) = deployment.classes[self.class].contexts;
        let shared = self
            .context
            .map_or(0, |_| (context_tokens * 4) as usize)
            .min(most);
        let mut bytes = vec![0; most];
        fill(&mut bytes[..shared], self.context.unwrap_or(0) ^ 0xc0de);
        fill(&mut bytes[shared..], self.salt);
        bytes.into()
    }
}

/// Fills a part with words that only one seed gives.
fn fill(bytes: &mut [u8], seed: u64) {
    for (place, word) in bytes.chunks_mut(8).enumerate() {
        let mixed = seed
            .wrapping_add(place as u64)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        word.copy_from_slice(&mixed.to_le_bytes()[..word.len()]);
    }
}

/// When requests come: each with its time since the start.
pub fn arrivals(
    deployment: &Deployment,
    seed: u64,
    lasts: Span,
    factor: impl Fn(f64) -> f64,
) -> Vec<(Span, Request)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let capacity = deployment.capacity();
    let mut now = 0.0;
    let mut all = Vec::new();
    while now < lasts.as_secs_f64() {
        let rate = capacity * factor(now).max(0.01);
        now += -rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
        all.push((Span((now * 1e6) as u64), deployment.draw(&mut rng)));
    }
    all
}
