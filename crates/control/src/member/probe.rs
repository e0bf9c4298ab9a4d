//! Probes under way.

use std::collections::BTreeMap;

use briarshift_units::{Moment, Span, VmId};

/// How long a probe's answer may take before others are asked to probe too.
pub(crate) const DIRECT: Span = Span::from_millis(400);
/// How long a probe may take in all, before its VM is suspected.
const INDIRECT: Span = Span::from_millis(1_200);
/// How long a relayed probe's answer is passed on.
const RELAY: Span = Span::from_millis(1_000);

#[derive(Debug)]
struct Pending {
    at: Moment,
    relayed: bool,
}

#[derive(Debug)]
struct Relay {
    asker: VmId,
    at: Moment,
}

/// What is to be done about a probe without an answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Late {
    /// Ask others to probe it.
    Relay(VmId),
    /// Suspect it.
    Suspect(VmId),
}

/// Probes that this VM sent, for itself and for others.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pending: BTreeMap<VmId, Pending>,
    relays: BTreeMap<VmId, Vec<Relay>>,
    cycle: Vec<VmId>,
}

impl Probes {
    /// The next VM of the current cycle.
    pub(crate) fn next(&mut self) -> Option<VmId> {
        self.cycle.pop()
    }

    /// Begins a cycle over these VMs, in the order given from the end.
    pub(crate) fn begin(&mut self, vms: Vec<VmId>) {
        self.cycle = vms;
    }

    /// A probe is sent.
    pub(crate) fn sent(&mut self, vm: &VmId, at: Moment) {
        self.pending.entry(vm.clone()).or_insert(Pending { at, relayed: false });
    }

    /// The VM was heard, or is gone: no probe of it is open. Returns those who
    /// asked for it.
    pub(crate) fn heard(&mut self, vm: &VmId, at: Moment) -> Vec<VmId> {
        self.pending.remove(vm);
        let waiting = self.relays.remove(vm).unwrap_or_default();
        let in_time = waiting.into_iter().filter(|relay| at.since(relay.at) <= RELAY);
        in_time.map(|relay| relay.asker).collect()
    }

    /// A peer asks for a probe. Returns whether one must be sent.
    pub(crate) fn relay(&mut self, vm: &VmId, asker: &VmId, at: Moment) -> bool {
        let waiting = self.relays.entry(vm.clone()).or_default();
        waiting.retain(|relay| at.since(relay.at) <= RELAY && &relay.asker != asker);
        waiting.push(Relay { asker: asker.clone(), at });
        waiting.len() == 1
    }

    /// Forgets all probes: this VM was paused, so late answers prove nothing.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.relays.clear();
    }

    /// Probes that are late at `at`; those to be suspected are closed.
    pub(crate) fn late(&mut self, at: Moment) -> Vec<Late> {
        let mut late = Vec::new();
        for (vm, pending) in &mut self.pending {
            let waited = at.since(pending.at);
            if INDIRECT <= waited {
                late.push(Late::Suspect(vm.clone()));
            } else if DIRECT <= waited && !pending.relayed {
                pending.relayed = true;
                late.push(Late::Relay(vm.clone()));
            }
        }
        self.pending.retain(|_, pending| at.since(pending.at) < INDIRECT);
        self.relays.retain(|_, waiting| {
            waiting.retain(|relay| at.since(relay.at) <= RELAY);
            !waiting.is_empty()
        });
        late
    }
}
