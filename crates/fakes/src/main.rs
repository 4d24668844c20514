//! Starts one stand-in. Its first line on standard output is `listening on ADDR`.

use std::net::SocketAddr;
use std::path::PathBuf;

use async_net::TcpListener;
use comfreymast_fakes::engine::batch::EngineOptions;
use comfreymast_fakes::engine::server::{Engine, ServerOptions};
use comfreymast_fakes::history::History;
use comfreymast_fakes::log_service::LogService;
use comfreymast_fakes::plain_service::PlainService;
use comfreymast_fakes::vm_list::VmListService;
use comfreymast_net::{Handler, ServeLimits, Spawner, serve};

mod flags {
    #![allow(missing_docs, clippy::all)]
    use super::{PathBuf, SocketAddr};

    xflags::xflags! {
        /// Stand-ins for the systems that comfreymast meets.
        cmd comfreymast-fakes {
            /// Where to listen; 127.0.0.1:0 lets the system choose a port.
            optional --listen listen: SocketAddr
            /// The name used in answers and histories.
            optional --name name: String
            /// The file that events are appended to.
            optional --history history: PathBuf
            /// An append-only log.
            cmd log {}
            /// The list of VMs.
            cmd vms {}
            /// A plain service.
            cmd service {}
            /// A model engine.
            cmd engine {
                /// Memory for prompts and outputs.
                optional --memory-tokens memory_tokens: u64
                /// A step of an empty batch.
                optional --step-us step_us: u64
                /// What each generation of the batch adds to a step.
                optional --step-per-generation-us step_per_generation_us: u64
                /// How long a generation without a reader goes on.
                optional --linger-ms linger_ms: u64
                /// Serves orders that carry an old fence.
                optional --ignore-fences
            }
        }
    }
}

const DEFAULT_LINGER_MS: u64 = 10_000;
const THREADS: usize = 2;

fn main() -> std::io::Result<()> {
    env_logger::init();
    let flags = flags::ComfreymastFakes::from_env_or_exit();
    Spawner::run(THREADS, |spawner| run(spawner, flags))
}

async fn run(spawner: Spawner, flags: flags::ComfreymastFakes) -> std::io::Result<()> {
    let listen = flags.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let name = flags.name.unwrap_or_else(|| "fake".to_owned());
    let history = History::open(&name, flags.history.as_deref())?;
    let (_stop_sender, stop) = async_channel::bounded::<()>(1);
    let handler: Handler = match flags.subcommand {
        flags::ComfreymastFakesCmd::Log(_) => LogService::new().handler(),
        flags::ComfreymastFakesCmd::Vms(_) => VmListService::default().handler(),
        flags::ComfreymastFakesCmd::Service(_) => PlainService::new(&name, history).handler(),
        flags::ComfreymastFakesCmd::Engine(options) => {
            let engine = Engine::new(&name, server_options(&options), history);
            engine.run(&spawner, stop.clone());
            engine.handler()
        }
    };
    let listener = TcpListener::bind(listen).await?;
    println!("listening on {}", listener.local_addr()?);
    serve(spawner, listener, handler, ServeLimits::default(), stop).await;
    Ok(())
}

fn server_options(flags: &flags::Engine) -> ServerOptions {
    let default = EngineOptions::default();
    ServerOptions {
        engine: EngineOptions {
            memory_tokens: flags.memory_tokens.unwrap_or(default.memory_tokens),
            step_us: flags.step_us.unwrap_or(default.step_us),
            step_per_generation_us: flags
                .step_per_generation_us
                .unwrap_or(default.step_per_generation_us),
            ..default
        },
        ignore_fences: flags.ignore_fences,
        linger_ms: flags.linger_ms.unwrap_or(DEFAULT_LINGER_MS),
    }
}
