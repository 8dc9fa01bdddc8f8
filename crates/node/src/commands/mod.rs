//! The program's commands, as plain functions that take their options and an
//! output writer.

use std::fmt;

pub mod check;
pub mod codes;
pub mod explain;
mod fetch;
pub mod plan;
pub mod serve;
pub mod status;

/// The command was valid but refused; the reasons have been printed.
#[derive(Debug, Clone, Copy)]
pub struct Refused;

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("refused")
    }
}

impl std::error::Error for Refused {}
