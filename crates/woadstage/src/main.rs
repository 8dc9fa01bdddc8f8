//! The `woadstage` binary: parses the arguments and runs the subcommand.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::panic::AssertUnwindSafe;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use tokio::runtime::Runtime;
use woadstage_gateway::clock::to_duration;
use woadstage_gateway::explain;
use woadstage_gateway::log;
use woadstage_gateway::log::Log;
use woadstage_gateway::settings::Settings;
use woadstage_losses::line;
use woadstage_losses::report;
use woadstage_node::commands;
use woadstage_node::commands::Refused;
use woadstage_platform::follow;
use woadstage_startup::failure::Failure;
use woadstage_startup::retry;
use woadstage_startup::retry::Waiting;
use woadstage_startup::retry::retry_blocking;
use woadstage_types::code::Code;

mod flags;

/// Exit code for invalid arguments.
const USAGE_EXIT_CODE: u8 = 2;

/// The size of the stack on which the program runs.
const STACK_BYTES: usize = 4 << 20;

fn main() -> ExitCode {
    // The stack of the process's first thread may be smaller, by a limit of the host.
    let thread = std::thread::Builder::new()
        .name("woadstage".into())
        .stack_size(STACK_BYTES)
        .spawn(run_program);
    match thread {
        Ok(thread) => thread.join().unwrap_or(ExitCode::FAILURE),
        // The first thread's stack suffices on most hosts.
        Err(_) => run_program(),
    }
}

fn run_program() -> ExitCode {
    let flags = match flags::Woadstage::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let report = |waiting: &Waiting| print_error(&waiting.cause);
    let runtime = match retry_blocking(&retry::Options::default(), try_build_runtime, report) {
        Ok(runtime) => runtime,
        Err(failure) => {
            print_error(&failure);
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.is::<UsageError>() => {
            print_error(error);
            ExitCode::from(USAGE_EXIT_CODE)
        }
        Err(error) => {
            // A failure was reported when the process ended.
            if !error.is::<Refused>() && !error.is::<Failure>() {
                print_error(format_args!("{error:#}"));
            }
            ExitCode::FAILURE
        }
    }
}

fn try_build_runtime() -> Result<Runtime, Failure> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all();
    // The runtime panics if it gets no descriptors for its pipe of signals.
    match std::panic::catch_unwind(AssertUnwindSafe(|| builder.build())) {
        Ok(built) => built.map_err(|error| Failure::refused("runtime", &error)),
        Err(_) => Err(Failure::new(Code::HostExhausted, "runtime", "It panicked.")),
    }
}

/// Prints an error for the user. Nothing can be done if nobody reads it.
fn print_error(error: impl std::fmt::Display) {
    let _ = writeln!(io::stderr(), "woadstage: {error}");
}

