//! Learns how long whole answers of each route take.

use woadstage_types::unit::Span;

use crate::map::HashMap;

/// The weights of one observation in the mean and in the deviation, and the number of deviations
/// above the mean that covers nearly all answers (the estimator of RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const MAX_DEVIATIONS: f64 = 4.0;

/// The maximum number of routes. Routes beyond it are not tracked.
const MAX_ROUTES: usize = 256;

/// The estimate of one route, in microseconds.
#[derive(Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// The durations of each route.
#[derive(Debug, Default)]
pub struct Durations {
    routes: HashMap<String, Estimate>,
}

impl Durations {
    /// Records the duration of a request from its arrival to the end of its whole answer.
    pub fn learn(&mut self, route: &str, took: Span) {
        let took = took.0 as f64;
        if let Some(estimate) = self.routes.get_mut(route) {
            let error = took - estimate.mean;
            estimate.mean += error * MEAN_WEIGHT;
            estimate.deviation += (error.abs() - estimate.deviation) * DEVIATION_WEIGHT;
            return;
        }
        if self.routes.len() < MAX_ROUTES {
            let estimate = Estimate {
                mean: took,
                deviation: took / 2.0,
            };
            self.routes.insert(route.to_owned(), estimate);
        }
    }

    /// The time within which nearly all requests of a route finish, or `None` if none was observed.
    pub fn upper_bound_opt(&self, route: &str) -> Option<Span> {
        let estimate = self.routes.get(route)?;
        Some(Span(
            (estimate.mean + estimate.deviation * MAX_DEVIATIONS) as u64,
        ))
    }
}
