//! Membership: this VM's view of the entry VMs in the fleet.
//!
//! The protocol follows SWIM. In each round a VM probes one other VM, in a
//! shuffled cycle, so that the work for each VM doesn't grow with the fleet. A
//! VM that doesn't answer is probed through other VMs before it is suspected,
//! and a suspected VM has time to refute by raising its version. Records are
//! ordered by start number, version and health ([`Member::replaces`]), so that
//! VMs that receive the changes in different orders converge on the same view.
//!
//! Differences from SWIM:
//!
//! - The platform's list and the settings only name seeds. A VM becomes a
//!   member when its record arrives by gossip, from itself or from a member.
//! - Changes are also pushed to several peers at once, outside the probe
//!   rounds, so that the fleet learns of a leaving VM in one exchange instead
//!   of over several rounds.
//! - A VM that was paused drops its own outstanding probes instead of
//!   suspecting its peers.
//! - A report that a VM is dead is ignored if this VM heard from it a moment
//!   ago. This VM sends it the report, so that it can refute it.
//! - The records of dead members are kept, and the members are probed now and
//!   then: two sides of a network partition find each other again, and a stale
//!   record doesn't revive a dead process.

mod entry;
mod envelope;
mod message;
mod probe;
mod rng;

pub use envelope::{Envelope, Purpose};
pub use message::Budget;

pub(crate) use rng::Rng;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_store::{ListedVm, Role};
use briarshift_units::{DataCentre, Moment, Span, StartNumber, VmId};
use briarshift_wire::gossip::{Health, IndirectAck, Member, Message};

use self::entry::Entry;
use self::message::TokenBucket;
use self::probe::{Action, Probes};
use crate::{Context, Output, Record, Signal};

/// Time between two probe rounds.
pub const PROBE_INTERVAL: Span = Span::from_millis(500);
/// Time between two checks for overdue probes and suspicions.
const CHECK_INTERVAL: Span = Span::from_millis(100);
/// A longer time between two events means that this VM was paused.
const MAX_EVENT_GAP: Span = Span::from_secs(1);
/// Minimum time between two pushes of changes.
const MIN_PUSH_INTERVAL: Span = Span::from_millis(20);
/// Peers to which a push sends changes.
const PUSH_FANOUT: usize = 8;
/// Peers that are asked to probe a VM that did not answer a direct probe.
const INDIRECT_PROBERS: usize = 3;
/// Rounds between two probes of absent VMs (dead, or seeds that never answered)
/// while other VMs are present.
const ABSENT_PROBE_ROUNDS: u64 = 2;
/// Time for which the record of a dead VM is kept.
const DEAD_RETENTION: Span = Span::from_secs(86_400);

/// A VM that the settings or the platform's list name. This VM probes it, but
/// it is no member until its record arrives by gossip.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// The VM.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The address of its peer listener.
    pub address: SocketAddr,
}

/// The membership state: all known entry VMs, and the probes of them.
#[derive(Debug, Default)]
pub struct State {
    entries: BTreeMap<VmId, Entry>,
    probes: Probes,
    version: u64,
    leaving: bool,
    /// Messages that still carry this VM's own record as a change.
    own_sends_left: u32,
    /// Probe rounds since the process started.
    rounds: u64,
    probed_at: Option<Moment>,
    checked_at: Moment,
    last_event_at: Option<Moment>,
    pushed_at: Moment,
    push_pending: bool,
    update_bucket: TokenBucket,
    /// The last record that a message repeated.
    repeat_cursor: Option<VmId>,
    /// Counts changes of the result of [`Self::live`].
    epoch: u64,
}

