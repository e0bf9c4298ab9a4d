//! The platform's store: items, pages, watches, transactions and leases.
//!
//! It never fails, loses or delays an answer; each answer takes 4 ms.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{self, Json};

const ANSWER_TIME: Duration = Duration::from_millis(4);
/// A page holds at most so many items, or so many bytes of values.
const PAGE_ITEMS: usize = 500;
/// How long changes are kept (`history-s`).
const HISTORY: Duration = Duration::from_secs(20);
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    /// When each event came, and the newest event that is no longer kept.
    times: Vec<Instant>,
    dropped: u64,
    leases: BTreeMap<u64, (u64, Instant)>,
}

type Hook = Box<dyn FnMut(&Store) + Send>;

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    /// Runs once, before the next page is answered on the port given.
    hook: Arc<Mutex<Option<(u16, Hook)>>>,
    /// Port of each call, and its path.
    pub calls: Arc<Mutex<Vec<(u16, String)>>>,
}

impl Store {
    pub fn new() -> Self {
        let state = State { revision: 100, ..State::default() };
        Self {
            state: Arc::new(Mutex::new(state)),
            hook: Arc::default(),
            calls: Arc::default(),
        }
    }

    /// Listens on one more port of the same store, so that calls of different gateways
    /// can be told apart.
    pub fn listen(&self, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                let _ = stream.set_nodelay(true);
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(request) = http::read_request(&mut stream) {
                        thread::sleep(ANSWER_TIME);
                        let (status, body) = store.answer(address.port(), &request);
                        let headers = "Content-Type: application/json\r\n";
                        if http::respond(&mut stream, status, headers, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }

    /// Runs `hook` right before the next page for the gateway on `port` is read.
    pub fn before_next_page(&self, port: u16, hook: impl FnMut(&Store) + Send + 'static) {
        *self.hook.lock().unwrap() = Some((port, Box::new(hook)));
    }

    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.set(key, encode(value), 0);
        state.revision
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
    }

    fn answer(&self, port: u16, request: &Request) -> (u16, String) {
        self.calls.lock().unwrap().push((port, request.path.clone()));
        if request.path == "/v1/kv-range" {
            let due = {
                let mut hook = self.hook.lock().unwrap();
                if hook.as_ref().is_some_and(|(of, _)| *of == port) { hook.take() } else { None }
            };
            if let Some((_, mut hook)) = due {
                hook(self);
            }
        }
        let mut state = self.state.lock().unwrap();
        state.expire();
        let last = request.path.rsplit('/').next().unwrap_or("").parse().unwrap_or(0);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-range") => state.range(request.param("prefix"), request.param("after")),
            ("GET", "/v1/kv-watch") => {
                let after = request.param("after").parse().unwrap_or(0);
                state.watch(request.param("prefix"), after)
            }
            ("GET", "/v1/kv-key") => match state.items.get(request.param("key")) {
                Some(item) => (200, item_json(request.param("key"), item)),
                None => (404, "{}".into()),
            },
            ("POST", "/v1/kv-txn") => state.txn(&json::parse(&request.body)),
            ("POST", "/v1/kv-lease") => {
                let ttl = json::parse(&request.body).get("ttl-ms").number().clamp(1_000, 600_000);
                state.revision += 1;
                let id = state.revision;
                state.leases.insert(id, (ttl, Instant::now() + Duration::from_millis(ttl)));
                (200, format!("{{\"lease\":{id},\"ttl-ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let Some(lease) = state.leases.get_mut(&last) else { return (404, "{}".into()) };
                lease.1 = Instant::now() + Duration::from_millis(lease.0);
                (200, format!("{{\"ttl-ms\":{}}}", lease.0))
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                state.leases.remove(&last);
                state.drop_lease(last);
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.into(), item.clone());
        self.events.push((revision, key.into(), Some(item)));
        self.times.push(Instant::now());
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.into(), None));
            self.times.push(Instant::now());
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let old = self.times.iter().take_while(|at| HISTORY < now.duration_since(**at)).count();
        if 0 < old {
            self.dropped = self.events[old - 1].0;
            self.events.drain(..old);
            self.times.drain(..old);
        }
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, at))| *at <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.leases.remove(&id);
            self.drop_lease(id);
        }
    }

    fn drop_lease(&mut self, id: u64) {
        let keys: Vec<String> =
            self.items.iter().filter(|(_, it)| it.lease == id).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, item) in &self.items {
            if !key.starts_with(prefix) || (!after.is_empty() && key.as_str() <= after) {
                continue;
            }
            let is_full = PAGE_ITEMS <= items.len() || PAGE_BYTES < bytes + item.value.len();
            if is_full && !items.is_empty() {
                truncated = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let (items, revision) = (items.join(","), self.revision);
        let body = format!(
            "{{\"items\":[{items}],\"truncated\":{truncated},\"store-revision\":{revision}}}"
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64) -> (u16, String) {
        if after < self.dropped {
            return (410, "{}".into());
        }
        let of_prefix = |key: &str| key.starts_with(prefix);
        let events = self.events.iter().filter(|(at, key, _)| after < *at && of_prefix(key));
        let events: Vec<_> = events
            .map(|(at, key, item)| match item {
                Some(item) => item_json(key, item),
                None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
            })
            .collect();
        let (events, revision) = (events.join(","), self.revision);
        (200, format!("{{\"events\":[{events}],\"store-revision\":{revision}}}"))
    }

    fn txn(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("precondition").list() {
            let known = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if known != row.get("revision").number() {
                return (412, "{\"items\":[]}".into());
            }
        }
        for row in body.get("set-keys").list() {
            let lease = row.get("lease").number();
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
            let key = row.get("key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".into());
            }
            self.set(key, row.get("value").text().to_owned(), lease);
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create-rev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// Standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let is_padding = chunk.len() < digit as usize;
            let value = (bits >> (18 - 6 * digit) & 63) as usize;
            out.push(if is_padding { '=' } else { char::from(DIGITS[value]) });
        }
    }
    out
}
