//! A store that loses what it is told to, and a clock that does not wait.

use std::cell::RefCell;
use std::future::poll_fn;
use std::task::Poll;

use briarshift_environment::{Clock, Environment, Report};
use briarshift_settings::{Account, Document};
use briarshift_standin::store::MemoryStore;
use briarshift_store::{Entry, Error, Expect, Operation, Reply, Store, Version};
use briarshift_units::{Digest, Moment, Revision, Span, WallTime};
use futures::future::{FutureExt, LocalBoxFuture};

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is answered.
    Answered,
    /// It is refused.
    Refused,
    /// It never arrives.
    NeverArrives,
    /// It takes effect; its answer is lost.
    AnswerLost,
    /// It takes effect some calls later; its answer is lost.
    Late,
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
    fates: Vec<(Fate, u8)>,
    late: Vec<(u8, Operation)>,
    writes: Vec<Write>,
}

/// The store. Calls take their fates in turn, then all are answered.
#[derive(Default)]
pub struct Fake(RefCell<Inner>);

impl Fake {
    /// Fates of the next calls, each with the turns it gives to others first.
    pub fn new(fates: Vec<(Fate, u8)>) -> Self {
        let fake = Self::default();
        fake.tell(fates);
        fake
    }

    /// Fates of the next calls from now on.
    pub fn tell(&self, mut fates: Vec<(Fate, u8)>) {
        fates.reverse();
        self.0.borrow_mut().fates = fates;
    }

    /// Lets everything late take effect, and returns all writes of documents.
    pub fn writes(&self) -> Vec<Write> {
        let mut inner = self.0.borrow_mut();
        for (_, operation) in std::mem::take(&mut inner.late) {
            let _ = inner.apply(operation);
        }
        inner.writes.clone()
    }

    /// Applies an operation at once.
    pub fn apply(&self, operation: Operation) -> Result<Reply, Error> {
        self.0.borrow_mut().apply(operation)
    }

    /// Writes a report of a data centre with two VMs.
    pub fn report(&self, environment: &Environment, digest: Digest, in_force: u32) {
        let report = Report {
            data_centre: "aarau".parse().expect("an id"),
            vm: "vm-1".parse().expect("an id"),
            revision: Revision(1),
            digest,
            live: 2,
            in_force,
            at: WallTime(0),
        };
        let key = environment.report_key(&report.data_centre);
        let value = serde_json::to_string(&report).expect("reports are JSON");
        let put = Operation::Put { key, value, expect: Expect::Any, lease: None };
        self.apply(put).expect("a write");
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

    fn call(&mut self, fate: Fate, operation: Operation) -> Result<Reply, Error> {
        for (calls, operation) in std::mem::take(&mut self.late) {
            match calls.checked_sub(1) {
                Some(calls) => self.late.push((calls, operation)),
                None => drop(self.apply(operation)),
            }
        }
        let lost = || Err(Error::Unknown("no answer".into()));
        match fate {
            Fate::Answered => self.apply(operation),
            Fate::Refused => Err(Error::Refused("outage".into())),
            Fate::NeverArrives => lost(),
            Fate::AnswerLost => {
                let _ = self.apply(operation);
                lost()
            }
            Fate::Late => {
                self.late.push((3, operation));
                lost()
            }
        }
    }
}

impl Store for Fake {
    fn execute(&self, operation: Operation) -> LocalBoxFuture<'_, Result<Reply, Error>> {
        let (fate, turns) = self.0.borrow_mut().fates.pop().unwrap_or((Fate::Answered, 0));
        async move {
            for _ in 0..turns {
                turn().await;
            }
            self.0.borrow_mut().call(fate, operation)
        }
        .boxed_local()
    }
}

/// Lets others go first, once.
async fn turn() {
    let mut is_over = false;
    poll_fn(|cx| {
        if is_over {
            return Poll::Ready(());
        }
        is_over = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// A clock that stands still.
pub struct Still;

impl Clock for Still {
    fn now(&self) -> WallTime {
        WallTime(1_000)
    }

    fn sleep(&self, _: Span) -> LocalBoxFuture<'_, ()> {
        turn().boxed_local()
    }
}

/// The value of a reply.
pub fn value(reply: Result<Reply, Error>) -> Option<Entry> {
    match reply {
        Ok(Reply::Value(entry)) => entry,
        _ => None,
    }
}

pub fn environment(name: &str) -> Environment {
    name.parse().expect("a name")
}

/// A document without a fault, told apart by its account.
pub fn document(account: &str) -> String {
    let id = account.parse().expect("an id");
    let owner: briarshift_units::OwnerId = "kitambaa".parse().expect("an id");
    let account = Account::builder(id, owner.clone(), "key").build();
    let document = Document::builder().owner(owner).account(account).build();
    serde_json::to_string_pretty(&document).expect("documents are JSON")
}
