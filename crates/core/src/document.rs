//! Selection of the configuration document in force.
//!
//! The choice depends only on the two documents. A higher revision replaces the
//! one in force; the next revision only if it was planned against it. Of two
//! documents with the same revision, the one with the lower platform index wins.
//! A node never returns to a lower revision.

use std::sync::Arc;

use woadstage_config::published;
use woadstage_config::published::Config;
use woadstage_types::code::Code;

/// A valid configuration document.
#[derive(Debug, Clone)]
pub struct Document {
    /// The full text of the document.
    pub text: Arc<str>,
    /// The index of the document on the platform.
    pub index: u64,
    /// The parsed configuration.
    pub config: Arc<Config>,
}

impl Document {
    /// Parses a document, or returns the code of its first fault.
    pub fn read(text: Arc<str>, index: u64) -> Result<Document, Code> {
        match published::parse(&text) {
            Ok(config) => Ok(Document {
                text,
                index,
                config: Arc::new(config),
            }),
            Err(faults) => Err(faults
                .0
                .first()
                .map_or(Code::SettingsSyntax, |fault| fault.code)),
        }
    }

    /// Returns a 64-bit hash of the digest, which heartbeats carry.
    pub fn short_digest(&self) -> u64 {
        woadstage_types::hash::of(self.config.confirmation.digest.as_bytes())
    }
}

/// Checks whether `new` may replace `held`, and returns the reason if not.
pub fn check_replacement(held: Option<&Document>, new: &Document) -> Result<(), Code> {
    let Some(held) = held else { return Ok(()) };
    let (old, next) = (&held.config.confirmation, &new.config.confirmation);
    if next.digest == old.digest || next.revision < old.revision {
        return Err(Code::RevisionOld);
    }
    if next.revision == old.revision {
        // Two operators confirmed changes against the same base. The
        // platform's check-and-set prevents this; without it, the first wins.
        return if new.index < held.index {
            Ok(())
        } else {
            Err(Code::BaseMismatch)
        };
    }
    if next.revision == old.revision + 1 && next.base != old.digest {
        return Err(Code::BaseMismatch);
    }
    Ok(())
}
