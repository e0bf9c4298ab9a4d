//! Runners, gateways and the record of a case.

use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Client, Request};
use crate::store::Store;

/// Interval at which runners write their entries (`heartbeat-ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The record of a case: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

/// How a runner serves a request.
#[derive(Debug, Clone)]
pub enum Serve {
    /// It works for this time and answers.
    Plain(Duration),
    /// It sends so many events, so far apart.
    Stream(u64, Duration),
}

/// A request that began to run on a runner.
#[derive(Debug, Clone)]
pub struct Run {
    pub runner: String,
    pub attempt: String,
    pub path: String,
    pub at: u64,
}

struct Inner {
    name: String,
    /// Counts the starts. Each but the first has an id of its own, unless `keeps_id`.
    starts: AtomicU64,
    keeps_id: bool,
    service: String,
    zone: String,
    address: SocketAddr,
    serve: Mutex<Serve>,
    runs: Arc<Mutex<Vec<Run>>>,
    /// A request for a path with this text crashes the runner for this time.
    poison: Option<(String, Duration)>,
    up: AtomicBool,
    born: AtomicU64,
    sequence: AtomicU64,
    state: Mutex<&'static str>,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
    store: Store,
}

#[derive(Clone)]
pub struct Runner(Arc<Inner>);

pub struct RunnerOptions<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub serve: Serve,
    pub poison: Option<(String, Duration)>,
    /// After a crash the runner starts again under the id that it had.
    pub keeps_id: bool,
}

impl Runner {
    fn id(&self) -> String {
        let start = self.0.starts.load(Ordering::SeqCst);
        let Inner { name, keeps_id, .. } = &*self.0;
        if *keeps_id || start == 0 { name.clone() } else { format!("{name}-{start}") }
    }

    pub fn start(
        ip: &str,
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
        options: RunnerOptions<'_>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let runner = Self(Arc::new(Inner {
            name: options.id.into(),
            starts: AtomicU64::new(0),
            keeps_id: options.keeps_id,
            service: options.service.into(),
            zone: options.zone.into(),
            address: listener.local_addr().expect("an address"),
            serve: Mutex::new(options.serve),
            runs: Arc::clone(runs),
            poison: options.poison,
            up: AtomicBool::new(true),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            state: Mutex::new("ready"),
            connections: Mutex::default(),
            record: record.clone(),
            store: store.clone(),
        }));
        runner.register();
        let beating = runner.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if beating.0.up.load(Ordering::SeqCst) {
                beating.register();
            }
        });
        runner.listen(listener);
        runner
    }

    pub fn set_serve(&self, serve: Serve) {
        *self.0.serve.lock().unwrap() = serve;
    }

    fn listen(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        let runner = self.clone();
        thread::spawn(move || {
            while runner.0.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    runner.0.connections.lock().unwrap().push(copy);
                }
                let runner = runner.clone();
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(request) = http::read_request(&mut stream) {
                        if runner.handle(&mut stream, &request).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn register(&self) {
        let inner = &self.0;
        let sequence = inner.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{}\",\"warmup-left-ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            inner.service,
            inner.address,
            inner.zone,
            inner.state.lock().unwrap(),
            inner.born.load(Ordering::SeqCst)
        );
        inner.store.put(&format!("servers/{}", self.id()), entry.as_bytes());
    }

    /// Crashes: nothing listens any more and all connections break off. Starts again
    /// after a while, under the same id and address.
    fn crash(&self, down: Duration) {
        let inner = &self.0;
        if !inner.up.swap(false, Ordering::SeqCst) {
            return;
        }
        let id = self.id();
        inner.record.line(format!("runner {id} crashes"));
        thread::sleep(Duration::from_millis(3));
        for stream in inner.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        if !inner.keeps_id {
            // The entry of a silent runner is removed after three heartbeats.
            let store = inner.store.clone();
            thread::spawn(move || {
                thread::sleep(HEARTBEAT * 3);
                store.remove(&format!("servers/{id}"));
            });
        }
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let inner = &runner.0;
            let listener = TcpListener::bind(inner.address).expect("the runner's port");
            inner.born.store(unix_ms(), Ordering::SeqCst);
            inner.starts.fetch_add(1, Ordering::SeqCst);
            inner.up.store(true, Ordering::SeqCst);
            inner.record.line(format!("runner {} is back", runner.id()));
            runner.listen(listener);
            runner.register();
        });
    }

    fn handle(&self, stream: &mut BufReader<TcpStream>, request: &Request) -> std::io::Result<()> {
        let inner = &self.0;
        let attempt = request.header("x-briarshift-attempt-id").to_owned();
        let expected = request.header("x-briarshift-expect-runner");
        let id = self.id();
        let own = format!(
            "X-Briarshift-Attempt-Id: {attempt}\r\nX-Briarshift-Runner-Id: {}\r\n\
             Keep-Alive: timeout=5\r\n",
            id
        );
        if !expected.is_empty() && expected != id {
            return http::respond(stream, 421, &own, b"");
        }
        let run = Run {
            runner: id.clone(),
            attempt: attempt.clone(),
            path: request.path.clone(),
            at: inner.record.ms(),
        };
        inner.runs.lock().unwrap().push(run);
        if !request.path.contains("sound") {
            inner.record.line(format!("run {attempt} {} on {id}", request.path));
        }
        if let Some((text, down)) = &inner.poison
            && request.path.contains(text)
        {
            self.crash(*down);
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let own = format!("{own}X-Briarshift-Runner-Seal: {}.{attempt}\r\n", id);
        let serve = inner.serve.lock().unwrap().clone();
        match serve {
            Serve::Plain(work) => {
                thread::sleep(work);
                http::respond(stream, 200, &own, b"a sound answer")
            }
            Serve::Stream(events, gap) => {
                let head = format!(
                    "HTTP/1.1 200 X\r\n{own}Content-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                );
                stream.get_mut().write_all(head.as_bytes())?;
                for event in 1..=events {
                    thread::sleep(gap);
                    let text = format!("id: {event}\ndata: {attempt}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    stream.get_mut().write_all(chunk.as_bytes())?;
                }
                stream.get_mut().write_all(b"0\r\n\r\n")
            }
        }
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one if a case takes too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
        }
        eprintln!("not run: the case took too long");
        std::process::exit(2);
    });
}

