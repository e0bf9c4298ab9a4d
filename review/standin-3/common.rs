//! Stand-ins for the cases: the platform's store, runners and clients, over plain sockets and
//! threads, with the standard library only.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "till.example";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, len: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The record of a run: what was sent, answered and run, with times.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> Self {
        Self(Arc::new(Mutex::new(File::create(path).expect("record.txt"))), Instant::now())
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}

/// A message of HTTP/1.1.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let len =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..len]);
        }
    }
    let len = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; len];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn respond(stream: &mut impl Write, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize] as char;
            out.push(if at <= part.len() { digit } else { '=' });
        }
    }
    out
}

fn decode_base64(text: &str) -> String {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for digit in text.bytes().filter(|it| *it != b'=') {
        let value = match digit {
            b'A'..=b'Z' => digit - b'A',
            b'a'..=b'z' => digit - b'a' + 26,
            b'0'..=b'9' => digit - b'0' + 52,
            b'+' => 62,
            _ => 63,
        };
        word = word << 6 | u32::from(value);
        bits += 6;
        if 8 <= bits {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the event in JSON.
    events: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The platform's store. It answers all calls at once and loses nothing.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<Content>>);

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create-rev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.events.push((self.revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let json =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}", self.revision);
            self.events.push((self.revision, key.to_owned(), json));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, it)| it.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<_> =
            self.leases.iter().filter(|(_, (_, at))| *at <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

/// Returns the text after `"name":`, up to the end of a string, a number or a list.
fn field<'a>(json: &'a str, name: &str) -> &'a str {
    let Some(at) = json.find(&format!("\"{name}\":")) else { return "" };
    let rest = &json[at + name.len() + 3..];
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next().unwrap_or("");
    }
    if rest.starts_with('[') {
        return &rest[..=rest.find(']').unwrap_or(0)];
    }
    rest.split([',', '}']).next().unwrap_or("")
}

fn decode_query(text: &str) -> String {
    text.replace("%2F", "/").replace("%2f", "/").replace("%3A", ":").replace('+', " ")
}

impl Store {
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let own = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = own.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Returns the value of a key as text.
    pub fn get(&self, key: &str) -> String {
        let value = self.0.lock().unwrap().items.get(key).map(|item| item.value.clone());
        decode_base64(&value.unwrap_or_default())
    }

    /// Writes a key, as the operator and the runners do. The return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.call(&request);
            let headers = "Content-Type: application/json\r\n";
            respond(&mut writer, status, headers, body.as_bytes()).ok()?;
        }
        Some(())
    }

    fn call(&self, request: &Message) -> (u16, String) {
        let method = request.first.split(' ').next().unwrap_or("");
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let query: HashMap<_, _> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .map(|(name, value)| (name, decode_query(value)))
            .collect();
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let id: u64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if (method, path) == ("GET", "/v1/kv-watch") {
            return self.watch(
                &get("prefix"),
                get("after").parse().unwrap_or(0),
                get("wait-ms").parse().unwrap_or(0),
            );
        }
        let mut content = self.0.lock().unwrap();
        content.expire();
        match (method, path) {
            ("GET", "/v1/kv-key") => match content.items.get(&get("key")) {
                Some(item) => (200, item_json(&get("key"), item)),
                None => (404, "{}".into()),
            },
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (get("prefix"), get("after"));
                let items: Vec<_> = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && after < **key)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"truncated\":false,\"store-revision\":{}}}",
                        items.join(","),
                        content.revision
                    ),
                )
            }
            ("POST", "/v1/kv-txn") => {
                for row in
                    field(&body, "precondition").split('}').filter(|row| row.contains("\"key\""))
                {
                    let revision =
                        content.items.get(field(row, "key")).map_or(0, |item| item.revision);
                    if field(row, "revision").parse() != Ok(revision) {
                        return (412, "{\"items\":[]}".into());
                    }
                }
                for row in field(&body, "set-keys").split('}').filter(|row| row.contains("\"key\""))
                {
                    let lease = field(row, "lease").parse().unwrap_or(0);
                    if lease != 0 && !content.leases.contains_key(&lease) {
                        return (404, "{}".into());
                    }
                    content.put(field(row, "key"), field(row, "value").to_owned(), lease);
                }
                (200, format!("{{\"revision\":{}}}", content.revision))
            }
            ("POST", "/v1/kv-lease") => {
                let millis: u64 = field(&body, "ttl-ms").parse().unwrap_or(1000);
                content.last_lease += 1;
                let lease = content.last_lease;
                let ttl = Duration::from_millis(millis);
                content.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttl-ms\":{millis}}}"))
            }
            ("POST", _) if path.starts_with("/v1/kv-keep/") => match content.leases.get_mut(&id) {
                Some((ttl, at)) => {
                    *at = Instant::now() + *ttl;
                    (200, format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".into()),
            },
            ("DELETE", _) if path.starts_with("/v1/kv-lease-end/") => {
                content.end_lease(id);
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let mut content = self.0.lock().unwrap();
                content.expire();
                if content.revision < after {
                    return (410, "{}".into());
                }
                let events: Vec<_> = content
                    .events
                    .iter()
                    .filter(|(revision, key, _)| after < *revision && key.starts_with(prefix))
                    .map(|(_, _, event)| event.as_str())
                    .collect();
                if !events.is_empty() || until <= Instant::now() {
                    return (
                        200,
                        format!(
                            "{{\"events\":[{}],\"store-revision\":{}}}",
                            events.join(","),
                            content.revision
                        ),
                    );
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Starts a runner: `serve` handles one request at a time on each connection, and returns
/// whether the connection stays open. It registers at least each 1.2 s while the process runs.
pub fn start_runner(
    store: &Store,
    id: &str,
    service: &str,
    slots: u32,
    serve: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let (own_id, serve) = (id.to_owned(), Arc::new(serve));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, serve) = (own_id.clone(), Arc::clone(&serve));
            thread::spawn(move || serve_connection(stream, &id, &*serve));
        }
    });
    let born = std::time::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis());
    let (store, key) = (store.clone(), format!("servers/{id}"));
    let service = service.to_owned();
    let mut sequence = 1;
    let beat = move || {
        sequence += 1;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"aarau\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put(&key, &entry);
    };
    let mut beat = beat;
    beat();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(1_200));
            beat();
        }
    });
    address
}

