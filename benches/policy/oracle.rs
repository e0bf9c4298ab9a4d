//! The same rules with the truth at hand: no messages, no lag.

use std::collections::BTreeMap;

use briarshift_routing::admission::{Bound, Candidate, Choice, Request, Snapshot};
use briarshift_units::{Moment, RequestId, Span, StartNumber, TargetId};
use briarshift_wire::reservation::{Denial, Requirements};

use crate::policy::{Action, Fact, Known, Policy};

/// As the document's `place_wait_ms`.
pub const PLACE_WAIT: Span = Span::from_millis(300);
const QUEUE_WAIT: Span = Span::from_secs(10);

#[derive(Debug, Clone)]
struct Engine {
    id: TargetId,
    start: StartNumber,
    leaving: bool,
    load: u32,
}

/// One place that decides for all.
#[derive(Debug, Default)]
pub struct Oracle {
    engines: Vec<Engine>,
    queue: Vec<(Moment, Requirements)>,
    held: BTreeMap<RequestId, TargetId>,
    overnight: BTreeMap<TargetId, u32>,
    nights: BTreeMap<RequestId, bool>,
}

impl Oracle {
    fn serve(&mut self, at: Moment, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let engines = self.engines.clone();
        let live = engines.iter().filter(|engine| !engine.leaving);
        let seats = live.map(|engine| Candidate {
            target: &engine.id,
            start: engine.start,
            load: engine.load,
            overnight: self.overnight.get(&engine.id).copied().unwrap_or(0),
            accepts_all: true,
        });
        let bound = Bound::Mean { factor: 1.25, overnight_share: 0.5 };
        let mut board =
            Snapshot { candidates: seats.collect(), bound, other_load: 0, other_targets: 0 };
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|(since, ask)| (ask.overnight, *since));
        for (since, ask) in queue {
            let held_on = ask.cached_on.as_ref().map(|(id, start)| (id, *start));
            let want = Request {
                chat: ask.chat,
                held_on,
                avoid: &ask.avoid,
                overnight: ask.overnight,
                context_wait: PLACE_WAIT - at.since(since),
            };
            match board.choose(&want) {
                Choice::Candidate(index, _) => {
                    let target = board.candidates[index].target.clone();
                    board.reserve(index, ask.overnight);
                    self.count(&target, ask.request, ask.overnight);
                    out.push(Action::Place(ask.request, target));
                }
                Choice::NoCandidate => out.push(Action::Deny(ask.request, Denial::Empty)),
                _ if QUEUE_WAIT <= at.since(since) => {
                    out.push(Action::Deny(ask.request, Denial::Full));
                }
                _ => self.queue.push((since, ask)),
            }
        }
    }

    fn count(&mut self, target: &TargetId, request: RequestId, overnight: bool) {
        if let Some(engine) = self.engines.iter_mut().find(|engine| engine.id == *target) {
            engine.load += 1;
        }
        if overnight {
            *self.overnight.entry(target.clone()).or_default() += 1;
            self.nights.insert(request, true);
        }
        self.held.insert(request, target.clone());
    }
}

impl Policy for Oracle {
    fn name(&self) -> &'static str {
        "oracle"
    }

    fn arrive(&mut self, at: Moment, _: usize, ask: Requirements, out: &mut Vec<Action>) {
        self.queue.push((at, ask));
        self.serve(at, out);
    }

    fn end(&mut self, _: Moment, _: usize, request: RequestId, _: &mut Vec<Action>) {
        let Some(target) = self.held.remove(&request) else { return };
        if self.nights.remove(&request).is_some() {
            *self.overnight.entry(target).or_default() -= 1;
        }
    }

    fn suspect(&mut self, _: usize, _: &TargetId) {}

    fn reports(&mut self, _: Moment, _: usize, _: &[Known], _: &mut Vec<Action>) {}

    fn engines(&mut self, _: Moment, _: usize, _: &[(TargetId, bool)]) {}

    fn truth(&mut self, at: Moment, facts: &[Fact], out: &mut Vec<Action>) {
        let engines = facts.iter().map(|fact| Engine {
            id: fact.id.clone(),
            start: fact.report.start,
            leaving: fact.report.leaving,
            load: fact.report.running,
        });
        self.engines = engines.collect();
        self.serve(at, out);
    }

    fn is_oracle(&self) -> bool {
        true
    }
}
