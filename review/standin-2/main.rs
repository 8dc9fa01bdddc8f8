//! Plays the cases of this review that are scripts: starts nodes of the system and stand-ins for all
//! around them, and checks what the clients get.
//!
//! * `review-2 case NAME FOLDER`: plays a case and writes `FOLDER/record.txt`. Ends with 1 if the rule
//!   was broken, with 0 if it held, and with 2 if the case could not run.
//! * `review-2 worker ...`: a worker, as the cases start it.

use std::path::Path;
use std::process::ExitCode;

mod case;
mod cases;
mod client;
mod http;
mod node;
mod proxy;
mod store;
mod worker;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("worker") => {
            worker::run(&arguments[1..]);
            ExitCode::SUCCESS
        }
        Some("case") if arguments.len() == 3 => {
            let (name, folder) = (&arguments[1], Path::new(&arguments[2]));
            let played = std::panic::catch_unwind(|| cases::play(name, folder));
            match played {
                Ok(Some(false)) => ExitCode::SUCCESS,
                Ok(Some(true)) => ExitCode::from(1),
                Ok(None) | Err(_) => ExitCode::from(2),
            }
        }
        _ => ExitCode::from(2),
    }
}
