//! Starts and stops a gateway VM's process.

use std::net::{Shutdown, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use actix::{Actor, Addr};
use actix_rt::System;
use actix_web::dev::{Server, ServerHandle};
use actix_web::{App, HttpServer, web};
use anyhow::{Context, anyhow};
use briarshift_forward::{Client, HeaderCodec, Memory};
use briarshift_gateway::{Bounds, Features, Identity, Kind};
use briarshift_routing::freshness;
use briarshift_routing::hedge;
use briarshift_routing::retry_window::Budget;
use briarshift_routing::selection::Bound;
use briarshift_settings::Gateway as Settings;
use briarshift_store::registry::{Registry, Secret};
use briarshift_units::{MegabitsPerSecond, Moment, Size, Span};
use tokio::sync::{mpsc, oneshot, watch};

use super::connections::Connections;
use super::control::{Control, Input};
use super::link::Link;
use super::listener::BACKLOG;
use super::metric::Metrics;
use super::shared::Shared;
use super::task::{Command, Worker};
use super::{clock, listener, operator};

/// How long a stopping process waits for its last responses to be begun:
/// several iterations of the traffic thread's event loop on a slow core.
const FINAL_FLUSH_DELAY: Duration = Duration::from_millis(50);
/// Share of a VM's memory that may hold the bodies of requests and answers. The rest is for
/// the process itself, for connections with their buffers, and for what the allocator keeps.
const BODY_MEMORY_SHARE: f64 = 0.3;
/// Share of the configured load factor that is used. The rest is a margin, because
/// the load counts of the other VMs are a few hundred milliseconds old.
const LOAD_FACTOR_SHARE: f64 = 0.9;
/// Requests that an engine may get beyond its load bound. Needed in pools that are
/// nearly idle, where a multiple of the mean load is too small a bound.
const EXTRA_REQUESTS: u32 = 3;
/// Limit of prompt tokens that an engine has still to process, including those of
/// the prompt to send: about a third of a second of processing.
const MAX_BACKLOG_TOKENS: u64 = 14_000;
/// Share of the retry budget's fixed allowance that is used. The rest is a margin,
/// because the VMs' lists of members differ for a while after a VM is added.
const RETRY_ALLOWANCE_SHARE: f64 = 0.7;

/// Creates a client of the platform's store. Called on the thread that uses it.
pub type RegistryFactory = Box<dyn FnOnce(&Settings) -> Rc<dyn Registry> + Send>;
/// Creates a codec for the platform's headers. Called on the thread that uses it.
pub type HeaderCodecFactory = Arc<dyn Fn() -> Box<dyn HeaderCodec> + Send + Sync>;

/// Options for starting a gateway: its settings and the platform's implementations.
pub struct Options {
    /// The settings of the process.
    pub settings: Settings,
    /// What the deployment calls for.
    pub features: Features,
    /// Creates the client of the platform's store, on the control thread.
    pub registry: RegistryFactory,
    /// Creates the codec for the platform's headers, on the traffic thread.
    pub header_codec: HeaderCodecFactory,
}

/// The running process of a gateway VM.
pub struct Gateway {
    caller: SocketAddr,
    operator: SocketAddr,
    control: Addr<Control>,
    drained: watch::Receiver<Option<Moment>>,
    stop: oneshot::Sender<Stop>,
    thread: thread::JoinHandle<anyhow::Result<()>>,
}

/// Addresses and handles that the control thread sends to [`Gateway::start`]
/// once all listeners are bound.
struct Handles {
    caller: SocketAddr,
    operator: SocketAddr,
    control: Addr<Control>,
    drained: watch::Receiver<Option<Moment>>,
    stop: oneshot::Sender<Stop>,
}

/// How long a process that stops waits for callers to read their answers.
#[derive(Debug, Clone, Copy)]
enum Stop {
    Now,
    By(Moment),
}

impl Gateway {
    /// Starts a gateway on its own threads and waits until it listens.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or random bits can't be read.
    pub fn start(options: Options) -> anyhow::Result<Self> {
        let (ready, started) = std::sync::mpsc::channel();
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || System::new().block_on(serve(options, ready)))
            .context("cannot start the control thread")?;
        let Ok(running) = started.recv() else {
            let result = thread.join().map_err(|_| anyhow!("the control thread panicked"))?;
            return Err(result
                .err()
                .unwrap_or_else(|| anyhow!("the control thread stopped before it listened")));
        };
        let Handles { caller, operator, control, drained, stop } = running;
        Ok(Self { caller, operator, control, drained, stop, thread })
    }

    /// Address of the listener for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller
    }

    /// Address of the listener for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator
    }

    /// Applies the bounds of changed settings. All other settings, such as addresses,
    /// take effect only at the next start.
    pub fn reload(&self, settings: &Settings) {
        self.control.do_send(Input(Kind::Settings(bounds(settings))));
    }

    /// Shuts down gracefully: reports that it is not ready, still serves requests that
    /// arrive, and stops when none is in flight and callers have their answers, or the grace
    /// time is over.
    ///
    /// # Errors
    ///
    /// Fails if the control thread failed.
    pub async fn close(mut self) -> anyhow::Result<()> {
        self.control.do_send(Input(Kind::Drain));
        // An error means that the actor, which owns the sender, has stopped; then no
        // request is in flight either.
        let drained = self.drained.wait_for(Option::is_some).await;
        let stop = drained.ok().and_then(|end| *end).map_or(Stop::Now, Stop::By);
        let stopped = actix_rt::task::spawn_blocking(move || self.stop(stop)).await;
        stopped.context("the thread that waits for the control thread panicked")?
    }

    /// Stops without draining. Responses that are ready still have a few
    /// milliseconds to be written.
    ///
    /// # Errors
    ///
    /// Fails if the control thread failed.
    pub fn abort(self) -> anyhow::Result<()> {
        self.stop(Stop::Now)
    }

    fn stop(self, stop: Stop) -> anyhow::Result<()> {
        // Sending fails if the control thread has already stopped.
        let _ = self.stop.send(stop);
        self.thread.join().map_err(|_| anyhow!("the control thread panicked"))?
    }
}

