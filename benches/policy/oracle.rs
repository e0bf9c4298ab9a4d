//! A reference policy: the project's admission rules, applied by one decision maker to the
//! engines' current loads, without messages or delays.

use std::collections::BTreeMap;

use briarshift_routing::admission::{Bound, Candidate, Choice, Request, Snapshot};
use briarshift_units::{Moment, RequestId, Span, StartNumber, TargetId};
use briarshift_wire::reservation::{Denial, Requirements};

use crate::policy::{Action, CurrentReport, Observation, Policy};

/// Longest wait for the engine that holds a chat's context. The bench's document sets the same
/// value as `place_wait_ms`.
pub const CONTEXT_WAIT: Span = Span::from_millis(300);
/// Longest wait in the queue.
const MAX_QUEUE_WAIT: Span = Span::from_secs(10);

/// The current state of an engine that is up.
#[derive(Debug, Clone)]
struct Engine {
    id: TargetId,
    start: StartNumber,
    leaving: bool,
    load: u32,
}

/// Decides for all VMs.
#[derive(Debug, Default)]
pub struct Oracle {
    engines: Vec<Engine>,
    /// Waiting requests, with the time of their arrival.
    queue: Vec<(Moment, Requirements)>,
    /// The engines of the requests that run.
    assigned: BTreeMap<RequestId, TargetId>,
    /// Number of overnight requests on each engine.
    overnight_loads: BTreeMap<TargetId, u32>,
    /// The overnight requests that run.
    overnight_requests: BTreeMap<RequestId, bool>,
}

impl Oracle {
    /// Assigns or refuses each waiting request, interactive ones first, or leaves it in the queue.
    fn process_queue(&mut self, now: Moment, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let engines = self.engines.clone();
        let live = engines.iter().filter(|engine| !engine.leaving);
        let candidates = live.map(|engine| Candidate {
            target: &engine.id,
            start: engine.start,
            load: engine.load,
            overnight: self.overnight_loads.get(&engine.id).copied().unwrap_or(0),
            accepts_all: true,
        });
        let bound = Bound::Mean { factor: 1.25, overnight_share: 0.5 };
        let mut snapshot =
            Snapshot { candidates: candidates.collect(), bound, other_load: 0, other_targets: 0 };
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_key(|(queued_at, requirements)| (requirements.overnight, *queued_at));
        for (queued_at, requirements) in queue {
            let cached_on = requirements.cached_on.as_ref().map(|(id, start)| (id, *start));
            let request = Request {
                chat: requirements.chat,
                cached_on,
                avoid: &requirements.avoid,
                overnight: requirements.overnight,
                context_wait: CONTEXT_WAIT - now.since(queued_at),
            };
            match snapshot.choose(&request) {
                Choice::Candidate(index, _) => {
                    let target = snapshot.candidates[index].target.clone();
                    snapshot.reserve(index, requirements.overnight);
                    self.record_assignment(&target, requirements.request, requirements.overnight);
                    out.push(Action::Assign(requirements.request, target));
                }
                Choice::NoCandidate => out.push(Action::Deny(requirements.request, Denial::Empty)),
                _ if MAX_QUEUE_WAIT <= now.since(queued_at) => {
                    out.push(Action::Deny(requirements.request, Denial::Full));
                }
                _ => self.queue.push((queued_at, requirements)),
            }
        }
    }

    /// Adds a request to the load of its engine.
    fn record_assignment(&mut self, target: &TargetId, request: RequestId, overnight: bool) {
        if let Some(engine) = self.engines.iter_mut().find(|engine| engine.id == *target) {
            engine.load += 1;
        }
        if overnight {
            *self.overnight_loads.entry(target.clone()).or_default() += 1;
            self.overnight_requests.insert(request, true);
        }
        self.assigned.insert(request, target.clone());
    }
}

impl Policy for Oracle {
    fn name(&self) -> &'static str {
        "oracle"
    }

    fn handle_request(
        &mut self,
        now: Moment,
        _: usize,
        requirements: Requirements,
        out: &mut Vec<Action>,
    ) {
        self.queue.push((now, requirements));
        self.process_queue(now, out);
    }

    fn handle_end(&mut self, _: Moment, _: usize, request: RequestId, _: &mut Vec<Action>) {
        let Some(target) = self.assigned.remove(&request) else { return };
        if self.overnight_requests.remove(&request).is_some() {
            *self.overnight_loads.entry(target).or_default() -= 1;
        }
    }

    fn handle_failure(&mut self, _: usize, _: &TargetId) {}

    fn handle_reports(&mut self, _: Moment, _: usize, _: &[Observation], _: &mut Vec<Action>) {}

    fn handle_engine_list(&mut self, _: Moment, _: usize, _: &[(TargetId, bool)]) {}

    fn handle_current_reports(
        &mut self,
        now: Moment,
        reports: &[CurrentReport],
        out: &mut Vec<Action>,
    ) {
        let engines = reports.iter().map(|current| Engine {
            id: current.id.clone(),
            start: current.report.start,
            leaving: current.report.leaving,
            load: current.report.running,
        });
        self.engines = engines.collect();
        self.process_queue(now, out);
    }

    fn is_oracle(&self) -> bool {
        true
    }
}
