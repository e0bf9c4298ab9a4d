//! A store that injects faults into calls, and a clock that doesn't wait.

use std::cell::RefCell;
use std::future::poll_fn;
use std::task::Poll;

use briarshift_environment::{Clock, Environment, Report};
use briarshift_settings::{Account, Document};
use briarshift_standin::store::MemoryStore;
use briarshift_store::{Entry, Error, Expect, Operation, Reply, Store, Version};
use briarshift_units::{Digest, Moment, Revision, Span, WallTime};
use futures::future::{FutureExt, LocalBoxFuture};

/// The outcome of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call is executed and answered.
    Answered,
    /// The call is refused.
    Refused,
    /// The call is lost on the way to the store.
    RequestLost,
    /// The call is executed, but its answer is lost.
    AnswerLost,
    /// The call is executed after some later calls, and its answer is lost.
    Delayed,
}

/// A write of a document that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    pub replaced: Revision,
    pub revision: Revision,
    pub text: String,
}

#[derive(Default)]
struct Inner {
    memory: MemoryStore,
    /// Outcomes of the next calls, the next one last.
    outcomes: Vec<(Outcome, u8)>,
    /// Delayed operations, each with the number of calls that come first.
    delayed: Vec<(u8, Operation)>,
    writes: Vec<Write>,
}

/// A store whose calls have the given outcomes. When these are used up, all
/// calls are answered.
#[derive(Default)]
pub struct Fake(RefCell<Inner>);

impl Fake {
    /// Creates a store with the outcomes of the next calls. The number of each is
    /// how often the call yields to other tasks first.
    pub fn new(outcomes: Vec<(Outcome, u8)>) -> Self {
        let fake = Self::default();
        fake.set_outcomes(outcomes);
        fake
    }

    /// Sets the outcomes of the next calls, as for [`Self::new`].
    pub fn set_outcomes(&self, mut outcomes: Vec<(Outcome, u8)>) {
        outcomes.reverse();
        self.0.borrow_mut().outcomes = outcomes;
    }

    /// Executes all delayed operations and returns all writes of documents.
    pub fn writes(&self) -> Vec<Write> {
        let mut inner = self.0.borrow_mut();
        for (_, operation) in std::mem::take(&mut inner.delayed) {
            let _ = inner.apply(operation);
        }
        inner.writes.clone()
    }

    /// Executes an operation at once.
    pub fn apply(&self, operation: Operation) -> Result<Reply, Error> {
        self.0.borrow_mut().apply(operation)
    }

    /// Writes the report of a data centre with two live VMs, of which `in_force`
    /// run the document with this digest.
    pub fn report(&self, environment: &Environment, digest: Digest, in_force: u32) {
        let report = Report {
            data_centre: "aarau".parse().expect("a valid id"),
            vm: "vm-1".parse().expect("a valid id"),
            revision: Revision(1),
            digest,
            live: 2,
            in_force,
            at: WallTime(0),
        };
        let key = environment.report_key(&report.data_centre);
        let value = serde_json::to_string(&report).expect("a report serializes to JSON");
        let put = Operation::Put { key, value, expect: Expect::Any, lease: None };
        self.apply(put).expect("the write succeeds");
    }
}

impl Inner {
    fn apply(&mut self, operation: Operation) -> Result<Reply, Error> {
        let reply = self.memory.execute(Moment(0), operation.clone())?;
        if let (Operation::Put { key, value, expect, .. }, Reply::Written(Version(version))) =
            (operation, &reply)
            && key.0.ends_with("/document")
        {
            let replaced = match expect {
                Expect::Version(Version(version)) => Revision(version),
                _ => Revision(0),
            };
            self.writes.push(Write { replaced, revision: Revision(*version), text: value });
        }
        Ok(reply)
    }

    fn call(&mut self, outcome: Outcome, operation: Operation) -> Result<Reply, Error> {
        for (calls, operation) in std::mem::take(&mut self.delayed) {
            match calls.checked_sub(1) {
                Some(calls) => self.delayed.push((calls, operation)),
                None => drop(self.apply(operation)),
            }
        }
        let lost = || Err(Error::Unknown("no answer".into()));
        match outcome {
            Outcome::Answered => self.apply(operation),
            Outcome::Refused => Err(Error::Refused("outage".into())),
            Outcome::RequestLost => lost(),
            Outcome::AnswerLost => {
                let _ = self.apply(operation);
                lost()
            }
            Outcome::Delayed => {
                self.delayed.push((3, operation));
                lost()
            }
        }
    }
}

impl Store for Fake {
    fn execute(&self, operation: Operation) -> LocalBoxFuture<'_, Result<Reply, Error>> {
        let (outcome, yields) =
            self.0.borrow_mut().outcomes.pop().unwrap_or((Outcome::Answered, 0));
        async move {
            for _ in 0..yields {
                yield_now().await;
            }
            self.0.borrow_mut().call(outcome, operation)
        }
        .boxed_local()
    }
}

/// Yields to other tasks once.
async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// A clock that always shows the same time.
pub struct FixedClock;

impl Clock for FixedClock {
    fn now(&self) -> WallTime {
        WallTime(1_000)
    }

    fn sleep(&self, _: Span) -> LocalBoxFuture<'_, ()> {
        yield_now().boxed_local()
    }
}

/// Returns the entry of a reply to a read, if any.
pub fn value(reply: Result<Reply, Error>) -> Option<Entry> {
    match reply {
        Ok(Reply::Value(entry)) => entry,
        _ => None,
    }
}

pub fn environment(name: &str) -> Environment {
    name.parse().expect("a valid name")
}

/// Returns a valid document with this account.
pub fn document(account: &str) -> String {
    let id = account.parse().expect("a valid id");
    let owner: briarshift_units::OwnerId = "kitambaa".parse().expect("a valid id");
    let account = Account::builder(id, owner.clone(), "key").build();
    let document = Document::builder().owner(owner).account(account).build();
    serde_json::to_string_pretty(&document).expect("a document serializes to JSON")
}