/// A gateway: the program of the deploy file as a process of its own.
pub struct Gateway {
    pub name: String,
    pub caller: SocketAddr,
    ready: SocketAddr,
    /// Port of the store that only this gateway uses.
    pub store_port: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    pub fn new(ip: &str, store: &Store, directory: &PathBuf, name: &str, zone: &str) -> Self {
        let free = || {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            listener.local_addr().expect("an address")
        };
        let (caller, ready, operator) = (free(), free(), free());
        let peer = std::net::UdpSocket::bind((ip, 0)).expect("a free port");
        let peer = peer.local_addr().expect("an address");
        let store = store.listen(ip);
        let settings = format!(
            "{{\"vm\":\"{name}\",\"data_centre\":\"{zone}\",\"caller_address\":\"{caller}\",\
             \"ready_address\":\"{ready}\",\"operator_address\":\"{operator}\",\
             \"peer_address\":\"{peer}\",\"link_mbit_s\":1000.0,\"store\":\"http://{store}\",\
             \"bounds\":{{\"revoke_ms\":5000,\"config_ms\":2000,\"leave_ms\":2000,\"grace_s\":8,\
             \"retry_ratio\":0.2,\"retry_extra\":52,\"retry_window_s\":10,\"load_factor\":2}}}}"
        );
        let path = directory.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = directory.join(format!("{name}.log"));
        let (name, store_port) = (name.to_owned(), store.port());
        Self { name, caller, ready, store_port, settings: path, log, child: None }
    }

    pub fn spawn(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let errors = log.try_clone().expect("the log can be written");
        let child = Command::new("target/release/briarshift")
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the program of the deploy file");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &pid]).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::open(self.ready) else { return false };
        client.ask("GET", "/readyz", "", b"", Duration::from_secs(1)).status == 200
    }

    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An address of the loopback network of this process's own.
pub fn loopback_ip() -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 1 + (id >> 14) % 250, 1 + (id >> 7) % 128, 1 + id % 128)
}

/// A directory of this process's own, removed at its end.
pub struct Directory(pub PathBuf);

impl Directory {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("briarshift-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary directory");
        Self(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A route of the host `shop.example` for the paths below `/NAME/`.
pub fn route(name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u64) -> String {
    public_route(name, kind, service, attempts, timeout_ms, false)
}

/// A route as [`route`] builds it; a `public` one needs no key.
pub fn public_route(
    name: &str,
    kind: &str,
    service: &str,
    attempts: u32,
    timeout_ms: u64,
    public: bool,
) -> String {
    let is_stream = kind == "streaming";
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\
         \"route-type\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"target-latency-ms\":500,\
         \"priority\":1,\"service\":\"{service}\",\"max-attempts\":{attempts},\"public\":{public},\
         \"sticky\":{is_stream},\"resumable\":false,\"gap-aim-ms\":250}}"
    )
}

pub fn config(version: u64, routes: &[String], services: &[&str], keys: &[String]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-connections\":610}}")
        })
        .collect();
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":1048576,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"bakery\",\"api-keys\":[{}],\"priority\":2}}]}}",
        routes.join(","),
        services.join(","),
        keys.join(",")
    )
}

/// Headers of a client's request.
pub fn headers(attempt: &str, key: &str, deadline_ms: u64) -> String {
    format!(
        "X-Briarshift-Attempt-Id: {attempt}\r\nX-Briarshift-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {key}\r\n"
    )
}
