//! The confirmation: the first three lines of a document, with its revision, the digest
//! of the document that it is based on, and its own digest.

use std::fmt::Write;

use sha2::Digest;
use sha2::Sha256;
use woadstage_types::code::Code;

use crate::fault::Faults;

/// The identity of a document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// The revision: one more than that of the base.
    pub revision: u64,
    /// The digest of the document that this one is based on; empty for the first document.
    pub base: String,
    /// The digest of the revision, the base and the body.
    pub digest: String,
}

/// Returns the SHA-256 of a text.
pub fn sha256(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}

/// Returns bytes as lower-case hexadecimal digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn header(revision: u64, base: &str) -> String {
    format!("revision = {revision}\nbase = \"{base}\"\n")
}

fn digest(revision: u64, base: &str, body: &str) -> String {
    to_hex(&sha256(&format!("{}{body}", header(revision, base)))[..16])
}

/// Returns the document with `body` and the confirmation for it.
pub fn write(revision: u64, base: &str, body: &str) -> String {
    let digest = digest(revision, base, body);
    format!("{}digest = \"{digest}\"\n{body}", header(revision, base))
}

/// Splits a document into its confirmation and its body.
///
/// # Errors
/// A fault if the confirmation is incomplete or does not match the content.
pub(super) fn split(text: &str) -> Result<(Confirmation, &str), Faults> {
    let mut faults = Faults::default();
    let mut rest = text;
    let mut take_line = |field: &str| {
        let (line, remaining) = rest.split_once('\n').unwrap_or((rest, ""));
        rest = remaining;
        let value = line
            .strip_prefix(field)?
            .trim_start()
            .strip_prefix('=')?
            .trim();
        Some(value.trim_matches('"').to_string())
    };
    let revision = take_line("revision").and_then(|value| value.parse().ok());
    let base = take_line("base");
    let stated_digest = take_line("digest");
    let (Some(revision), Some(base), Some(stated_digest)) = (revision, base, stated_digest) else {
        let remedy = "Publish the document as `plan` wrote it: revision, base, digest, body.";
        faults.add("file", Code::DigestMismatch, remedy);
        return Err(faults);
    };
    if digest(revision, &base, rest) != stated_digest {
        faults.add(
            "digest",
            Code::DigestMismatch,
            "Plan again; do not edit a planned document.",
        );
        return Err(faults);
    }
    Ok((
        Confirmation {
            revision,
            base,
            digest: stated_digest,
        },
        rest,
    ))
}