/// Runs the gateway on the control thread until its handle stops it.
async fn serve(options: Options, ready: std::sync::mpsc::Sender<Handles>) -> anyhow::Result<()> {
    let Options { settings, features, registry, header_codec } = options;
    let (stop, stopped) = oneshot::channel();
    let link = Link::bind(settings.peer_address).await?;
    let identity = identity(&settings, features, &link)?;
    log::info!(
        "event=start vm={} start={} data_centre={} version={}",
        identity.vm,
        identity.start,
        identity.data_centre,
        env!("CARGO_PKG_VERSION")
    );
    let shared = Shared::default();
    let metrics = Metrics::new(&settings.vm)?;
    let (commands, command_receiver) = mpsc::unbounded_channel();
    let registry = registry(&settings);
    let control =
        Control::new(identity, registry, link.clone(), shared.clone(), metrics.clone(), commands);
    let drained = control.drained();
    let control = control.start();
    actix_rt::spawn(forward_datagrams(link, control.clone()));

    let connections = Connections::default();
    let listener = bind_listener(settings.caller_address)?;
    let caller = listener.local_addr()?;
    let closing_listener = listener.try_clone().context("cannot copy the callers' listener")?;
    let callers = caller_server(
        listener,
        settings.memory_mb,
        &control,
        &shared,
        &connections,
        header_codec,
        command_receiver,
    )?;
    let (operator, operators) = operator_server(&settings, &control, &shared, &metrics)?;
    let servers: [ServerHandle; 2] = [callers.handle(), operators.handle()];
    actix_rt::spawn(callers);
    actix_rt::spawn(operators);
    ready
        .send(Handles { caller, operator, control, drained, stop })
        .map_err(|_| anyhow!("the thread that started this gateway no longer waits for it"))?;
    // An error means that the `Gateway` was dropped, which also stops the process.
    let stop = stopped.await.unwrap_or(Stop::Now);
    // Connections that are not accepted yet stay unanswered. Requests that were read
    // get their responses within the delay.
    servers[0].pause().await;
    actix_rt::time::sleep(FINAL_FLUSH_DELAY).await;
    if let Stop::By(end) = stop {
        // Callers that connect from now on learn at once that they must go elsewhere.
        let _ = socket2::SockRef::from(&closing_listener).shutdown(Shutdown::Both);
        let cut = connections.close(end.since(clock::now()).into()).await;
        log::info!("event=connections_closed cut={cut}");
    }
    for server in &servers {
        server.stop(false).await;
    }
    log::info!("event=stop");
    Ok(())
}

/// Forwards datagrams from peers to the control thread.
async fn forward_datagrams(link: Link, control: Addr<Control>) {
    loop {
        let datagram = link.receive().await;
        control.do_send(Input(Kind::Datagram(datagram)));
    }
}

