//! How long whole answers of each route take, learnt from those that ended.

use std::collections::HashMap;

use woadstage_types::unit::Span;

/// Weights of one observation in the mean and in the deviation, and how many
/// deviations above the mean nearly all lie (the estimator of RFC 6298).
const MEAN_NEWEST: f64 = 0.125;
const DEVIATION_NEWEST: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;

/// Routes that are told apart; others count as never seen.
const ROUTES_MOST: usize = 256;

/// What was seen of one route, in microseconds.
#[derive(Debug)]
struct Usual {
    mean: f64,
    deviation: f64,
}

/// What was seen of each route.
#[derive(Debug, Default)]
pub struct Durations {
    routes: HashMap<String, Usual>,
}

impl Durations {
    /// Learns from a request that got its whole answer, from its arrival on.
    pub fn learn(&mut self, route: &str, took: Span) {
        let took = took.0 as f64;
        if let Some(usual) = self.routes.get_mut(route) {
            let error = took - usual.mean;
            usual.mean += error * MEAN_NEWEST;
            usual.deviation += (error.abs() - usual.deviation) * DEVIATION_NEWEST;
            return;
        }
        if self.routes.len() < ROUTES_MOST {
            let usual = Usual {
                mean: took,
                deviation: took / 2.0,
            };
            self.routes.insert(route.to_owned(), usual);
        }
    }

    /// The time within which nearly all requests of a route are over; nothing
    /// where none was seen.
    pub fn most_opt(&self, route: &str) -> Option<Span> {
        let usual = self.routes.get(route)?;
        Some(Span((usual.mean + usual.deviation * DEVIATIONS) as u64))
    }
}
