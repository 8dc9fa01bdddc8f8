//! Bodies of HTTP messages: how they are read, and how they end.
//!
//! * `collect.rs`: reads complete bodies with a limit on the time between two frames.
//! * [`ending`]: tells a body that ended from one that broke off.
//! * [`events`]: finds the ends of server-sent events.
//! * [`framing`]: decides from a head what ends the body.

mod collect;
pub mod ending;
pub mod events;
pub mod framing;

pub use collect::Limits;
pub use collect::collect;
