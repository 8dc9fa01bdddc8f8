//! The stand-ins' program: `standin demo`.

use std::path::PathBuf;

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-ins of engines, services and the platform.
        cmd standin {
            /// Run the whole path with three nodes and print what happens.
            cmd demo {
                /// The woadstage program; by default the one built beside this.
                optional --program file: PathBuf
            }
        }
    }
}

fn main() -> anyhow::Result<()> {
    let flags = flags::Standin::from_env_or_exit();
    let flags::StandinCmd::Demo(demo) = flags.subcommand;
    let beside =
        || -> anyhow::Result<PathBuf> { Ok(std::env::current_exe()?.with_file_name("woadstage")) };
    let program = match demo.program {
        Some(program) => program,
        None => beside()?,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(woadstage_standin::demo::run(
        &program,
        &mut std::io::stdout(),
    ))
}
