//! Runs a stand-in as a process. It prints `listening 127.0.0.1:PORT` once it accepts connections. An
//! engine or runner that crashes by an injected fault exits with code 70.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use briarshift_standin::{engine, platform, runner};
use briarshift_units::{ModelId, StartNumber};
use gumdrop::Options;

/// Exit code of a stand-in that crashed by an injected fault.
const CRASH_EXIT_CODE: u8 = 70;

#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// which stand-in to run
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// the platform's service
    Platform(Platform),
    /// a model engine
    Engine(Engine),
    /// a desk runner
    Runner(Runner),
}

#[derive(Debug, Options)]
struct Platform {
    /// print this help
    help: bool,
    /// loopback port, 0 to let the system choose
    #[options(meta = "PORT")]
    port: u16,
}

#[derive(Debug, Options)]
struct Engine {
    /// print this help
    help: bool,
    /// loopback port, 0 to let the system choose
    #[options(meta = "PORT")]
    port: u16,
    /// start number of the process
    #[options(no_short, default = "1", meta = "N")]
    start: u64,
    /// a model that is loaded at the start (may be repeated)
    #[options(meta = "ID")]
    model: Vec<ModelId>,
    /// number of chats whose context the cache holds
    #[options(default = "1024", meta = "CHATS")]
    cache: usize,
    /// milliseconds to generate one token
    #[options(no_short, default = "0", meta = "MS")]
    token_ms: u64,
    /// smallest number of tokens in an answer
    #[options(no_short, default = "0", meta = "N")]
    tokens: usize,
    /// milliseconds before the first token of a chat that is not in the cache
    #[options(no_short, default = "0", meta = "MS")]
    prefill_ms: u64,
    /// largest age of a load report, in milliseconds
    #[options(no_short, default = "0", meta = "MS")]
    load_lag_ms: u64,
    /// delay before cache events are reported, in milliseconds
    #[options(no_short, default = "0", meta = "MS")]
    event_lag_ms: u64,
    /// omit every N-th cache event, 0 for none
    #[options(no_short, default = "0", meta = "N")]
    event_gap: u64,
    /// accept orders with any fencing token
    #[options(no_short)]
    ignore_fencing: bool,
    /// milliseconds to load a model
    #[options(no_short, default = "0", meta = "MS")]
    model_load_ms: u64,
}

#[derive(Debug, Options)]
struct Runner {
    /// print this help
    help: bool,
    /// loopback port, 0 to let the system choose
    #[options(meta = "PORT")]
    port: u16,
    /// start number of the process
    #[options(no_short, default = "1", meta = "N")]
    start: u64,
    /// milliseconds that each call takes
    #[options(no_short, default = "0", meta = "MS")]
    work_ms: u64,
}

fn main() -> anyhow::Result<ExitCode> {
    env_logger::init();
    let arguments = Arguments::parse_args_default_or_exit();
    let crashed = match arguments.command {
        Some(Command::Platform(options)) => {
            let server = platform::Server::start_on(options.port)?;
            announce(server.address())?;
            server.wait();
            false
        }
        Some(Command::Engine(options)) => {
            let server = engine::Server::start(engine_settings(options))?;
            announce(server.address())?;
            server.wait()
        }
        Some(Command::Runner(options)) => {
            let server = runner::Server::start(runner::Settings {
                port: options.port,
                start_number: StartNumber(options.start),
                call_time: Duration::from_millis(options.work_ms),
            })?;
            announce(server.address())?;
            server.wait()
        }
        None => false,
    };
    Ok(if crashed { ExitCode::from(CRASH_EXIT_CODE) } else { ExitCode::SUCCESS })
}

fn engine_settings(options: Engine) -> engine::Settings {
    engine::Builder::new()
        .port(options.port)
        .start_number(StartNumber(options.start))
        .models(options.model)
        .cache_capacity(options.cache)
        .token_time(Duration::from_millis(options.token_ms))
        .min_tokens(options.tokens)
        .prefill_time(Duration::from_millis(options.prefill_ms))
        .max_report_age(Duration::from_millis(options.load_lag_ms))
        .cache_events(Duration::from_millis(options.event_lag_ms), options.event_gap)
        .check_fencing(!options.ignore_fencing)
        .model_load_time(Duration::from_millis(options.model_load_ms))
        .build()
}

fn announce(address: SocketAddr) -> std::io::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()
}