fn serve_connection(
    stream: TcpStream,
    id: &str,
    serve: &dyn Fn(&Message, &mut TcpStream) -> io::Result<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        if request.path().starts_with("/healthz") || request.path().starts_with("/v1/") {
            let headers = format!("X-Briarshift-Runner-Id: {id}\r\n");
            respond(&mut writer, 200, &headers, b"{}")?;
            continue;
        }
        let expected = request.header("x-briarshift-expect-runner");
        if !expected.is_empty() && expected != id {
            let headers = format!("X-Briarshift-Runner-Id: {id}\r\n");
            respond(&mut writer, 421, &headers, b"")?;
            continue;
        }
        if !serve(&request, &mut writer)? {
            return Ok(());
        }
    }
    Ok(())
}

/// The headers of a runner's own answer.
pub fn seal(id: &str, request: &Message) -> String {
    let attempt = request.header("x-briarshift-attempt-id");
    format!(
        "X-Briarshift-Attempt-Id: {attempt}\r\nX-Briarshift-Runner-Seal: {id}.{attempt}\r\nKeep-Alive: timeout=5\r\n"
    )
}

/// A process of the system under test.
pub struct Gateway {
    child: Child,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub pid: i32,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A temporary folder, which is removed with its content when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What the settings of a machine take from its site.
pub struct Site {
    pub memory_mb: u32,
    pub change_ms: u32,
    pub retry_extra: u32,
    pub terms: &'static str,
}

/// `brugger-till`.
pub const BRUGGER: Site = Site {
    memory_mb: 260,
    change_ms: 2_000,
    retry_extra: 52,
    terms: r#"["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]"#,
};

/// `hhoda-briarshift-grown`.
pub const HHODA: Site = Site {
    memory_mb: 384,
    change_ms: 3_000,
    retry_extra: 218,
    terms: r#"["base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","platform"]"#,
};

impl Gateway {
    /// Starts `target/release/briarshift gateway` with the settings that `deploy/process.json`
    /// gives on a machine of a site, and waits until it is ready.
    pub fn start(
        folder: &Path,
        name: &str,
        store: SocketAddr,
        site: &Site,
    ) -> Result<Self, String> {
        let Site { memory_mb, change_ms, retry_extra, terms } = site;
        let [caller, ready, operator, peer] = [(); 4].map(|()| free_address());
        let settings = format!(
            r#"{{
  "vm": "{name}", "data_centre": "aarau",
  "caller_address": "{caller}", "ready_address": "{ready}",
  "operator_address": "{operator}", "peer_address": "{peer}",
  "link_mbit_s": 1000.0, "memory_mb": {memory_mb}, "store": "http://{store}",
  "bounds": {{ "revoke_ms": 5000, "config_ms": {change_ms}, "leave_ms": {change_ms}, "grace_s": 8,
    "retry_ratio": 0.2, "retry_extra": {retry_extra}, "retry_window_s": 10, "load_factor": 2 }},
  "terms": {terms}
}}"#
        );
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).map_err(|err| err.to_string())?;
        let log =
            File::create(folder.join(format!("{name}.log"))).map_err(|err| err.to_string())?;
        let mut command = Command::new("target/release/briarshift");
        // The process ends with this one, however this one ends.
        let die_with_parent = || {
            let (pr_set_pdeathsig, signal) = (1, SIGKILL as u64);
            unsafe { prctl(pr_set_pdeathsig, signal, 0, 0, 0) };
            Ok(())
        };
        unsafe { command.pre_exec(die_with_parent) };
        let child = command
            .args(["gateway", "--settings"])
            .arg(&path)
            .env_clear()
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|err| err.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|err| err.to_string())?;
        let pid = child.id() as i32;
        let gateway = Self { child, caller, ready, pid };
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(15) {
            if gateway.is_ready() {
                return Ok(gateway);
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the gateway was not ready within 15 s".into())
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream
                .write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |it| it.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.pid, signal) };
    }

    /// Returns the status if the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

/// Returns a new attempt id.
pub fn new_attempt() -> String {
    format!("{:016x}", 0xa000_0000_0000_0000 | ATTEMPTS.fetch_add(1, Ordering::Relaxed))
}

/// Connects with the segments and the receive window of an ordinary link, of which the loopback
/// interface has far larger ones: `DEPLOY.md` says that links have small windows, so that a peer
/// that does not read blocks the writer.
pub fn connect_narrow(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let (inet, stream_type, sol_socket, so_rcvbuf, tcp, maxseg) = (2, 1, 1, 8, 6, 2);
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(inet as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    unsafe {
        let fd = socket(inet, stream_type, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let (window, segment): (i32, i32) = (16 << 10, 1_448);
        setsockopt(fd, sol_socket, so_rcvbuf, &window, 4);
        setsockopt(fd, tcp, maxseg, &segment, 4);
        if connect(fd, raw.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