impl State {
    /// Returns the members that take part in the fleet: alive or suspect, and
    /// not suppressed for flapping. Excludes this VM.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().filter(|entry| entry.is_live()).map(|entry| &entry.member)
    }

    /// Returns all known members, dead ones included. Excludes this VM.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().filter(|entry| entry.is_known()).map(|entry| &entry.member)
    }

    /// Returns the record of a member, `None` if no process of it is known.
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        self.entries.get(vm).filter(|entry| entry.is_known()).map(|entry| &entry.member)
    }

    /// Returns a number that grows when the result of [`Self::live`] changes,
    /// so that callers can cache what they derive from it.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns true if this VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns this VM's own record, as it is sent to peers.
    pub fn own_record(&self, ctx: &Context<'_>) -> Member {
        Member {
            vm: ctx.me.vm.clone(),
            data_centre: ctx.me.data_centre.clone(),
            address: ctx.me.address,
            start: ctx.me.start,
            version: self.version,
            health: if self.leaving { Health::Leaving } else { Health::Alive },
        }
    }

    /// Adds a seed from the settings.
    pub fn seed(&mut self, seed: Seed) {
        self.add_seed(seed);
    }

    /// Adds the entry VMs of the platform's list as seeds.
    pub fn handle_list(&mut self, ctx: &Context<'_>, rows: &[ListedVm]) {
        for row in rows.iter().filter(|row| row.role == Role::Entry && row.vm != ctx.me.vm) {
            self.add_seed(Seed {
                vm: row.vm.clone(),
                data_centre: row.data_centre.clone(),
                address: row.address,
            });
        }
    }

    /// Marks this VM as leaving, and schedules a push that tells its peers.
    pub fn leave(&mut self, out: &mut Output) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.version += 1;
        self.own_sends_left = self.sends_per_change();
        self.push_pending = true;
        out.log(Record::new("member_leave").with("version", self.version));
    }

    /// Schedules a push at the next chance, for a change in another component.
    pub fn schedule_push(&mut self) {
        self.push_pending = true;
    }

    /// Runs what is due: a probe round, timeouts, a push of changes.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.detect_pause(ctx, out);
        if self.probed_at.is_none_or(|at| PROBE_INTERVAL <= ctx.at.since(at)) {
            self.probed_at = Some(ctx.at);
            self.probe_next(ctx, out);
        }
        if CHECK_INTERVAL <= ctx.at.since(self.checked_at) {
            self.checked_at = ctx.at;
            self.check_timeouts(ctx, out);
        }
        if self.push_pending
            && MIN_PUSH_INTERVAL <= ctx.at.since(self.pushed_at)
            && self.update_bucket.refill(ctx.at)
        {
            self.push_changes(ctx, out);
        }
    }

    /// Merges a gossip message from a peer, and answers it if it is a probe.
    pub fn handle_gossip(
        &mut self,
        ctx: &Context<'_>,
        from: &VmId,
        message: &Message,
        out: &mut Output,
    ) {
        self.detect_pause(ctx, out);
        let sender = message.members.first().filter(|member| &member.vm == from);
        let Some(sender) = sender.filter(|_| *from != ctx.me.vm) else { return };
        if self.entries.get(from).is_some_and(|entry| sender.start < entry.member.start) {
            // The sender was replaced by a later start of its VM.
            return;
        }
        for member in &message.members {
            self.merge_record(ctx, from, member, out);
        }
        self.mark_heard(ctx, from, sender.start, out);
        if let Some(ack) = &message.indirect_ack {
            self.mark_heard(ctx, &ack.vm, ack.start, out);
        }
        if let Some(vm) = &message.indirect_probe {
            self.relay_probe(ctx, from, vm, out);
        }
        if message.probe {
            self.send(from, Purpose::Ack, out);
        }
    }

    fn add_seed(&mut self, seed: Seed) {
        let Seed { vm, data_centre, address } = seed;
        let unknown = Member {
            vm: vm.clone(),
            data_centre,
            address,
            start: StartNumber(0),
            version: 0,
            health: Health::Suspect,
        };
        let entry = self.entries.entry(vm).or_insert_with(|| Entry::new(unknown, Moment(0)));
        entry.is_seed = true;
        if !entry.is_known() || entry.member.health == Health::Dead {
            entry.member.address = address;
        }
    }

    /// Detects a pause of this VM. Answers may have been missed during the
    /// pause, so it drops the outstanding probes and restarts all suspicion
    /// timeouts.
    fn detect_pause(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let elapsed = self.last_event_at.map_or(Span::ZERO, |at| ctx.at.since(at));
        self.last_event_at = Some(ctx.at);
        if elapsed < MAX_EVENT_GAP {
            return;
        }
        self.probes.clear();
        for entry in self.entries.values_mut().filter(|entry| entry.suspected_at.is_some()) {
            entry.suspected_at = Some(ctx.at);
        }
        out.log(Record::new("paused").with("ms", elapsed.as_millis()));
    }

    /// Probes the next present VM and, from time to time, an absent one.
    fn probe_next(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.rounds += 1;
        let mut rng = Rng::new(ctx.entropy);
        let next = self.next_to_probe(&mut rng);
        if next.is_none() || self.rounds.is_multiple_of(ABSENT_PROBE_ROUNDS) {
            self.probe_absent(ctx, &mut rng, out);
        }
        if let Some(vm) = next {
            self.probes.add(&vm, ctx.at);
            self.send(&vm, Purpose::Probe, out);
        }
    }

    /// Returns the next present VM of the probe cycle, and begins a new cycle
    /// at the end of one. Returns `None` if no VM is present.
    fn next_to_probe(&mut self, rng: &mut Rng) -> Option<VmId> {
        for _ in 0..2 {
            while let Some(vm) = self.probes.next() {
                if self.entries.get(&vm).is_some_and(Entry::is_present) {
                    return Some(vm);
                }
            }
            let present = self.entries.values().filter(|entry| entry.is_present());
            let vms: Vec<_> = present.map(|entry| entry.member.vm.clone()).collect();
            let count = vms.len();
            self.probes.begin_cycle(rng.sample(vms, count));
        }
        None
    }

    /// Probes one random VM that is dead, or a seed that never answered.
    fn probe_absent(&self, ctx: &Context<'_>, rng: &mut Rng, out: &mut Output) {
        let is_probed =
            |entry: &&Entry| !entry.is_present() && (entry.is_seed || entry.is_gossiped(ctx.at));
        let absent = self.entries.values().filter(is_probed).map(|entry| &entry.member.vm);
        for vm in rng.sample(absent.collect(), 1) {
            self.send(vm, Purpose::Probe, out);
        }
    }

    /// Sends a message. If the receiver is not alive by its record here, the
    /// message carries that record so that the receiver can refute it.
    fn send(&self, to: &VmId, purpose: Purpose, out: &mut Output) {
        let Some(entry) = self.entries.get(to) else { return };
        let must_refute = entry.is_known() && entry.member.health != Health::Alive;
        let record = must_refute.then(|| entry.member.clone());
        out.signal(Signal::SendGossip(Envelope {
            record,
            ..Envelope::new(&entry.member, purpose)
        }));
    }

    /// Handles overdue probes and suspicions, ends the suppression of VMs, and
    /// drops old records of dead VMs.
    fn check_timeouts(&mut self, ctx: &Context<'_>, out: &mut Output) {
        for action in self.probes.expire(ctx.at) {
            match action {
                Action::ProbeIndirectly(vm) => self.request_indirect_probes(ctx, &vm, out),
                Action::Suspect(vm) => self.suspect(ctx, &vm, out),
            }
        }
        let overdue = self.entries.values().filter(|entry| entry.is_overdue(ctx.at));
        let dead: Vec<_> = overdue.map(|entry| entry.member.clone()).collect();
        for member in dead {
            self.replace_record(ctx, Member { health: Health::Dead, ..member }, "timeout", out);
        }
        for entry in self.entries.values_mut().filter(|entry| entry.suppressed) {
            entry.suppressed = entry.damper.is_suppressed(ctx.at);
            self.epoch += u64::from(!entry.suppressed);
        }
        self.entries.retain(|_, entry| {
            let gone = entry.is_known() && !entry.is_present() && !entry.is_seed;
            !gone || ctx.at.since(entry.changed_at) < DEAD_RETENTION
        });
    }

    fn request_indirect_probes(&self, ctx: &Context<'_>, vm: &VmId, out: &mut Output) {
        let others = self.live().filter(|member| &member.vm != vm).collect();
        for prober in Rng::new(ctx.entropy).sample(others, INDIRECT_PROBERS) {
            let envelope = Envelope {
                indirect_probe: Some(vm.clone()),
                ..Envelope::new(prober, Purpose::Update)
            };
            out.signal(Signal::SendGossip(envelope));
        }
    }

    /// Makes a VM suspect because it didn't answer a probe.
    fn suspect(&mut self, ctx: &Context<'_>, vm: &VmId, out: &mut Output) {
        let Some(entry) = self.entries.get_mut(vm) else { return };
        match entry.member.health {
            Health::Alive => {
                let member = Member { health: Health::Suspect, ..entry.member.clone() };
                self.replace_record(ctx, member, "no_answer", out);
            }
            Health::Suspect | Health::Leaving => {
                entry.suspected_at.get_or_insert(ctx.at);
            }
            Health::Dead => {}
        }
    }

    /// Sends changes to [`PUSH_FANOUT`] random peers.
    fn push_changes(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.push_pending = false;
        self.pushed_at = ctx.at;
        let present: Vec<_> = self.entries.values().filter(|entry| entry.is_present()).collect();
        for entry in Rng::new(ctx.entropy).sample(present, PUSH_FANOUT) {
            out.signal(Signal::SendGossip(Envelope::new(&entry.member, Purpose::Update)));
        }
    }

    /// Applies a record that a peer sent, if it replaces the one known here.
    fn merge_record(&mut self, ctx: &Context<'_>, from: &VmId, member: &Member, out: &mut Output) {
        if member.vm == ctx.me.vm {
            self.refute(ctx, member, out);
            return;
        }
        let Some(entry) = self.entries.get(&member.vm) else {
            if member.health == Health::Dead {
                // Kept so that a stale record doesn't revive the process.
                // Nothing changed for this VM, so the record is not pushed.
                self.entries.insert(member.vm.clone(), Entry::new(member.clone(), ctx.at));
                return;
            }
            let why = if member.vm == *from { "joined" } else { "told" };
            self.replace_record(ctx, member.clone(), why, out);
            return;
        };
        if !member.replaces(&entry.member) {
            return;
        }
        let same_start = member.start == entry.member.start;
        if member.health == Health::Dead && same_start && entry.heard_recently(ctx.at) {
            let record = Some(member.clone());
            let envelope = Envelope { record, ..Envelope::new(&entry.member, Purpose::Update) };
            out.signal(Signal::SendGossip(envelope));
            return;
        }
        let why = match (member.vm == *from, entry.is_known() && !same_start) {
            (_, true) => "restarted",
            (true, _) => "said_so",
            (false, _) => "told",
        };
        self.replace_record(ctx, member.clone(), why, out);
    }

    /// Refutes a record of this VM that would replace its own, by raising the
    /// version above it.
    fn refute(&mut self, ctx: &Context<'_>, member: &Member, out: &mut Output) {
        if !member.replaces(&self.own_record(ctx)) {
            return;
        }
        if ctx.me.start < member.start {
            let line = Record::new("member_twice").with("start", member.start);
            out.log(line.with("remedy", "give each VM a unique id"));
            return;
        }
        self.version = member.version + 1;
        self.own_sends_left = self.sends_per_change();
        self.push_pending = true;
        let line = Record::new("member_refute").with("version", self.version);
        out.log(line.with("health", format_args!("{:?}", member.health)));
    }

    /// Records that a VM answered, to this VM or to a peer that probed it for
    /// this VM.
    fn mark_heard(&mut self, ctx: &Context<'_>, vm: &VmId, start: StartNumber, out: &mut Output) {
        let Some(entry) = self.entries.get_mut(vm) else { return };
        if entry.member.start != start {
            return;
        }
        entry.heard_at = Some(ctx.at);
        if entry.member.health == Health::Leaving {
            entry.suspected_at = None;
        }
        for requester in self.probes.complete(vm, ctx.at) {
            let Some(requester) = self.entries.get(&requester) else { continue };
            let indirect_ack = Some(IndirectAck { vm: vm.clone(), start });
            let envelope =
                Envelope { indirect_ack, ..Envelope::new(&requester.member, Purpose::Update) };
            out.signal(Signal::SendGossip(envelope));
        }
        let health = self.entries.get(vm).map(|entry| entry.member.health);
        if matches!(health, Some(Health::Suspect | Health::Dead)) {
            self.send(vm, Purpose::Update, out);
        }
    }

    /// Probes a VM on behalf of a peer.
    fn relay_probe(&mut self, ctx: &Context<'_>, requester: &VmId, vm: &VmId, out: &mut Output) {
        if self.entries.contains_key(vm) && self.probes.add_request(vm, requester, ctx.at) {
            self.send(vm, Purpose::Probe, out);
        }
    }

    /// Replaces a member's record, and logs and pushes it if the start number
    /// or the health changed.
    fn replace_record(
        &mut self,
        ctx: &Context<'_>,
        member: Member,
        why: &'static str,
        out: &mut Output,
    ) {
        let sends = self.sends_per_change();
        let vm = member.vm.clone();
        let entry = self.entries.entry(vm).or_insert_with(|| {
            let unknown = Member { start: StartNumber(0), ..member.clone() };
            Entry::new(unknown, ctx.at)
        });
        let (was_live, old) = (entry.is_live(), (entry.member.start, entry.member.health));
        entry.replace_record(member, ctx.at);
        let changed = old != (entry.member.start, entry.member.health);
        self.epoch += u64::from(was_live != entry.is_live());
        if !changed {
            return;
        }
        entry.sends_left = sends;
        self.push_pending = true;
        let member = &entry.member;
        let line = Record::new("member").with("vm", &member.vm).with("start", member.start);
        let line = line.with("health", format_args!("{:?}", member.health)).with("why", why);
        out.log(line.with("version", member.version).with("held", entry.suppressed));
    }

    /// Returns the number of messages that carry a change before it counts as
    /// spread. It grows with the logarithm of the fleet's size, as in SWIM.
    fn sends_per_change(&self) -> u32 {
        PUSH_FANOUT as u32 + 2 * (self.entries.len() as u32 + 2).ilog2()
    }
}
