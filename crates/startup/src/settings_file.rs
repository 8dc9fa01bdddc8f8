//! Reads a settings file. Whoever writes it may have removed it or written a part of it so far.

use std::io;
use std::path::Path;
use std::time::Duration;

use tokio::time::Instant;
use toml::Table;
use woadstage_config::fault::Fault;
use woadstage_config::fault::Faults;
use woadstage_types::code::Code;

use crate::failure::Failure;
use crate::retry;
use crate::retry::Waiting;

/// How long a file may be missing, or stay unchanged although it is incomplete.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a file may be incomplete that goes on changing.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// The pause between two tries.
const INTERVAL: Duration = Duration::from_millis(50);

/// Settings and the text that they were read from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read<T> {
    /// The settings.
    pub settings: T,
    /// The content of the file.
    pub text: String,
}

/// The result of one try that did not succeed.
struct Attempt {
    cause: Failure,
    /// Whether another attempt may succeed: the file, or the rest of it, may be about to be written.
    may_pass: bool,
    /// How long to wait for that.
    within: Duration,
}

/// Reads and parses a file. Waits, and reports that, while it is missing or seems incomplete.
///
/// # Errors
/// Returns every fault if a setting is wrong, at once, and why the file can't be read otherwise.
pub async fn read<T>(
    path: &Path,
    parse: impl Fn(&str) -> Result<T, Faults>,
    report: impl Fn(&Waiting),
) -> Result<Read<T>, Failure> {
    let started = Instant::now();
    let mut is_reported = false;
    loop {
        let attempt = match try_read(path, &parse) {
            Ok(read) => return Ok(read),
            Err(attempt) => attempt,
        };
        let waited = started.elapsed();
        if !attempt.may_pass || waited >= attempt.within {
            return Err(attempt.cause);
        }
        if !std::mem::replace(&mut is_reported, true) {
            let cause = attempt.cause;
            report(&Waiting { cause, waited });
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn try_read<T>(path: &Path, parse: impl Fn(&str) -> Result<T, Faults>) -> Result<Read<T>, Attempt> {
    let text = read_text(path)?;
    let is_recent = is_recent(path);
    let is_terminated = text.ends_with('\n');
    match parse(&text) {
        Ok(settings) if is_terminated || !is_recent => Ok(Read { settings, text }),
        Ok(_) => Err(Attempt {
            cause: Failure::new(
                Code::SettingsMissing,
                &path.display().to_string(),
                "The last line has no end yet.",
            ),
            may_pass: true,
            within: MAX_WAIT,
        }),
        Err(faults) => Err(Attempt {
            may_pass: is_recent && may_be_incomplete(&text, &parse),
            cause: faults.into(),
            within: MAX_WAIT,
        }),
    }
}

fn read_text(path: &Path) -> Result<String, Attempt> {
    let name = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|error| match error.kind() {
        io::ErrorKind::NotFound => Attempt {
            cause: Failure::new(Code::SettingsMissing, &name, &error),
            may_pass: true,
            within: WRITE_TIMEOUT,
        },
        _ => {
            let cause = Failure::refused(&name, &error);
            Attempt {
                may_pass: cause.is_transient(),
                cause,
                within: retry::Options::default().within,
            }
        }
    })?;
    String::from_utf8(bytes).map_err(|error| {
        // The file may end within a character.
        let is_cut = error.utf8_error().error_len().is_none();
        Attempt {
            cause: Failure::new(Code::SettingsSyntax, &name, error.utf8_error()),
            may_pass: is_cut && is_recent(path),
            within: MAX_WAIT,
        }
    })
}

/// Whether a file was written so recently that its writer may still be at work.
fn is_recent(path: &Path) -> bool {
    let modified = std::fs::metadata(path).and_then(|metadata| metadata.modified());
    // A time in the future says nothing of the file's age.
    modified.is_ok_and(|at| at.elapsed().map_or(true, |age| age < WRITE_TIMEOUT))
}

/// Whether the settings may become valid if lines are added to a faulty text. A wrong value in a
/// line that is complete stays wrong.
fn may_be_incomplete<T>(text: &str, parse: impl Fn(&str) -> Result<T, Faults>) -> bool {
    let complete_lines = text.rfind('\n').map_or("", |end| &text[..=end]);
    match complete_lines.parse::<Table>() {
        Ok(table) => match parse(complete_lines) {
            Ok(_) => true,
            Err(faults) => faults.0.iter().all(|fault| is_absent(&table, fault)),
        },
        // An array or text that goes on in the next line.
        Err(error) => {
            let rest = error
                .span()
                .and_then(|span| complete_lines.get(span.start..));
            rest.is_some_and(|rest| rest.trim().is_empty())
        }
    }
}

/// Whether a fault concerns a field that the file does not contain.
fn is_absent(table: &Table, fault: &Fault) -> bool {
    let mut table = Some(table);
    for name in fault.path.split('.') {
        let Some(value) = table.and_then(|table| table.get(name)) else {
            return true;
        };
        table = value.as_table();
    }
    false
}
