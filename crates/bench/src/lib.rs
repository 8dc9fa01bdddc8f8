//! The policy, measured: the real cores under a virtual clock against engines
//! by their cost model, beside baselines and an all-knowing bound.
//!
//! * [`fixture`]: what the benches of one pool share.
//! * [`load`]: the two users' requests and when they come.
//! * [`case`]: what goes wrong meanwhile.
//! * [`scheduler`]: ours and the baselines.
//! * [`taken`]: requests as a scheduler takes them in.
//! * [`score`]: goodput by tier, wasted prefill, order of tiers.
//! * [`bound`]: what an all-knowing scheduler could serve at most.

pub mod bound;
pub mod case;
pub mod fixture;
pub mod load;
pub mod scheduler;
pub mod score;
pub mod taken;
