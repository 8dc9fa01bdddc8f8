//! The stand-ins of the review, and its scripts: `standin case NAME PROGRAM RECORD`.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;
use worker::Worker;

mod body;
mod client;
mod fleet;
mod http;
mod order;
mod record;
mod refused;
mod resume;
mod service;
mod store;
mod time;
mod worker;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let ended = match words.first().map(String::as_str) {
        Some("store") => store::run(&words[1]).map(|()| true),
        Some("worker") => match Worker::from_arguments(&words[1..]) {
            Some(worker) => worker.run().map(|()| true),
            None => Err(std::io::Error::other("too few arguments")),
        },
        Some("service") => match (Worker::from_arguments(&words[1..]), faulty(&words)) {
            (Some(worker), Some(faulty)) => service::run(worker, faulty).map(|()| true),
            _ => Err(std::io::Error::other("too few arguments")),
        },
        Some("case") => run_case(&words[1..]),
        _ => Err(std::io::Error::other("store, worker or case")),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns from when to when a worker is faulty.
fn faulty(words: &[String]) -> Option<(u64, u64)> {
    let [.., from, until] = words else {
        return None;
    };
    Some((from.parse().ok()?, until.parse().ok()?))
}

/// Runs a case in a new folder, which is removed.
fn run_case(words: &[String]) -> std::io::Result<bool> {
    let [name, program, record] = words else {
        return Err(std::io::Error::other("case NAME PROGRAM RECORD"));
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let folder = format!("woadstage-review-{}", std::process::id());
    let folder: PathBuf = std::env::temp_dir().join(folder);
    std::fs::create_dir_all(&folder)?;
    let record = Arc::new(Record::create(Path::new(record))?);
    let program = Path::new(program).canonicalize()?;
    let held = match name.as_str() {
        "body" => body::run(&program, &folder, &record, &trouble),
        "order" => order::run(&program, &folder, &record, &trouble),
        "refused" => refused::run(&program, &folder, &record, &trouble),
        "resume" => resume::run(&program, &folder, &record, &trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    if std::env::var_os("KEEP").is_none() {
        std::fs::remove_dir_all(&folder)?;
    }
    if let Ok(held) = held {
        record.line(match held {
            true => "the rule held",
            false => "the rule was broken",
        });
    }
    held
}
