//! What an all-knowing scheduler could serve of each tier at most, if that
//! tier had all engines at their full speed to itself: the cheapest first, as
//! a fluid. No real scheduler reaches it.

use crate::case;
use crate::load::Deployment;
use crate::taken::TIERS;
use crate::taken::Taken;

/// The bounds by tier.
pub fn of(deployment: &Deployment, taken: &[Taken]) -> [u64; TIERS] {
    let mut costs: [Vec<f64>; TIERS] = Default::default();
    for Taken { request, .. } in taken {
        let class = &deployment.classes[request.class];
        let step = deployment.engine.step_us + deployment.engine.sequence_us;
        let alone =
            request.prompt as f64 * deployment.engine.prompt_us + request.output as f64 * step;
        if alone > class.timeout.0 as f64 {
            continue;
        }
        let cost = deployment.cost(request.prompt, request.output);
        costs[usize::from(class.tier)].push(cost);
    }
    let mut bound = [0; TIERS];
    for (tier, costs) in costs.iter_mut().enumerate() {
        let timeout = deployment.classes[tier].timeout;
        let mut left = deployment.workers as f64 * (case::LASTS + timeout).0 as f64;
        costs.sort_by(f64::total_cmp);
        bound[tier] = costs
            .iter()
            .take_while(|cost| {
                left -= **cost;
                left >= 0.0
            })
            .count() as u64;
    }
    bound
}
