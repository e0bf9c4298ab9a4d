//! Drives the reducer of one VM and collects its effects.

use std::net::SocketAddr;
use std::sync::Arc;

use briarshift_catalog::{Account, Catalog, Engine, Kind as RouteKind, Pool, Route};
use briarshift_gateway::request::{Arrival, Cause, Decision, End, Event as Request, Send};
use briarshift_gateway::{Bounds, Effect, Event, Features, Identity, Kind, State};
use briarshift_routing::hedge;
use briarshift_routing::retry_window::Budget;
use briarshift_routing::room::Length;
use briarshift_routing::selection::{Bound, Part};
use briarshift_store::registry::{
    Answer, Call, Member, Name, Reply, Row, Secret, Status, Target, Value,
};
use briarshift_store::{Era, Error, Position, Version};
use briarshift_units::{
    Fingerprint, MegabitsPerSecond, Moment, RequestId, Revision, Span, StartNumber,
};
use briarshift_wire::datagram::Datagram;
use briarshift_wire::heartbeat::Heartbeat;

/// The API key of the account.
pub const KEY: &str = "key-1";

/// One VM and what it has done so far.
pub struct World {
    pub state: State,
    pub now: Moment,
    pub log: Vec<String>,
    pub decisions: Vec<(RequestId, Decision)>,
    pub calls: Vec<Call>,
    pub datagrams: Vec<Datagram>,
    /// Addresses to which idle connections were closed.
    pub closed: Vec<SocketAddr>,
    /// Addresses of the delegates that were queried.
    pub delegate_addresses: Vec<SocketAddr>,
    /// Whether the process may exit.
    pub drained: bool,
    /// When the process exits at the latest.
    pub end: Option<Moment>,
    entropy: u64,
    era: Era,
    version: u64,
    requests: u64,
}

pub fn bounds() -> Bounds {
    Bounds {
        key_age: Span::from_secs(3),
        change: Span::from_secs(2),
        retry_budget: Budget { ratio: 0.2, allowance: 50.0, length: Span::from_secs(10) },
        engine_load: Bound { factor: 1.8, extra: 3, backlog: 14_000 },
        grace: Span::from_secs(8),
        hedge: hedge::Policy::OFF,
    }
}

fn identity(vm: &str) -> Identity {
    Identity {
        vm: vm.parse().unwrap(),
        start: StartNumber(1),
        data_centre: "a".parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        link: MegabitsPerSecond(100),
        secret: Secret([1; 32]),
        bounds: bounds(),
        features: Features::default(),
    }
}

impl World {
    /// Creates a VM that has read a configuration and these targets of the pool
    /// `desk`.
    pub fn new(targets: &[&str]) -> Self {
        let mut world = Self::empty("vm-1");
        world.tick();
        world.read(targets);
        world
    }

    /// Creates a VM that has read nothing, with what the deployment calls for.
    pub fn with_features(features: Features) -> Self {
        let mut world = Self::empty("vm-1");
        world.state = State::new(Identity { features, ..identity("vm-1") });
        world
    }

    /// Creates a VM that has read nothing.
    pub fn empty(vm: &str) -> Self {
        Self {
            state: State::new(identity(vm)),
            now: Moment(1_000_000),
            log: Vec::new(),
            decisions: Vec::new(),
            calls: Vec::new(),
            datagrams: Vec::new(),
            closed: Vec::new(),
            delegate_addresses: Vec::new(),
            drained: false,
            end: None,
            entropy: 7,
            era: Era(0),
            version: 10,
            requests: 0,
        }
    }

    pub fn apply(&mut self, kind: Kind) {
        self.entropy += 1;
        let event = Event { at: self.now, entropy: pseudorandom(self.entropy), kind };
        for effect in self.state.apply(event) {
            match effect {
                Effect::Log(record) => self.log.push(record.to_string()),
                Effect::Decide { request, decision } => self.decisions.push((request, decision)),
                Effect::Call(call) => self.calls.push(call),
                Effect::CloseConnections(address) => self.closed.push(address),
                Effect::Drained { end } => {
                    self.drained = true;
                    self.end = Some(end);
                }
                Effect::Send { datagram, address } => {
                    if matches!(datagram, Datagram::SyncRequest(_)) {
                        self.delegate_addresses.push(address);
                    }
                    self.datagrams.push(datagram);
                }
                Effect::Broadcast { datagram, .. } => self.datagrams.push(datagram),
                _ => {}
            }
        }
    }

