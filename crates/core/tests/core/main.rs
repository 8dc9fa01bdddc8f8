//! Tests of the scheduling core, by module.

mod at_most_once;
mod document;
mod leaving;
mod ledger;
mod limit;
mod member;
mod pool;
mod repeats;
mod stop;
mod stories;
mod support;
mod tiers;
