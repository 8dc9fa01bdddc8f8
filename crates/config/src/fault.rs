//! Faults found in a file.

use std::fmt;

use woadstage_types::code::Code;

/// A fault in a file: its location, its kind and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path of the field, such as `classes.recap.tier`.
    pub path: String,
    /// The numbered result code.
    pub code: Code,
    /// How to correct the fault.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {}: {} {}",
            self.code,
            self.path,
            self.code.text(),
            self.remedy
        )
    }
}

/// All faults found in one file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Adds a fault.
    pub fn add(&mut self, path: &str, code: Code, remedy: impl Into<String>) {
        self.0.push(Fault {
            path: path.into(),
            code,
            remedy: remedy.into(),
        });
    }

    /// Returns `value` if there are no faults, else the faults.
    pub fn into_result<T>(self, value: T) -> Result<T, Faults> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
