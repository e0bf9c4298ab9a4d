//! Outstanding probes.

use std::collections::BTreeMap;

use briarshift_units::{Moment, Span, VmId};

/// Time without an answer after which other VMs are asked to probe as well.
pub(crate) const DIRECT_TIMEOUT: Span = Span::from_millis(400);
/// Time without any answer, direct or indirect, after which the VM is
/// suspected.
const PROBE_TIMEOUT: Span = Span::from_millis(1_200);
/// Time within which an answer to an indirect probe is reported to its
/// requester.
const INDIRECT_TIMEOUT: Span = Span::from_millis(1_000);

/// A probe that this VM sent for itself. `indirect` is true once other VMs were
/// asked to probe as well.
#[derive(Debug)]
struct Pending {
    sent_at: Moment,
    indirect: bool,
}

/// A peer's request for an indirect probe.
#[derive(Debug)]
struct Request {
    requester: VmId,
    requested_at: Moment,
}

/// The next action for a probe that was not answered in time.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Ask other VMs to probe this one.
    ProbeIndirectly(VmId),
    /// Mark this VM as suspect.
    Suspect(VmId),
}

/// Probes that this VM sent, for itself and for other VMs.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pending: BTreeMap<VmId, Pending>,
    requests: BTreeMap<VmId, Vec<Request>>,
    cycle: Vec<VmId>,
}

impl Probes {
    /// Returns the next VM of the current cycle.
    pub(crate) fn next(&mut self) -> Option<VmId> {
        self.cycle.pop()
    }

    /// Begins a cycle over these VMs; the last one is probed first.
    pub(crate) fn begin_cycle(&mut self, vms: Vec<VmId>) {
        self.cycle = vms;
    }

    /// Records that this VM sent a probe for itself.
    pub(crate) fn add(&mut self, vm: &VmId, at: Moment) {
        self.pending.entry(vm.clone()).or_insert(Pending { sent_at: at, indirect: false });
    }

    /// Removes all probes of a VM that was heard from. Returns the VMs that
    /// requested an indirect probe and still wait for its result.
    pub(crate) fn complete(&mut self, vm: &VmId, at: Moment) -> Vec<VmId> {
        self.pending.remove(vm);
        let waiting = self.requests.remove(vm).unwrap_or_default();
        let recent = waiting
            .into_iter()
            .filter(|request| at.since(request.requested_at) <= INDIRECT_TIMEOUT);
        recent.map(|request| request.requester).collect()
    }

    /// Records that a peer requested an indirect probe. Returns true if the
    /// probe must be sent, false if one for another peer is outstanding.
    pub(crate) fn add_request(&mut self, vm: &VmId, requester: &VmId, at: Moment) -> bool {
        let waiting = self.requests.entry(vm.clone()).or_default();
        waiting.retain(|request| {
            at.since(request.requested_at) <= INDIRECT_TIMEOUT && &request.requester != requester
        });
        waiting.push(Request { requester: requester.clone(), requested_at: at });
        waiting.len() == 1
    }

    /// Drops all probes. After a pause of this VM, missing answers don't show
    /// that a peer failed.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.requests.clear();
    }

    /// Returns the actions for probes that are overdue at `at`, and drops the
    /// probes whose VM is to be suspected.
    pub(crate) fn expire(&mut self, at: Moment) -> Vec<Action> {
        let mut actions = Vec::new();
        for (vm, pending) in &mut self.pending {
            let waited = at.since(pending.sent_at);
            if PROBE_TIMEOUT <= waited {
                actions.push(Action::Suspect(vm.clone()));
            } else if DIRECT_TIMEOUT <= waited && !pending.indirect {
                pending.indirect = true;
                actions.push(Action::ProbeIndirectly(vm.clone()));
            }
        }
        self.pending.retain(|_, pending| at.since(pending.sent_at) < PROBE_TIMEOUT);
        self.requests.retain(|_, waiting| {
            waiting.retain(|request| at.since(request.requested_at) <= INDIRECT_TIMEOUT);
            !waiting.is_empty()
        });
        actions
    }
}