    pub fn tick(&mut self) {
        self.apply(Kind::Tick);
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Span::from_millis(millis);
    }

    /// Replies to a read of all rows, and confirms the configuration.
    pub fn read(&mut self, targets: &[&str]) {
        self.read_unconfirmed(targets);
        self.confirm_catalog();
    }

    /// Replies that the configuration has not changed.
    pub fn confirm_catalog(&mut self) {
        self.reply_rows(Call::ReadCatalog { after: Position::first(0) }, Ok(Vec::new()));
    }

    /// Like [`World::read`], with one more row.
    pub fn read_with(&mut self, targets: &[&str], name: Name, value: Value) {
        let row = self.row(name, Some(value));
        self.read_rows(targets, vec![row]);
        self.confirm_catalog();
    }

    /// Replies to a read of all rows, which may be out of date.
    pub fn read_unconfirmed(&mut self, targets: &[&str]) {
        self.read_rows(targets, Vec::new());
    }

    fn read_rows(&mut self, targets: &[&str], mut rows: Vec<Row>) {
        rows.push(self.row(Name::Catalog, Some(catalog(1, KEY))));
        for id in targets {
            rows.push(self.row(Name::Target(id.parse().unwrap()), Some(target(id, "desk"))));
        }
        self.reply_rows(Call::ReadAll { newest: true }, Ok(rows));
    }

    /// Replies to a read of changes that was sent now with one changed row.
    pub fn change_row(&mut self, name: Name, value: Option<Value>) {
        let row = self.row(name, value);
        self.reply_rows(changes(), Ok(vec![row]));
    }

    /// Replies to a call that was sent now with rows or an error.
    pub fn reply_rows(&mut self, call: Call, rows: Result<Vec<Row>, Error>) {
        let version = self.position();
        let result = rows.map(|rows| Reply::Rows { rows, version });
        self.answer(call, result);
    }

    /// Replies to a call that was sent now with another answer.
    pub fn reply(&mut self, call: Call, reply: Reply) {
        self.answer(call, Ok(reply));
    }

    /// Answers a call that was sent now.
    fn answer(&mut self, mut call: Call, result: Result<Reply, Error>) {
        if let Call::ReadChanges { after, .. } | Call::ReadCatalog { after } = &mut call {
            after.era = self.era;
        }
        let answer = Answer { era: Some(self.era), result };
        self.apply(Kind::Store { call, sent: self.now, answer });
    }

    pub fn fail_store(&mut self) {
        self.reply_rows(changes(), Err(Error::Refused("503".into())));
    }

    /// Lets the store return from a copy of an earlier version. The VM learns of it by the next
    /// answer.
    pub fn return_to(&mut self, version: u64) {
        self.era.0 += 1;
        self.version = version;
    }

    /// Returns the store's position.
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.version }
    }

    /// Returns the store's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn row(&mut self, name: Name, value: Option<Value>) -> Row {
        self.version += 1;
        Row { name, version: self.position(), created: Version(1), value }
    }

    /// Lets a request arrive and returns the decision on it.
    pub fn arrive(&mut self, path: &str) -> Decision {
        self.arrive_with(path, |_| {})
    }

    pub fn arrive_with(&mut self, path: &str, change: impl FnOnce(&mut Arrival)) -> Decision {
        self.requests += 1;
        let mut arrival = Arrival {
            request: RequestId(self.requests),
            attempt: format!("a{}", self.requests).parse().unwrap(),
            at: self.now,
            host: "shop.example".into(),
            path: path.into(),
            key: Some(KEY.into()),
            deadline: None,
            parts: Vec::new(),
            length: Length::default(),
            fingerprint: Fingerprint(self.requests),
        };
        change(&mut arrival);
        self.apply(Kind::Request(Request::Arrived(arrival)));
        self.last()
    }

    /// Ends a send and returns the next decision, if there is one.
    pub fn end(&mut self, send: &Send, end: End) -> Option<Decision> {
        let before = self.decisions.len();
        self.apply(Kind::Request(Request::SendEnded { id: send.id, end, report: None }));
        (before < self.decisions.len()).then(|| self.last())
    }

    fn last(&self) -> Decision {
        self.decisions.last().unwrap().1.clone()
    }
}