fn identity(settings: &Settings, features: Features, link: &Link) -> anyhow::Result<Identity> {
    Ok(Identity {
        vm: settings.vm.clone(),
        start: clock::start(),
        data_centre: settings.data_centre.clone(),
        address: link.address().context("cannot read the address of the peer listener")?,
        link: MegabitsPerSecond(settings.link_mbit_s as u64),
        secret: secret()?,
        bounds: bounds(settings),
        features,
    })
}

/// Returns a new secret from the system's random source.
fn secret() -> anyhow::Result<Secret> {
    let mut secret = [0; 32];
    let mut file = std::fs::File::open("/dev/urandom")
        .context("cannot open /dev/urandom: check that it exists and is readable")?;
    std::io::Read::read_exact(&mut file, &mut secret)
        .context("cannot read random bits from /dev/urandom")?;
    Ok(Secret(secret))
}

fn bounds(settings: &Settings) -> Bounds {
    let bounds = &settings.bounds;
    let span = |seconds: f64| Span((seconds * 1e6) as u64);
    Bounds {
        key_age: freshness::max_age(Span::from_millis(bounds.revoke_ms)),
        change: Span::from_millis(bounds.config_ms.min(bounds.leave_ms)),
        retry_budget: Budget {
            ratio: bounds.retry_ratio,
            allowance: bounds.retry_extra * RETRY_ALLOWANCE_SHARE,
            length: span(bounds.retry_window_s),
        },
        engine_load: Bound {
            factor: (bounds.load_factor * LOAD_FACTOR_SHARE).max(1.0),
            extra: EXTRA_REQUESTS,
            backlog: MAX_BACKLOG_TOKENS,
        },
        grace: span(bounds.grace_s),
        hedge: settings.hedge.map_or(hedge::Policy::OFF, |hedge| hedge::Policy {
            share: hedge.share,
            quantile: hedge.quantile,
            window: span(hedge.window_s),
        }),
    }
}

fn bind_listener(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket
        .bind(&address.into())
        .and_then(|()| socket.listen(BACKLOG as i32))
        .with_context(|| format!("cannot listen on {address}: choose a free address of this VM"))?;
    Ok(socket.into())
}

fn caller_server(
    listener: TcpListener,
    memory_mb: Option<f64>,
    control: &Addr<Control>,
    shared: &Shared,
    connections: &Connections,
    header_codec: HeaderCodecFactory,
    command_receiver: mpsc::UnboundedReceiver<Command>,
) -> anyhow::Result<Server> {
    let (control, shared) = (control.clone(), shared.clone());
    let memory = memory_mb.map_or_else(Memory::default, |megabytes| {
        Memory::new(Size((megabytes * BODY_MEMORY_SHARE * f64::from(1 << 20)) as u64))
    });
    // There is one traffic thread, whose client gets all commands.
    let command_receiver = Arc::new(std::sync::Mutex::new(Some(command_receiver)));
    let own_shared = shared.clone();
    let worker = move || {
        let client = Client::new(briarshift_forward::Options::default(), memory.clone());
        if let Some(command_receiver) =
            command_receiver.lock().ok().and_then(|mut slot| slot.take())
        {
            actix_rt::spawn(run_commands(command_receiver, client.clone()));
        }
        Rc::new(Worker::new(control.clone(), header_codec(), own_shared.clone(), client))
    };
    listener::serve(listener, &shared, connections, worker)
}

/// Executes the control thread's commands on the traffic thread.
async fn run_commands(mut commands: mpsc::UnboundedReceiver<Command>, client: Client) {
    while let Some(Command::CloseConnections(address)) = commands.recv().await {
        client.close_idle(address);
    }
}

fn operator_server(
    settings: &Settings,
    control: &Addr<Control>,
    shared: &Shared,
    metrics: &Metrics,
) -> anyhow::Result<(SocketAddr, Server)> {
    let listener = bind_listener(settings.operator_address)?;
    let address = listener.local_addr()?;
    let ready = bind_listener(settings.ready_address)?;
    let (control, shared, metrics) = (control.clone(), shared.clone(), metrics.clone());
    let factory = move || {
        App::new()
            .app_data(web::Data::new(control.clone()))
            .app_data(web::Data::new(shared.clone()))
            .app_data(web::Data::new(metrics.clone()))
            .configure(operator::configure)
    };
    let server = HttpServer::new(factory)
        .disable_signals()
        .workers(1)
        .listen(listener)
        .and_then(|server| server.listen(ready))
        .context("cannot start the operators' listener")?;
    Ok((address, server.run()))
}
