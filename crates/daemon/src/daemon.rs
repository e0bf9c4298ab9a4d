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

use crate::caller::{self, MAX_BODY_BYTES};
use crate::clock;
use crate::control::{Control, Drain, Input};
use crate::driver::Driver;
use crate::metric::Metrics;
use crate::operator::{self, ControlTraffic};
use crate::worker::Worker;

/// Timeout of calls to the platform's store and VM list.
const PLATFORM_TIMEOUT: Span = Span::from_secs(1);
/// Timeout of load polls of targets and of orders to them.
const POLL_TIMEOUT: Span = Span::from_secs(1);
/// Longest wait for the headers of a target's answer.
const HEADER_TIMEOUT: Span = Span::from_secs(600);
/// How long a listener may take to write its last responses to callers when it
/// stops; by then no request is in flight unless the drain timed out.
const FLUSH_TIMEOUT_SECONDS: u64 = 10;

/// Options for starting a daemon.
#[derive(Debug, Clone)]
pub struct Options {
    /// The settings of the process.
    pub process: Process,
}

/// The running process of an entry VM.
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

/// Addresses and handles that the control thread sends to [`Daemon::start`]
/// once all listeners are bound.
struct Handles {
    caller: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
    control: Addr<Control>,
    servers: Vec<ServerHandle>,
    stop: oneshot::Sender<()>,
}

impl Daemon {
    /// Starts a daemon on its own threads and waits until it listens.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or a setting is invalid.
    pub fn start(options: Options) -> anyhow::Result<Self> {
        let drain = Span::from_millis(options.process.drain_ms);
        let (ready, started) = std::sync::mpsc::channel();
        let thread = thread::Builder::new()
            .name(format!("control-{}", options.process.vm))
            .spawn(move || System::new().block_on(serve(options.process, ready)))
            .context("cannot start the control thread")?;
        let Ok(running) = started.recv() else {
            let result = thread.join().map_err(|_| anyhow!("the control thread panicked"))?;
            return Err(result
                .err()
                .unwrap_or_else(|| anyhow!("the control thread stopped before it listened")));
        };
        let Handles { caller, operator, peer, control, servers, stop } = running;
        Ok(Self { caller, operator, peer, control, servers, stop, thread, drain })
    }

    /// Address of the listener for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller
    }

    /// Address of the listener for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator
    }

    /// Address of the listener for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer
    }

    /// Shuts down gracefully: refuses new requests, waits for the requests in
    /// flight for at most `drain_ms` of the settings, and stops.
    ///
    /// # Errors
    ///
    /// Fails if the control thread failed.
    pub async fn close(self) -> anyhow::Result<()> {
        let drained = self.control.send(Drain);
        if tokio::time::timeout(self.drain.into(), drained).await.is_err() {
            log::warn!("event=drain_timeout after={}", self.drain);
        }
        for server in &self.servers {
            server.stop(true).await;
        }
        self.join()
    }

    /// Stops at once without draining, as if the VM had crashed.
    ///
    /// # Errors
    ///
    /// Fails if the control thread failed.
    pub async fn abort(self) -> anyhow::Result<()> {
        for server in &self.servers {
            server.stop(false).await;
        }
        self.join()
    }

    fn join(self) -> anyhow::Result<()> {
        // Sending fails if the control thread has already stopped.
        let _ = self.stop.send(());
        self.thread.join().map_err(|_| anyhow!("the control thread panicked"))?
    }
}

/// Runs the daemon on the control thread until its handle stops it.
async fn serve(process: Process, ready: std::sync::mpsc::Sender<Handles>) -> anyhow::Result<()> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (link, received) = bind_link(&process)?;
    let peer = link.address();
    let identity = identity(&process, peer)?;
    log::info!(
        "event=start vm={} start={} data_centre={}",
        identity.vm,
        identity.start,
        identity.data_centre
    );
    let metrics = Metrics::new(&process.vm, &link.monitor())?;
    let budget = BytesPerSecond(process.control_bytes_per_second);
    let traffic = ControlTraffic { budget, peers: link.monitor() };
    let platform = Rc::new(Platform::new(&process.platform, PLATFORM_TIMEOUT));
    let driver = Driver {
        store: platform.clone(),
        vms: platform,
        targets: target_client(),
        peers: Box::new(link),
    };
    let control = Control::new(identity, driver, metrics.clone()).start();
    actix_rt::spawn(forward_messages(received, control.clone()));

    let listener = bind_listener(process.caller_address)?;
    let caller = listener.local_addr()?;
    let callers = caller_server(listener, &process, control.clone())?;
    let listener = bind_listener(process.operator_address)?;
    let operator = listener.local_addr()?;
    let operators = operator_server(listener, control.clone(), metrics, traffic)?;

    let servers = vec![callers.handle(), operators.handle()];
    actix_rt::spawn(callers);
    actix_rt::spawn(operators);
    ready
        .send(Handles { caller, operator, peer, control, servers, stop })
        .map_err(|_| anyhow!("the thread that started this daemon no longer waits for it"))?;
    // An error means that the `Daemon` was dropped, which also stops the process.
    let _ = stopped.await;
    Ok(())
}

fn bind_link(process: &Process) -> anyhow::Result<(QuicTransport, mpsc::Receiver<Received>)> {
    let read = |path: &Path| {
        std::fs::read(path).with_context(|| {
            format!("cannot read {}: create certificates with 'briarshift keys'", path.display())
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

/// Forwards messages from peers to the control thread.
async fn forward_messages(mut received: mpsc::Receiver<Received>, control: Addr<Control>) {
    while let Some(Received { from, message, .. }) = received.recv().await {
        control.do_send(Input(Kind::Peer { from, message }));
    }
}

fn bind_listener(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .with_context(|| format!("cannot listen on {address}: choose a free address of this VM"))
}

fn target_client() -> Rc<dyn TargetClient> {
    Rc::new(Targets::new(POLL_TIMEOUT, HEADER_TIMEOUT))
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

fn caller_server(
    listener: TcpListener,
    process: &Process,
    control: Addr<Control>,
) -> anyhow::Result<Server> {
    let factory = move || {
        let worker = Rc::new(Worker::new(control.clone(), target_client()));
        App::new()
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::Data::new(worker))
            .app_data(web::Data::new(control.clone()))
            .configure(caller::configure)
    };
    let mut server =
        HttpServer::new(factory).disable_signals().shutdown_timeout(FLUSH_TIMEOUT_SECONDS);
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

fn operator_server(
    listener: TcpListener,
    control: Addr<Control>,
    metrics: Metrics,
    traffic: ControlTraffic,
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
