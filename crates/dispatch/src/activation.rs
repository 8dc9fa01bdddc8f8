//! Which services a part of the scheduling policy applies to.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use woadstage_types::unit;

/// Which services a part of the scheduling policy applies to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub enum Activation {
    /// No service.
    #[default]
    Never,
    /// Services whose endpoints state how long work takes there at present. Their capacity changes
    /// faster than it can be learnt from calls, so they run short without more load than usual.
    VariableCapacity,
    /// All services.
    Always,
}

impl Activation {
    /// Whether the part applies to a service, given whether its endpoints state how long work
    /// takes there at present.
    pub fn applies(self, has_variable_capacity: bool) -> bool {
        match self {
            Activation::Never => false,
            Activation::VariableCapacity => has_variable_capacity,
            Activation::Always => true,
        }
    }
}

impl fmt::Display for Activation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Activation::Never => "never",
            Activation::VariableCapacity => "variable-capacity",
            Activation::Always => "always",
        })
    }
}

impl FromStr for Activation {
    type Err = unit::Error;

    fn from_str(text: &str) -> Result<Activation, unit::Error> {
        match text {
            "never" => Ok(Activation::Never),
            "variable-capacity" => Ok(Activation::VariableCapacity),
            "always" => Ok(Activation::Always),
            _ => Err(unit::Error {
                text: text.to_owned(),
                expected: "\"never\", \"variable-capacity\" or \"always\"",
            }),
        }
    }
}

impl TryFrom<String> for Activation {
    type Error = unit::Error;

    fn try_from(text: String) -> Result<Activation, unit::Error> {
        text.parse()
    }
}
