//! Starts and stops a gateway VM's process.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use actix::{Actor, Addr};
use actix_rt::System;
use actix_web::dev::{Server, ServerHandle};
use actix_web::{App, HttpServer, web};
use anyhow::{Context, anyhow};
use briarshift_forward::{Client, HeaderCodec};
use briarshift_gateway::{Bounds, Identity, Kind};
use briarshift_routing::fence;
use briarshift_routing::retry_window::Budget;
use briarshift_routing::selection::Bound;
use briarshift_settings::Gateway as Settings;
use briarshift_store::registry::{Registry, Secret};
use briarshift_units::{MegabitsPerSecond, Span};
use tokio::sync::{mpsc, oneshot, watch};

use super::control::{Control, Input};
use super::link::Link;
use super::metric::Metrics;
use super::shared::Shared;
use super::task::{Order, Worker};
use super::{caller, clock, operator};

/// Kept connections of callers may stay idle for this long: well above the
/// time after which callers no longer use them.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// A request's head must be read within this time.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a closed connection may take to be gone.
const DISCONNECT: Duration = Duration::from_millis(500);
/// How long a process that ends lets its last answers leave: some turns of the
/// traffic thread on a slow core.
const LAST_ANSWERS: Duration = Duration::from_millis(50);
/// New connections that may wait to be taken up.
const BACKLOG: u32 = 1024;
/// Share of the load bound that this fleet keeps to: its counts are some
/// hundred milliseconds old.
const LOAD_SHARE: f64 = 0.9;
/// Requests beside the bound, for pools that are nearly idle.
const LOAD_EXTRA: u32 = 3;
/// Most prompt tokens waiting to be read at an engine that is given another
/// prompt: about a third of a second's reading.
const MOST_BACKLOG: u64 = 14_000;
/// Share of the retry budget's constant that is used: lists of VMs differ for
/// a while after one is added.
const EXTRA_SHARE: f64 = 0.7;

/// Makes a client of the platform's store on the thread that uses it.
pub type RegistryFactory = Box<dyn FnOnce(&Settings) -> Rc<dyn Registry> + Send>;
/// Makes a reader of the platform's headers on the thread that uses it.
pub type HeaderCodecFactory = Arc<dyn Fn() -> Box<dyn HeaderCodec> + Send + Sync>;

/// What a gateway needs beside its settings: the platform's side.
pub struct Options {
    /// Its settings.
    pub settings: Settings,
    /// Makes the client of the platform's store, on the control thread.
    pub registry: RegistryFactory,
    /// Makes a reader of the platform's headers, on the traffic thread.
    pub header_codec: HeaderCodecFactory,
}

/// A running gateway VM.
pub struct Gateway {
    caller: SocketAddr,
    operator: SocketAddr,
    control: Addr<Control>,
    drained: watch::Receiver<bool>,
    stop: oneshot::Sender<()>,
    thread: thread::JoinHandle<anyhow::Result<()>>,
}

/// What the control thread hands out once it runs.
struct Running {
    caller: SocketAddr,
    operator: SocketAddr,
    control: Addr<Control>,
    drained: watch::Receiver<bool>,
    stop: oneshot::Sender<()>,
}

impl Gateway {
    /// Starts a gateway on threads of its own and waits until it listens.
    ///
    /// # Errors
    ///
    /// If an address can't be bound.
    pub fn start(options: Options) -> anyhow::Result<Self> {
        let (ready, started) = std::sync::mpsc::channel();
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || System::new().block_on(serve(options, ready)))
            .context("cannot start the control thread")?;
        let Ok(running) = started.recv() else {
            let result = thread.join().map_err(|_| anyhow!("the control thread panicked"))?;
            return Err(result.err().unwrap_or_else(|| anyhow!("the gateway ended at once")));
        };
        let Running { caller, operator, control, drained, stop } = running;
        Ok(Self { caller, operator, control, drained, stop, thread })
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator
    }

    /// Takes up changed settings; addresses stay as they are.
    pub fn reload(&self, settings: &Settings) {
        self.control.do_send(Input(Kind::Settings(bounds(settings))));
    }

    /// Shuts down gracefully: says that it is not ready, serves whoever still
    /// comes, and ends when none is in flight or the grace time is over.
    ///
    /// # Errors
    ///
    /// If the control thread failed.
    pub async fn close(mut self) -> anyhow::Result<()> {
        self.control.do_send(Input(Kind::Drain));
        // The sender lives in the actor; if that is gone, so are requests.
        let _ = self.drained.wait_for(|drained| *drained).await;
        self.abort()
    }

    /// Ends at once, as if the VM were taken away.
    ///
    /// # Errors
    ///
    /// If the control thread failed.
    pub fn abort(self) -> anyhow::Result<()> {
        // The thread is gone already if nobody listens.
        let _ = self.stop.send(());
        self.thread.join().map_err(|_| anyhow!("the control thread panicked"))?
    }
}

