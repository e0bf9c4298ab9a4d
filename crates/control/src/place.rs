//! Places on targets: who may run where, now.

use std::collections::{BTreeMap, VecDeque};

use briarshift_routing::{bound, rank};
use briarshift_settings::{Document, Kind};
use briarshift_units::{Moment, PoolId, RequestId, Span, TargetId, VmId};
use briarshift_wire::place::{Ask, Denial, Message};

use crate::{Context, Output, Record, Signal, member, target};

/// What became of an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// The request.
    pub request: RequestId,
    /// Where it may run, or why nowhere.
    pub place: Result<TargetId, Denial>,
}

/// What the placement looks at.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Targets.
    pub targets: &'a target::State,
    /// Entry VMs.
    pub members: &'a member::State,
    /// The document in force.
    pub document: &'a Document,
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    since: Moment,
}

/// Places held and asked for.
#[derive(Debug, Default)]
pub struct State {
    held: BTreeMap<RequestId, TargetId>,
    load: BTreeMap<TargetId, u32>,
    queue: VecDeque<Waiting>,
}

impl State {
    /// Asks for a place on behalf of a local request. A [`Verdict`] follows,
    /// at once or later.
    pub fn ask(&mut self, ctx: &Context<'_>, view: View<'_>, ask: Ask, out: &mut Output) {
        let waiting = Waiting { ask, since: ctx.at };
        if let Some(waiting) = self.place(ctx, view, waiting, out) {
            self.queue.push_back(waiting);
        }
    }

    /// A local request has ended, or gave up waiting.
    pub fn release(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        request: RequestId,
        out: &mut Output,
    ) {
        self.queue.retain(|waiting| waiting.ask.request != request);
        if let Some(target) = self.held.remove(&request) {
            if let Some(load) = self.load.get_mut(&target) {
                *load = load.saturating_sub(1);
            }
            self.serve(ctx, view, out);
        }
    }

    /// A peer's message.
    pub fn peer(
        &mut self,
        _ctx: &Context<'_>,
        _view: View<'_>,
        _from: &VmId,
        _message: Message,
        _out: &mut Output,
    ) {
    }

    /// Periodic work: serves and times out the queue.
    pub fn tick(&mut self, ctx: &Context<'_>, view: View<'_>, out: &mut Output) {
        self.serve(ctx, view, out);
    }

    /// Requests that run on a target by this VM's count.
    pub fn load(&self, target: &TargetId) -> u32 {
        self.load.get(target).copied().unwrap_or(0)
    }

    fn serve(&mut self, ctx: &Context<'_>, view: View<'_>, out: &mut Output) {
        for waiting in std::mem::take(&mut self.queue) {
            if let Some(waiting) = self.place(ctx, view, waiting, out) {
                self.queue.push_back(waiting);
            }
        }
    }

    fn place(
        &mut self,
        ctx: &Context<'_>,
        view: View<'_>,
        waiting: Waiting,
        out: &mut Output,
    ) -> Option<Waiting> {
        let ask = &waiting.ask;
        let request = ask.request;
        let pool = view.document.pools.iter().find(|pool| pool.id == ask.pool);
        let candidates = view.targets.candidates(&ask.pool);
        let live: Vec<_> = candidates.filter(|target| !ask.avoid.contains(&target.id)).collect();
        let Some(pool) = pool.filter(|_| !live.is_empty()) else {
            out.signal(Signal::Placed(Verdict { request, place: Err(Denial::Empty) }));
            return None;
        };
        let cap = match &pool.kind {
            Kind::Engine(engine) => self.cap(engine.load_factor, view, &ask.pool),
            Kind::Runner(runner) => runner.concurrency,
        };
        let under = live.into_iter().filter(|target| self.load(&target.id) < cap).collect();
        let ranked = rank::order(ask.chat, under, |target| target.id.as_str());
        let held = ask.held_on.as_ref().and_then(|(id, start)| {
            ranked.iter().find(|target| &target.id == id && target.start() == *start)
        });
        let Some(chosen) = held.or(ranked.first()) else {
            if Span::from_millis(pool.queue_wait_ms) <= ctx.at.since(waiting.since) {
                out.signal(Signal::Placed(Verdict { request, place: Err(Denial::Full) }));
                return None;
            }
            return Some(waiting);
        };
        let line = Record::new("place").with("request", request).with("pool", &ask.pool);
        let why = if held.is_some() { "holds_context" } else { "rank" };
        out.log(line.with("target", &chosen.id).with("why", why).with("cap", cap));
        self.held.insert(request, chosen.id.clone());
        *self.load.entry(chosen.id.clone()).or_default() += 1;
        out.signal(Signal::Placed(Verdict { request, place: Ok(chosen.id.clone()) }));
        None
    }

    fn cap(&self, factor: f64, view: View<'_>, pool: &PoolId) -> u32 {
        let (load, count) = view
            .targets
            .candidates(pool)
            .fold((0, 0), |(load, count), target| (load + self.load(&target.id), count + 1));
        bound::cap(factor, load, count)
    }
}
