//! Starts and stops an entry VM's process.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use actix::{Actor, Addr};
use actix_rt::System;
use actix_web::dev::{Server, ServerHandle};
use actix_web::{App, HttpServer, web};
use anyhow::{Context, anyhow};
use briarshift_control::{Identity, Kind};
use briarshift_peer::{Config, QuicTransport, Received, Tls};
use briarshift_settings::Process;
use briarshift_store::http::Client as Platform;
use briarshift_target::TargetClient;
use briarshift_target::http::Client as Targets;
use briarshift_units::{BytesPerSecond, Span};
use tokio::sync::{mpsc, oneshot};

use crate::caller::{self, MAX_BODY};
use crate::clock;
use crate::control::{Control, Drain, Input};
use crate::driver::Driver;
use crate::metric::Metrics;
use crate::operator::{self, Traffic};
use crate::worker::Worker;

/// Calls to the platform are given up after this time.
const PLATFORM_TIMEOUT: Span = Span::from_secs(1);
/// Polls of targets and orders are given up after this time.
const POLL_TIMEOUT: Span = Span::from_secs(1);
/// Answers whose head does not come are given up after this time.
const HEAD_TIMEOUT: Span = Span::from_secs(600);
/// How long the listeners wait for responses to leave once none is in flight.
const FLUSH_SECONDS: u64 = 10;

/// What a daemon needs beside its settings.
#[derive(Debug, Clone)]
pub struct Options {
    /// Its settings.
    pub process: Process,
}

/// A running entry VM.
pub struct Daemon {
    caller: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
    control: Addr<Control>,
    servers: Vec<ServerHandle>,
    stop: oneshot::Sender<()>,
    thread: thread::JoinHandle<anyhow::Result<()>>,
    drain: Span,
}

/// What the control thread hands out once it runs.
struct Running {
    caller: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
    control: Addr<Control>,
    servers: Vec<ServerHandle>,
    stop: oneshot::Sender<()>,
}

impl Daemon {
    /// Starts a daemon on threads of its own and waits until it listens.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or a setting can't be used.
    pub fn start(options: Options) -> anyhow::Result<Self> {
        let drain = Span::from_millis(options.process.drain_ms);
        let (ready, started) = std::sync::mpsc::channel();
        let thread = thread::Builder::new()
            .name(format!("control-{}", options.process.vm))
            .spawn(move || System::new().block_on(serve(options.process, ready)))
            .context("cannot start the control thread")?;
        let Ok(running) = started.recv() else {
            let result = thread.join().map_err(|_| anyhow!("the control thread panicked"))?;
            return Err(result.err().unwrap_or_else(|| anyhow!("the daemon ended at once")));
        };
        let Running { caller, operator, peer, control, servers, stop } = running;
        Ok(Self { caller, operator, peer, control, servers, stop, thread, drain })
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator
    }

    /// Where peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// Shuts down gracefully: takes no new request, waits for those in flight,
    /// at most as long as the settings say, and ends.
    ///
    /// # Errors
    ///
    /// If the control thread failed.
    pub async fn close(self) -> anyhow::Result<()> {
        let drained = self.control.send(Drain);
        if tokio::time::timeout(self.drain.into(), drained).await.is_err() {
            log::warn!("event=drain_timeout after={}", self.drain);
        }
        for server in &self.servers {
            server.stop(true).await;
        }
        self.end()
    }

    /// Ends at once, as if the VM were taken away.
    ///
    /// # Errors
    ///
    /// If the control thread failed.
    pub async fn abort(self) -> anyhow::Result<()> {
        for server in &self.servers {
            server.stop(false).await;
        }
        self.end()
    }

    fn end(self) -> anyhow::Result<()> {
        // The thread is gone already if nobody listens.
        let _ = self.stop.send(());
        self.thread.join().map_err(|_| anyhow!("the control thread panicked"))?
    }
}

