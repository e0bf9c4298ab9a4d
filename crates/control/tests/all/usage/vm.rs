//! A simulation of one VM that counts usage, and of a store with faults, in
//! virtual time.

use briarshift_control::usage::{Counters, Sample, State, View};
use briarshift_control::{Context, Effect, Identity, Output};
use briarshift_standin::store::MemoryStore;
use briarshift_store::{Entry, Error, Operation, Reply};
use briarshift_units::{Moment, Span, StartNumber, WallTime};

/// Time of one step.
pub const STEP: Span = Span::from_secs(1);
/// The fleet's key.
pub const KEY: [u8; 32] = [7; 32];
const MILLIS_PER_DAY: u64 = 86_400_000;

/// How the store treats the next operations.
#[derive(Debug, Clone, Copy)]
pub enum StoreMode {
    /// Executes them and replies.
    Normal,
    /// Executes them and loses the reply.
    LoseReply,
    /// Executes them twice and loses the first reply.
    Twice,
    /// Loses the reply, and executes them 12 steps later.
    Late,
    /// Refuses them.
    Refuse,
}

pub struct Vm {
    pub now: Moment,
    /// The sum of everything that this start has counted.
    pub counted: Counters,
    pub logged: Vec<&'static str>,
    wall: WallTime,
    memory: MemoryStore,
    me: Identity,
    state: State,
    inbox: Vec<Result<Reply, Error>>,
    late: Vec<(Moment, Operation)>,
    store_mode: StoreMode,
    calls: u32,
}

impl Vm {
    pub fn new() -> Self {
        let me = Identity {
            vm: "v".parse().unwrap(),
            start: StartNumber(1),
            data_centre: "d".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            environment: "test".into(),
            token_key: KEY,
        };
        Self {
            now: Moment(0),
            counted: Counters::default(),
            logged: Vec::new(),
            wall: WallTime(0),
            memory: MemoryStore::default(),
            me,
            state: State::default(),
            inbox: Vec::new(),
            late: Vec::new(),
            store_mode: StoreMode::Normal,
            calls: 0,
        }
    }

    /// Replaces the process by a new one; the store keeps its content.
    pub fn restart(&mut self) {
        self.me.start = StartNumber(self.me.start.0 + 1);
        self.state = State::default();
        self.inbox.clear();
        self.counted = Counters::default();
    }

    pub fn start(&self) -> StartNumber {
        self.me.start
    }

    /// Sets how the store treats the next `calls` operations.
    pub fn set_store_mode(&mut self, store_mode: StoreMode, calls: u32) {
        (self.store_mode, self.calls) = (store_mode, calls);
    }

    pub fn next_day(&mut self) {
        self.wall.0 += MILLIS_PER_DAY;
    }

    pub fn count(&mut self, sample: &Sample) {
        let ctx = Context { at: self.now, wall: self.wall, entropy: 0, me: &self.me };
        self.state.record(&ctx, sample);
        self.counted += Counters::from_sample(sample);
    }

    /// Drains the VM, and checks that all records are written.
    pub fn drain(&mut self) {
        self.set_store_mode(StoreMode::Normal, 0);
        for _ in 0..40 {
            self.step(true);
        }
        assert!(self.state.is_flushed(self.now));
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step(false);
        }
    }

    /// Returns all usage records in the store.
    pub fn entries(&mut self) -> Vec<Entry> {
        let list = Operation::List { prefix: "usage/".into() };
        match self.memory.execute(self.now, list) {
            Ok(Reply::Values(entries)) => entries,
            other => panic!("{other:?}"),
        }
    }

    /// Executes an operation on the store without the VM.
    pub fn tamper(&mut self, operation: Operation) {
        self.memory.execute(self.now, operation).unwrap();
    }

    fn step(&mut self, drained: bool) {
        self.now = self.now + STEP;
        self.wall.0 += STEP.as_millis();
        let now = self.now;
        let (due, late) = self.late.drain(..).partition(|(at, _)| *at <= now);
        self.late = late;
        for (_, operation) in due {
            // The store refuses a late write whose expected version has been
            // replaced meanwhile.
            let _: Result<Reply, Error> = self.memory.execute(now, operation);
        }
        let mut out = Output::default();
        let ctx = Context { at: now, wall: self.wall, entropy: 3, me: &self.me };
        for result in std::mem::take(&mut self.inbox) {
            self.state.handle_store_reply(&ctx, &result, &mut out);
        }
        self.state.tick(&ctx, View { vms: 1, drained }, &mut out);
        for effect in out.effects {
            match effect {
                Effect::Store { operation, .. } => {
                    let result = self.execute(operation);
                    self.inbox.push(result);
                }
                Effect::Log(record) => self.logged.push(record.event()),
                effect => panic!("{effect:?}"),
            }
        }
    }

    fn execute(&mut self, operation: Operation) -> Result<Reply, Error> {
        if self.calls == 0 {
            return self.memory.execute(self.now, operation);
        }
        self.calls -= 1;
        let lost = Err(Error::Unknown("reply lost".into()));
        match self.store_mode {
            StoreMode::Normal => self.memory.execute(self.now, operation),
            StoreMode::LoseReply => self.memory.execute(self.now, operation).and(lost),
            StoreMode::Twice => {
                let _: Result<Reply, Error> = self.memory.execute(self.now, operation.clone());
                self.memory.execute(self.now, operation)
            }
            StoreMode::Late => {
                self.late.push((self.now + Span(12 * STEP.0), operation));
                lost
            }
            StoreMode::Refuse => Err(Error::Refused("outage".into())),
        }
    }
}
