//! Validates a settings file of a gateway.

use std::io::Write;
use std::path::Path;

use anyhow::Context;

use crate::settings;

/// Validates a settings file and writes the result to `out`. Returns false after writing every
/// fault if the settings are invalid.
///
/// # Errors
/// Returns an error if the file cannot be read or `out` cannot be written.
pub fn check(path: &Path, out: &mut impl Write) -> anyhow::Result<bool> {
    let text = std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
    match settings::parse(&text) {
        Ok(settings) => {
            writeln!(
                out,
                "{}: a gateway on {} in {}",
                path.display(),
                settings.host,
                settings.data_centre
            )?;
            Ok(true)
        }
        Err(faults) => {
            write!(out, "{faults}")?;
            Ok(false)
        }
    }
}