/// An invalid value or combination of arguments.
#[derive(Debug)]
struct UsageError(&'static str);

impl std::fmt::Display for UsageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for UsageError {}

async fn run(flags: flags::Woadstage) -> anyhow::Result<()> {
    let out = &mut io::stdout();
    match flags.subcommand {
        flags::WoadstageCmd::Serve(serve) => commands::serve::run(&serve.settings, out).await,
        flags::WoadstageCmd::Gateway(gateway) => run_gateway(&gateway.settings).await,
        flags::WoadstageCmd::Check(check) => {
            let flags::Check {
                settings,
                config,
                gateway,
            } = check;
            if settings.is_none() && config.is_none() && gateway.is_none() {
                return Err(
                    UsageError("check takes --settings, --config or --gateway FILE").into(),
                );
            }
            if let Some(gateway) = gateway
                && !woadstage_gateway::check::check(&gateway, out)?
            {
                return Err(Refused.into());
            }
            if settings.is_none() && config.is_none() {
                return Ok(());
            }
            commands::check::run(&commands::check::Options { settings, config }, out)
        }
        flags::WoadstageCmd::Plan(plan) => {
            let flags::Plan {
                node,
                intent,
                output,
                json,
            } = plan;
            let options = commands::plan::Options {
                node,
                intent,
                output,
                json,
            };
            commands::plan::run(&options, out).await
        }
        flags::WoadstageCmd::Status(status) => {
            commands::status::run(status.node, status.json, out).await
        }
        flags::WoadstageCmd::Explain(explain) => run_explain(&explain, out).await,
        flags::WoadstageCmd::Losses(losses) => run_losses(&losses, out),
        flags::WoadstageCmd::Codes(codes) => commands::codes::run(codes.json, out),
    }
}

/// Explains a request, using a running node or log files.
async fn run_explain(flags: &flags::Explain, out: &mut impl Write) -> anyhow::Result<()> {
    match flags.node {
        Some(node) if flags.logs.is_empty() => {
            let request = flags
                .request
                .parse()
                .map_err(|_| UsageError("the request id is not a valid id"))?;
            commands::explain::run(node, request, flags.json, out).await
        }
        None if !flags.logs.is_empty() => {
            let names: Vec<String> = flags
                .logs
                .iter()
                .map(|path| path.display().to_string())
                .collect();
            let find = |request: &str| -> anyhow::Result<Vec<explain::Line>> {
                Ok(explain::find(&mut open_logs(&flags.logs)?, request)?)
            };
            let lines = find(&flags.request)?;
            let requests = explain::find_attempts(&mut open_logs(&flags.logs)?, &flags.request)?;
            let attempts = requests.into_iter().map(|request| {
                let lines = find(&request)?;
                Ok(explain::Attempt { request, lines })
            });
            let attempts: Vec<explain::Attempt> = attempts.collect::<anyhow::Result<_>>()?;
            explain::write(&lines, &attempts, &names, flags.json, out)?;
            if lines.is_empty() {
                Err(Refused.into())
            } else {
                Ok(())
            }
        }
        _ => Err(UsageError("explain takes either --node ADDR or --logs FILE").into()),
    }
}

fn open_logs(paths: &[PathBuf]) -> anyhow::Result<Vec<Box<dyn BufRead>>> {
    let mut files: Vec<Box<dyn BufRead>> = Vec::new();
    for path in paths {
        let file = File::open(path).with_context(|| format!("read {}", path.display()))?;
        files.push(Box::new(BufReader::new(file)));
    }
    Ok(files)
}

/// Reports the losses in the logs of gateways.
fn run_losses(losses: &flags::Losses, out: &mut impl Write) -> anyhow::Result<()> {
    if losses.logs.is_empty() {
        return Err(UsageError("losses takes --logs FILE, once for each node").into());
    }
    let mut files = Vec::new();
    for path in &losses.logs {
        let file = File::open(path).with_context(|| format!("read {}", path.display()))?;
        files.push(line::read(BufReader::new(file))?);
    }
    let defaults = report::Options::default();
    let window_ms = losses
        .window
        .map_or(defaults.window_ms, |span| span.0 / 1_000);
    let report = report::build(files, &report::Options { window_ms });
    if let Some(path) = &losses.plot {
        woadstage_losses::plot::write_svg(&report, path)?;
    }
    match losses.json {
        true => woadstage_losses::write::write_json(&report, out)?,
        false => woadstage_losses::write::write_tables(&report, out)?,
    }
    Ok(())
}

/// Runs a gateway, with all its tasks on the current thread.
async fn run_gateway(settings: &Path) -> anyhow::Result<()> {
    let tasks = tokio::task::LocalSet::new();
    let adapter = |settings: &Settings, feed| {
        let options = follow::Options {
            regained_within: to_duration(settings.regained_within),
            heartbeat: to_duration(settings.heartbeat),
        };
        follow::follow(settings.platform, options, feed)
    };
    let log = Log::start(log::Options::default(), io::stdout())?;
    log.record_panics();
    let gateway = woadstage_gateway::run::run(settings, log, adapter);
    Ok(tasks.run_until(gateway).await?)
}
