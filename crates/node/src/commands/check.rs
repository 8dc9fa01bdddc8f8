//! `woadstage check`: checks settings and published configurations.

use std::io::Write;
use std::path::PathBuf;

use anyhow::Context;
use woadstage_config::fault::Faults;
use woadstage_config::published;
use woadstage_config::settings;

use super::Refused;

/// The files to check.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The settings of a node.
    pub settings: Option<PathBuf>,
    /// A configuration to be published.
    pub config: Option<PathBuf>,
}

/// Checks the files and prints every fault with its path and code.
pub fn run(options: &Options, out: &mut impl Write) -> anyhow::Result<()> {
    let mut faults = Faults::default();
    if let Some(path) = &options.settings {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        faults
            .0
            .extend(settings::parse(&text).err().unwrap_or_default().0);
    }
    if let Some(path) = &options.config {
        let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
        faults
            .0
            .extend(published::parse(&text).err().unwrap_or_default().0);
    }
    if faults.0.is_empty() {
        writeln!(out, "no faults")?;
        return Ok(());
    }
    write!(out, "{faults}")?;
    Err(Refused.into())
}
