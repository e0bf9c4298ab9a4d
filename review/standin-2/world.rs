//! Stand-ins of the platform for the cases of this review: its store, its runners, its
//! operator and its clients, and the processes of the system under test. Only the standard
//! library is used, so that `rustc` alone builds it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A record of what was sent, run and answered, with times from the start of the case.
#[derive(Clone)]
pub struct Log {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Log {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= chunk.len() {
                true => out.push(ALPHABET[(word >> (18 - 6 * place)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// A request as a server has read it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query, decoded as far as keys and prefixes need it.
    fn param(&self, name: &str) -> String {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
        value.unwrap_or("").replace("%2F", "/").replace("%2f", "/").replace("%3A", ":")
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map_or("", |(_, value)| value)
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some((first, headers));
        };
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let length: usize = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body })
}

// The platform's store.

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Kept {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, String)>,
    revision: u64,
    leases: BTreeMap<u64, (u64, Instant)>,
    last_lease: u64,
}

/// The platform's store.
pub struct Store {
    kept: Mutex<Kept>,
    pub address: SocketAddr,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create-rev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Kept {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.events.push((self.revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let (key, revision) = (key.to_owned(), self.revision);
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.events.push((revision, key, event));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self.items.iter().filter(|(_, item)| item.lease == id).collect();
        for key in keys.into_iter().map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<_> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

/// Returns the text between two marks.
fn between<'a>(text: &'a str, start: &str, end: &str) -> Option<&'a str> {
    let (_, rest) = text.split_once(start)?;
    rest.split_once(end).map(|(inner, _)| inner)
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let kept = Kept { revision: 100, ..Kept::default() };
        let store = Arc::new(Self { kept: Mutex::new(kept), address });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key, as the operator and the runners do.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.kept.lock().unwrap().put(key, base64(value.as_bytes()), 0)
    }

    pub fn remove(&self, key: &str) {
        self.kept.lock().unwrap().remove(key);
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let kept = self.kept.lock().unwrap();
        kept.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.call(&request);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Request) -> (u16, String) {
        self.kept.lock().unwrap().expire();
        let path = request.path.split('?').next().unwrap_or("").to_owned();
        let id: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let text = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (request.param("prefix"), request.param("after"));
                let kept = self.kept.lock().unwrap();
                let found = kept.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let found = found.filter(|(key, _)| after < **key);
                let items: Vec<_> = found.map(|(key, item)| item_json(key, item)).collect();
                let (items, revision) = (items.join(","), kept.revision);
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"truncated\":false,\"store-revision\":{revision}}}"
                    ),
                )
            }
            ("GET", "/v1/kv-watch") => {
                let prefix = request.param("prefix");
                let after: u64 = request.param("after").parse().unwrap_or(0);
                let wait: u64 = request.param("wait-ms").parse().unwrap_or(0);
                let end = Instant::now() + millis(wait);
                loop {
                    let kept = self.kept.lock().unwrap();
                    let events: Vec<_> = kept
                        .events
                        .iter()
                        .filter(|(at, key, _)| after < *at && key.starts_with(&prefix))
                        .map(|(_, _, event)| event.clone())
                        .collect();
                    if !events.is_empty() || end <= Instant::now() {
                        let (events, revision) = (events.join(","), kept.revision);
                        return (
                            200,
                            format!("{{\"events\":[{events}],\"store-revision\":{revision}}}"),
                        );
                    }
                    drop(kept);
                    thread::sleep(millis(5));
                }
            }
            ("POST", "/v1/kv-txn") => {
                let mut kept = self.kept.lock().unwrap();
                let conditions = between(&text, "\"precondition\":[", "]").unwrap_or("");
                for row in conditions.split('}').filter(|row| row.contains("\"key\"")) {
                    let key = between(row, "\"key\":\"", "\"").unwrap_or("");
                    let wanted = row.split("\"revision\":").nth(1).unwrap_or("0");
                    let wanted: u64 = wanted.trim_end_matches(',').parse().unwrap_or(0);
                    if kept.items.get(key).map_or(0, |item| item.revision) != wanted {
                        return (412, "{\"items\":[]}".to_owned());
                    }
                }
                let sets = between(&text, "\"set-keys\":[", "]").unwrap_or("").to_owned();
                for row in sets.split('}').filter(|row| row.contains("\"key\"")) {
                    let key = between(row, "\"key\":\"", "\"").unwrap_or("").to_owned();
                    let value = between(row, "\"value\":\"", "\"").unwrap_or("").to_owned();
                    let lease = row.split("\"lease\":").nth(1).unwrap_or("0");
                    let lease: u64 =
                        lease.split(',').next().and_then(|it| it.parse().ok()).unwrap_or(0);
                    if lease != 0 && !kept.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                    kept.put(&key, value, lease);
                }
                (200, format!("{{\"revision\":{}}}", kept.revision))
            }
            ("POST", "/v1/kv-lease") => {
                let ttl = text.split("\"ttl-ms\":").nth(1).unwrap_or("");
                let ttl: u64 = ttl.trim_end_matches('}').parse().unwrap_or(1000);
                let mut kept = self.kept.lock().unwrap();
                kept.last_lease += 1;
                let id = kept.last_lease;
                kept.leases.insert(id, (ttl, Instant::now() + millis(ttl)));
                (200, format!("{{\"lease\":{id},\"ttl-ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let mut kept = self.kept.lock().unwrap();
                let Some((ttl, end)) = kept.leases.get_mut(&id) else {
                    return (404, "{}".to_owned());
                };
                *end = Instant::now() + millis(*ttl);
                (200, format!("{{\"ttl-ms\":{ttl}}}"))
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                self.kept.lock().unwrap().end_lease(id);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

// Runners.

/// What a runner does with a request that it has read; returns false to close the connection.
pub type Behaviour = Arc<dyn Fn(&Runner, &Request, &mut TcpStream) -> bool + Send + Sync>;

/// One start of a runner.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub born: u64,
    pub is_up: AtomicBool,
    has_closed: AtomicBool,
    pub running: AtomicU64,
    pub log: Log,
    connections: Mutex<Vec<TcpStream>>,
}

impl Runner {
    /// Starts a runner, which registers itself in the store while it is up.
    pub fn start(
        store: &Arc<Store>,
        log: &Log,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            born: unix_ms(),
            is_up: AtomicBool::new(true),
            has_closed: AtomicBool::new(false),
            running: AtomicU64::new(0),
            log: log.clone(),
            connections: Mutex::new(Vec::new()),
        });
        let (accepting, registering) = (Arc::clone(&runner), Arc::clone(&runner));
        thread::spawn(move || {
            while accepting.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let (runner, behaviour) = (Arc::clone(&accepting), behaviour.clone());
                        runner.connections.lock().unwrap().extend(stream.try_clone().ok());
                        thread::spawn(move || runner.serve(stream, &behaviour));
                    }
                    Err(_) => thread::sleep(millis(1)),
                }
            }
            drop(listener);
            accepting.has_closed.store(true, Ordering::SeqCst);
        });
        let store = Arc::clone(store);
        thread::spawn(move || {
            let key = format!("servers/{}", registering.id);
            let mut sequence = 1;
            while registering.is_up.load(Ordering::SeqCst) {
                store.put(&key, &registering.entry(sequence));
                sequence += 1;
                thread::sleep(millis(1200));
            }
            // The store removes it after three heartbeat intervals of silence.
            thread::sleep(millis(2400));
            store.remove(&key);
        });
        runner
    }

    fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\"slots\":{},\
             \"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    /// Ends the runner as a crash does: it listens no more, and its connections end.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        while !self.has_closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(200));
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let expected = request.header("x-briarshift-expect-runner");
            if !expected.is_empty() && expected != self.id {
                let head = format!(
                    "HTTP/1.1 421 X\r\nX-Briarshift-Runner-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if reader.get_mut().write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let goes_on = behaviour(self, &request, reader.get_mut());
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !goes_on || !self.is_up.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    /// Returns the head of a success, up to the framing.
    pub fn head(&self, request: &Request, framing: &str) -> String {
        let attempt = request.header("x-briarshift-attempt-id");
        format!(
            "HTTP/1.1 200 OK\r\nX-Briarshift-Attempt-Id: {attempt}\r\n\
             X-Briarshift-Runner-Seal: {}.{attempt}\r\nX-Briarshift-Runner-Load: {},0,{}\r\n\
             Keep-Alive: timeout=5\r\n{framing}\r\n",
            self.id,
            self.running.load(Ordering::SeqCst),
            self.slots
        )
    }

    /// Answers with a whole body.
    pub fn answer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let body = format!("{} {}", self.id, request.header("x-briarshift-attempt-id"));
        let head = self.head(request, &format!("Content-Length: {}\r\n", body.len()));
        stream.write_all(format!("{head}{body}").as_bytes()).is_ok()
    }

    /// Answers with a stream of events.
    pub fn stream(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        events: u32,
        gap: Duration,
    ) -> bool {
        let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        if stream.write_all(self.head(request, framing).as_bytes()).is_err() {
            return false;
        }
        for event in 1..=events {
            if 1 < event {
                thread::sleep(gap);
            }
            let text = format!("id: {event}\ndata: {}\n\n", self.id);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if !self.is_up.load(Ordering::SeqCst) || stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

// The processes of the system.

/// One VM of the system, started as the deploy file says.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: String,
    max_fds: Option<u32>,
    child: Option<Child>,
}

/// Returns a free port below those that the system gives to connections.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let first = u64::from(std::process::id()) * 37 % 10_000;
        let port = 20_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 10_000;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Gateway {
    /// Writes the settings of a VM, as `deploy/process.json` is filled in on a small
    /// deployment.
    pub fn new(program: &str, folder: &str, store: &Store, name: &str, zone: &str) -> Self {
        let [callers, ready, operator, peer] = [free_port(), free_port(), free_port(), free_port()];
        let settings = PathBuf::from(format!("{folder}/{name}.json"));
        let text = format!(
            "{{\"vm\":\"{name}\",\"data_centre\":\"{zone}\",\"caller_address\":\"{callers}\",\
             \"ready_address\":\"{ready}\",\"operator_address\":\"{operator}\",\
             \"peer_address\":\"{peer}\",\"link_mbit_s\":1000.0,\"store\":\"http://{}\",\
             \"bounds\":{{\"revoke_ms\":5000,\"config_ms\":2000,\"leave_ms\":2000,\"grace_s\":8,\
             \"retry_ratio\":0.2,\"retry_extra\":52,\"retry_window_s\":10,\"load_factor\":2}},\
             \"terms\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"platform\"]}}",
            store.address
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = PathBuf::from(format!("{folder}/{name}.log"));
        let (name, program) = (name.to_owned(), program.to_owned());
        Self { name, callers, ready, settings, log, program, max_fds: None, child: None }
    }

    /// Limits the descriptors of the process, as the platform does.
    pub fn with_fds(mut self, max_fds: u32) -> Self {
        self.max_fds = Some(max_fds);
        self
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = match self.max_fds {
            None => Command::new(&self.program),
            Some(max_fds) => {
                let mut shell = Command::new("bash");
                shell.arg("-c").arg(format!("ulimit -n {max_fds}; exec \"$0\" \"$@\""));
                shell.arg(&self.program);
                shell
            }
        };
        let child = command
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file can be started");
        // For the script, which ends what the case has left.
        let pids = self.settings.with_file_name("pids");
        let file = File::options().create(true).append(true).open(pids);
        let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process that this started.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        send(self.ready, request.as_bytes(), millis(1000)).status == 200
    }

    /// Returns the number of open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, Iterator::count)
    }

    /// Returns the resident memory of the process in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("");
        line.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all VMs say that they are ready.
pub fn wait_ready(gateways: &[Gateway]) -> bool {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        if gateways.iter().all(Gateway::is_ready) {
            return true;
        }
        thread::sleep(millis(100));
    }
    false
}

// Clients.

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body has ended as its framing says.
    pub is_whole: bool,
    /// Time from the sending to the head, and to the end.
    pub head_after: Duration,
    pub after: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// Sends bytes on a new connection and reads one answer, for at most `patience`.
pub fn send(to: SocketAddr, bytes: &[u8], patience: Duration) -> Answer {
    let started_at = Instant::now();
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&to, patience.min(millis(1000))) else {
        answer.after = started_at.elapsed();
        return answer;
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(bytes).is_ok() {
        let deadline = started_at + patience;
        read_answer(stream, deadline, started_at, &mut answer);
    }
    answer.after = started_at.elapsed();
    answer
}

struct UntilDeadline {
    stream: TcpStream,
    deadline: Instant,
}

impl Read for UntilDeadline {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}

pub fn read_from(stream: TcpStream, deadline: Instant, started_at: Instant, answer: &mut Answer) {
    read_answer(stream, deadline, started_at, answer);
}

fn read_answer(stream: TcpStream, deadline: Instant, started_at: Instant, answer: &mut Answer) {
    let mut reader = BufReader::new(UntilDeadline { stream, deadline });
    let Some((first, headers)) = read_head(&mut reader) else { return };
    answer.status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    answer.head_after = started_at.elapsed();
    if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if !reader.read_line(&mut line).is_ok_and(|read| 0 < read) {
                return;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return;
            }
            if length == 0 {
                answer.is_whole = true;
                return;
            }
            answer.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length: usize = answer.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    answer.is_whole = reader.read_exact(&mut body).is_ok();
    answer.body = body;
}

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// Returns an id for a client's attempt; each one is new.
pub fn attempt_id() -> String {
    format!("{:x}{:06x}", unix_ms(), LAST_ATTEMPT.fetch_add(1, Ordering::SeqCst))
}