async fn serve(process: Process, ready: std::sync::mpsc::Sender<Running>) -> anyhow::Result<()> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (link, received) = link(&process)?;
    let peer = link.address();
    let me = identity(&process, peer)?;
    log::info!("event=start vm={} start={} data_centre={}", me.vm, me.start, me.data_centre);
    let metrics = Metrics::new(&process.vm, &link.monitor())?;
    let budget = BytesPerSecond(process.control_bytes_per_second);
    let traffic = Traffic { budget, peers: link.monitor() };
    let platform = Rc::new(Platform::new(&process.platform, PLATFORM_TIMEOUT));
    let driver = Driver {
        store: platform.clone(),
        vms: platform,
        targets: targets(),
        peers: Box::new(link),
    };
    let control = Control::new(me, driver, metrics.clone()).start();
    actix_rt::spawn(hear(received, control.clone()));

    let listener = bind(process.caller_address)?;
    let caller = listener.local_addr()?;
    let callers = callers(listener, &process, control.clone())?;
    let listener = bind(process.operator_address)?;
    let operator = listener.local_addr()?;
    let operators = operators(listener, control.clone(), metrics, traffic)?;

    let servers = vec![callers.handle(), operators.handle()];
    actix_rt::spawn(callers);
    actix_rt::spawn(operators);
    ready
        .send(Running { caller, operator, peer, control, servers, stop })
        .map_err(|_| anyhow!("the starter is gone"))?;
    // An error means that the handle was dropped: end then too.
    let _ = stopped.await;
    Ok(())
}

fn link(process: &Process) -> anyhow::Result<(QuicTransport, mpsc::Receiver<Received>)> {
    let read = |path: &Path| {
        std::fs::read(path).with_context(|| {
            format!("cannot read {}: make certificates with 'briarshift keys'", path.display())
        })
    };
    let tls = Tls {
        ca: read(&process.tls.ca)?,
        certificate: read(&process.tls.certificate)?,
        key: read(&process.tls.key)?,
    };
    let config =
        Config::builder(process.fleet.clone(), process.vm.clone(), process.peer_address, tls);
    let budget = BytesPerSecond(process.control_bytes_per_second);
    QuicTransport::bind(config.budget(budget).build()).context("cannot start the peer listener")
}

/// Hands peers' messages to the control thread.
async fn hear(mut received: mpsc::Receiver<Received>, control: Addr<Control>) {
    while let Some(Received { from, message, .. }) = received.recv().await {
        control.do_send(Input(Kind::Peer { from, message }));
    }
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .with_context(|| format!("cannot listen on {address}: choose a free address of this VM"))
}

fn targets() -> Rc<dyn TargetClient> {
    Rc::new(Targets::new(POLL_TIMEOUT, HEAD_TIMEOUT))
}

fn identity(process: &Process, address: SocketAddr) -> anyhow::Result<Identity> {
    let mut token_key = [0; 32];
    hex::decode_to_slice(process.token_key.as_str(), &mut token_key)
        .context("token_key must be 64 hexadecimal digits")?;
    Ok(Identity {
        vm: process.vm.clone(),
        start: clock::start(),
        data_centre: process.data_centre.clone(),
        address,
        environment: process.environment.clone(),
        token_key,
    })
}

fn callers(
    listener: TcpListener,
    process: &Process,
    control: Addr<Control>,
) -> anyhow::Result<Server> {
    let factory = move || {
        let worker = Rc::new(Worker::new(control.clone(), targets()));
        App::new()
            .app_data(web::PayloadConfig::new(MAX_BODY))
            .app_data(web::Data::new(worker))
            .app_data(web::Data::new(control.clone()))
            .configure(caller::configure)
    };
    let mut server = HttpServer::new(factory).disable_signals().shutdown_timeout(FLUSH_SECONDS);
    if 0 < process.workers {
        server = server.workers(process.workers);
    }
    let server = server
        .keep_alive(Duration::from_secs(75))
        .client_request_timeout(Duration::from_secs(60))
        .listen(listener)
        .context("cannot start the callers' listener")?;
    Ok(server.run())
}

fn operators(
    listener: TcpListener,
    control: Addr<Control>,
    metrics: Metrics,
    traffic: Traffic,
) -> anyhow::Result<Server> {
    let factory = move || {
        App::new()
            .app_data(web::Data::new(control.clone()))
            .app_data(web::Data::new(metrics.clone()))
            .app_data(web::Data::new(traffic.clone()))
            .configure(operator::configure)
    };
    let server = HttpServer::new(factory)
        .disable_signals()
        .workers(1)
        .shutdown_timeout(1)
        .listen(listener)
        .context("cannot start the operators' listener")?;
    Ok(server.run())
}
