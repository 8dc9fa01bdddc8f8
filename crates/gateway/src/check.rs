//! Checks a gateway's settings and tells every fault.

use std::io::Write;
use std::path::Path;

use anyhow::Context;

use crate::settings;

/// Checks a settings file; false where something is wrong, which was told.
///
/// # Errors
/// Where the file cannot be read or `out` cannot be written to.
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
