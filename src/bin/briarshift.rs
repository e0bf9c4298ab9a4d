//! The `briarshift` command.

use std::io::Write;
use std::process::ExitCode;

use actix_rt::System;
use briarshift::commands::{config, demo, drain, explain, gateway, keys, serve, status, usage};
use gumdrop::Options;

/// The command line.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// run an entry VM
    Serve(serve::Options),
    /// run an entry VM in front of the routed services of a platform
    Gateway(gateway::Options),
    /// run a complete fleet on loopback and print the results
    Demo(demo::Options),
    /// check, put and promote environment documents
    Config(config::Options),
    /// show the status of VMs
    Status(status::Options),
    /// stop a VM from accepting new requests
    Drain(drain::Options),
    /// show where a request would go now, and why, without sending it
    Explain(explain::Options),
    /// show each owner's share of the bill, or check the records behind it
    Usage(usage::Options),
    /// create a certificate authority for development and certificates for VMs
    Keys(keys::Options),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("{}", Arguments::usage());
        eprintln!("\n{}", Arguments::command_list().unwrap_or_default());
        return ExitCode::from(2);
    };
    let out: Box<dyn Write + Send> = match command {
        Command::Gateway(_) => Box::new(std::io::stdout()),
        _ => Box::new(std::io::stderr()),
    };
    briarshift_logging::init("info,actix_server=warn", out);
    match run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: &Command) -> anyhow::Result<()> {
    match command {
        Command::Serve(options) => serve::run(options),
        Command::Gateway(options) => gateway::run(options),
        Command::Demo(options) => System::new().block_on(demo::run(options)),
        Command::Config(options) => System::new().block_on(config::run(options)),
        Command::Status(options) => System::new().block_on(status::run(options)),
        Command::Drain(options) => System::new().block_on(drain::run(options)),
        Command::Explain(options) => System::new().block_on(explain::run(options)),
        Command::Usage(options) => System::new().block_on(usage::run(options)),
        Command::Keys(options) => keys::run(options),
    }
}