/// Returns the answer of a store in its first era.
pub fn answer(result: Result<Reply, Error>) -> Answer {
    Answer { era: Some(Era(0)), result }
}

/// Returns bits that look random and are the same in each run.
fn pseudorandom(number: u64) -> u64 {
    let number = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number ^ (number >> 27)
}

/// Returns the send of a decision.
pub fn expect_send(decision: Decision) -> Send {
    match decision {
        Decision::Send(send) => send,
        decision => panic!("{decision:?}"),
    }
}

/// Returns why a request was refused.
pub fn expect_refusal(decision: Decision) -> Cause {
    match decision {
        Decision::Refuse(refusal) => refusal.cause,
        decision => panic!("{decision:?}"),
    }
}

pub fn changes() -> Call {
    Call::ReadChanges { after: Position::first(0), wait: Span::ZERO }
}

pub fn interrupted() -> End {
    End::Interrupted { reason: "reset".into(), relayed: false }
}

pub fn not_sent() -> End {
    End::NotSent { reason: "refused".into() }
}

pub fn target(id: &str, pool: &str) -> Value {
    let number: u8 = id.bytes().fold(0, |sum, byte| sum.wrapping_mul(7).wrapping_add(byte));
    Value::Target(Target {
        pool: pool.parse().unwrap(),
        address: format!("10.1.0.{number}:80").parse().unwrap(),
        data_centre: "a".parse().unwrap(),
        slots: 8,
        status: Status::Ready,
        start: None,
        warmup_left: Some(Span::ZERO),
    })
}

pub fn leaving(id: &str) -> Value {
    let Value::Target(target) = target(id, "desk") else { unreachable!() };
    Value::Target(Target { status: Status::Leaving, ..target })
}

pub fn member(vm: &str) -> Value {
    Value::Member(Member {
        vm: vm.parse().unwrap(),
        start: StartNumber(1),
        data_centre: "a".parse().unwrap(),
        address: format!("{}:1", vm.replace("vm-", "10.0.0.")).parse().unwrap(),
        link: MegabitsPerSecond(100),
    })
}

/// A heartbeat of a peer without any content.
pub fn heartbeat(vm: &str, sequence: u64) -> Kind {
    Kind::Datagram(Datagram::Heartbeat(Heartbeat {
        from: vm.parse().unwrap(),
        start: StartNumber(1),
        sequence,
        revision: Revision(1),
        revision_age: None,
        loads: Vec::new(),
        failures: Vec::new(),
        prompts_sent: 0,
        placements: Vec::new(),
        crashes: Vec::new(),
        demands: Vec::new(),
    }))
}

/// A configuration with a route of each kind.
pub fn catalog(revision: u64, key: &str) -> Value {
    let route = |id: &str, kind, attempts| {
        Route::builder(id, "shop.example", &format!("/{id}/"))
            .pool("desk".parse().unwrap(), 1)
            .kind(kind)
            .attempts(attempts)
            .timeouts(Span::from_secs(2), Span::from_millis(300))
            .public(id == "open")
            .cache_aware(kind.is_stream())
            .build()
    };
    let pool = Pool {
        id: "desk".parse().unwrap(),
        max_connections: 60,
        engine: Some(Engine { slots: 8, memory_tokens: 200_000 }),
        slow_start: None,
    };
    let account = Account { id: "bakery".parse().unwrap(), name: "bakery".into(), priority: None };
    let catalog = Catalog::builder(Revision(revision))
        .route(route("safe", RouteKind::Safe, 2))
        .route(route("book", RouteKind::Unsafe, 1))
        .route(route("open", RouteKind::Safe, 2))
        .route(route("chat", RouteKind::Stream { resumable: false }, 1))
        .route(route("long", RouteKind::Stream { resumable: true }, 2))
        .pool(pool)
        .account(account, [key.into()])
        .build();
    Value::Catalog(Arc::new(catalog))
}

/// A prompt of a first part that many prompts share, a second shared part, and
/// a part of its own.
pub fn prompt(first: u64, second: u64) -> Vec<Part> {
    let part = |id, tokens| Part { id, tokens };
    vec![part(first, 2_500), part(second, 6_000), part(99, 500)]
}
