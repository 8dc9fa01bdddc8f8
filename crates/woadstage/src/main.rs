//! The one binary: arguments in, commands of `woadstage-node` out.

use std::io;
use std::path::Path;
use std::process::ExitCode;

use woadstage_gateway::settings::Settings;
use woadstage_node::commands;
use woadstage_node::commands::Refused;

mod flags;

const WRONG_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = match flags::Woadstage::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("woadstage: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(flags)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.is::<Usage>() => {
            eprintln!("woadstage: {error}");
            ExitCode::from(WRONG_USAGE)
        }
        Err(error) => {
            if !error.is::<Refused>() {
                eprintln!("woadstage: {error:#}");
            }
            ExitCode::FAILURE
        }
    }
}

/// The arguments do not go together.
#[derive(Debug)]
struct Usage(&'static str);

impl std::fmt::Display for Usage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Usage {}

async fn run(flags: flags::Woadstage) -> anyhow::Result<()> {
    let out = &mut io::stdout();
    match flags.subcommand {
        flags::WoadstageCmd::Serve(serve) => commands::serve::run(&serve.settings, out).await,
        flags::WoadstageCmd::Gateway(gateway) => run_gateway(&gateway.settings).await,
        flags::WoadstageCmd::Check(check) => {
            let flags::Check { settings, config } = check;
            if settings.is_none() && config.is_none() {
                return Err(Usage("check takes --settings FILE or --config FILE").into());
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
        flags::WoadstageCmd::Explain(explain) => {
            commands::explain::run(explain.node, explain.request, explain.json, out).await
        }
        flags::WoadstageCmd::Codes(codes) => commands::codes::run(codes.json, out),
    }
}

/// Runs a gateway, all of whose tasks stay on this thread.
async fn run_gateway(settings: &Path) -> anyhow::Result<()> {
    let tasks = tokio::task::LocalSet::new();
    let adapter =
        |settings: &Settings, feed| woadstage_platform::follow::follow(settings.platform, feed);
    let running = woadstage_gateway::run::run(settings, adapter);
    tasks.run_until(running).await
}
