//! Why a process ends although nobody told it to.

use std::fmt;
use std::io;

use rustix::io::Errno;
use woadstage_config::fault::Faults;
use woadstage_types::code::Code;

/// Why a process ends although nobody told it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The numbered result code.
    pub code: Code,
    /// The message, which begins with the code.
    pub detail: String,
}

impl Failure {
    /// Creates a failure that concerns `what`, such as an address or a file.
    pub fn new(code: Code, what: &str, cause: impl fmt::Display) -> Failure {
        Failure {
            code,
            detail: format!("{code} {what}: {} {cause}", code.text()),
        }
    }

    /// Creates a failure from an error of the host.
    pub fn refused(what: &str, error: &io::Error) -> Failure {
        let code = match Errno::from_io_error(error) {
            Some(Errno::ADDRINUSE) => Code::AddressInUse,
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::AGAIN) => {
                Code::HostExhausted
            }
            _ => Code::HostRefused,
        };
        Failure::new(code, what, error)
    }

    /// Whether the host may grant in a moment what it refused.
    pub fn is_transient(&self) -> bool {
        matches!(self.code, Code::AddressInUse | Code::HostExhausted)
    }
}

impl From<Faults> for Failure {
    fn from(faults: Faults) -> Failure {
        Failure {
            code: faults
                .0
                .first()
                .map_or(Code::SettingsValue, |fault| fault.code),
            detail: faults.to_string().trim_end().to_owned(),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Failure {}
