//! Requests as a scheduler takes them in.

use woadstage_types::id;

use crate::load::Request;

/// Tiers of both deployments.
pub const TIERS: usize = 3;

/// A request as it was taken in.
#[derive(Debug, Clone)]
pub struct Taken {
    /// Its id.
    pub id: id::Request,
    /// What it is.
    pub request: Request,
}