async fn serve(options: Options, ready: std::sync::mpsc::Sender<Running>) -> anyhow::Result<()> {
    let Options { settings, registry, header_codec } = options;
    let (stop, stopped) = oneshot::channel::<()>();
    let link = Link::bind(settings.peer_address).await?;
    let me = identity(&settings, &link)?;
    log::info!(
        "event=start vm={} start={} data_centre={} version={}",
        me.vm,
        me.start,
        me.data_centre,
        env!("CARGO_PKG_VERSION")
    );
    let shared = Shared::default();
    let metrics = Metrics::new(&settings.vm)?;
    let (orders, taken) = mpsc::unbounded_channel();
    let registry = registry(&settings);
    let control = Control::new(me, registry, link.clone(), shared.clone(), metrics.clone(), orders);
    let drained = control.drained();
    let control = control.start();
    actix_rt::spawn(hear(link, control.clone()));

    let (caller, callers) = callers(&settings, &control, &shared, header_codec, taken)?;
    let (operator, operators) = operators(&settings, &control, &shared, &metrics)?;
    let servers: [ServerHandle; 2] = [callers.handle(), operators.handle()];
    actix_rt::spawn(callers);
    actix_rt::spawn(operators);
    ready
        .send(Running { caller, operator, control, drained, stop })
        .map_err(|_| anyhow!("the starter is gone"))?;
    // An error means that the handle was dropped: end then too.
    let _ = stopped.await;
    // What has been read is answered; what has not been accepted never is.
    servers[0].pause().await;
    actix_rt::time::sleep(LAST_ANSWERS).await;
    for server in &servers {
        server.stop(false).await;
    }
    log::info!("event=stop");
    Ok(())
}

/// Hands peers' datagrams to the control thread.
async fn hear(link: Link, control: Addr<Control>) {
    loop {
        let datagram = link.receive().await;
        control.do_send(Input(Kind::Datagram(datagram)));
    }
}

fn identity(settings: &Settings, link: &Link) -> anyhow::Result<Identity> {
    Ok(Identity {
        vm: settings.vm.clone(),
        start: clock::start(),
        data_centre: settings.data_centre.clone(),
        address: link.address().context("the peer listener has no address")?,
        link: MegabitsPerSecond(settings.link_mbit_s as u64),
        secret: secret()?,
        bounds: bounds(settings),
    })
}

/// A secret of the system's random bits.
fn secret() -> anyhow::Result<Secret> {
    let mut secret = [0; 32];
    let mut file = std::fs::File::open("/dev/urandom").context("cannot open the random source")?;
    std::io::Read::read_exact(&mut file, &mut secret).context("cannot read random bits")?;
    Ok(Secret(secret))
}

fn bounds(settings: &Settings) -> Bounds {
    let bounds = &settings.bounds;
    let span = |seconds: f64| Span((seconds * 1e6) as u64);
    Bounds {
        key_age: fence::max_age(Span::from_millis(bounds.revoke_ms)),
        retry_budget: Budget {
            ratio: bounds.retry_ratio,
            allowance: bounds.retry_extra * EXTRA_SHARE,
            length: span(bounds.retry_window_s),
        },
        engine_load: Bound {
            factor: (bounds.load_factor * LOAD_SHARE).max(1.0),
            extra: LOAD_EXTRA,
            backlog: MOST_BACKLOG,
        },
        grace: span(bounds.grace_s),
    }
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
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

fn callers(
    settings: &Settings,
    control: &Addr<Control>,
    shared: &Shared,
    header_codec: HeaderCodecFactory,
    taken: mpsc::UnboundedReceiver<Order>,
) -> anyhow::Result<(SocketAddr, Server)> {
    let listener = bind(settings.caller_address)?;
    let address = listener.local_addr()?;
    let (control, shared) = (control.clone(), shared.clone());
    // One worker, so the orders go to the first and only application.
    let taken = Arc::new(std::sync::Mutex::new(Some(taken)));
    let factory = move || {
        let client = Client::default();
        if let Some(taken) = taken.lock().ok().and_then(|mut taken| taken.take()) {
            actix_rt::spawn(obey(taken, client.clone()));
        }
        let worker = Rc::new(Worker::new(control.clone(), header_codec(), shared.clone(), client));
        App::new().app_data(web::Data::new(worker)).default_service(web::to(caller::serve))
    };
    let server = HttpServer::new(factory)
        .disable_signals()
        .workers(1)
        .backlog(BACKLOG)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT)
        // A caller that closes its side has left.
        .h1_allow_half_closed(false)
        .listen(listener)
        .context("cannot start the callers' listener")?;
    Ok((address, server.run()))
}

async fn obey(mut orders: mpsc::UnboundedReceiver<Order>, client: Client) {
    while let Some(Order::Forget(address)) = orders.recv().await {
        client.close_idle(address);
    }
}

fn operators(
    settings: &Settings,
    control: &Addr<Control>,
    shared: &Shared,
    metrics: &Metrics,
) -> anyhow::Result<(SocketAddr, Server)> {
    let listener = bind(settings.operator_address)?;
    let address = listener.local_addr()?;
    let ready = bind(settings.ready_address)?;
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
