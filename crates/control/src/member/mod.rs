//! Entry VMs of the fleet as this VM believes them to be.
//!
//! Membership follows SWIM: each round a VM probes one other, in a shuffled
//! cycle, so that the work a VM does does not grow with the fleet. A VM that
//! does not answer is probed through others before it is suspected, and a
//! suspected one has time to refute by raising its version. Records are ordered
//! by start number, version and health ([`Member::replaces`]), so that VMs that
//! heard of changes in different orders end up with the same view.
//!
//! What differs from the textbook:
//!
//! - The platform's list and the settings only propose VMs. One counts as a
//!   member once it, or a member, has said so.
//! - Changes are pushed to several peers at once, beside the rounds, so that a
//!   leaving VM is known in one exchange and not after several rounds.
//! - A VM that was paused distrusts its own open probes, not its peers.
//! - Who says that a VM is gone, while it was heard a moment ago, is not
//!   believed; the VM is told, and refutes.
//! - Dead members stay known, and are probed now and then, so that two sides of
//!   a cut find each other again and a stale record brings no dead process back.

mod digest;
mod entry;
mod probe;
mod random;
mod round;

pub use digest::Budget;
pub use round::{Envelope, Purpose};

pub(crate) use random::Random;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use briarshift_store::{ListedVm, Role};
use briarshift_units::{DataCentre, Moment, Span, StartNumber, VmId};
use briarshift_wire::gossip::{Health, IndirectAck, Member, Message};

use self::digest::Allowance;
use self::entry::Entry;
use self::probe::{Late, Probes};
use crate::{Context, Output, Record, Signal};

/// Time between two rounds.
pub const PROBE_INTERVAL: Span = Span::from_millis(500);
/// Time between two looks at what is overdue.
const SCAN: Span = Span::from_millis(100);
/// Time without an event after which this VM takes itself for paused.
const PAUSE: Span = Span::from_secs(1);
/// Least time between two pushes of news.
const PUSH_GAP: Span = Span::from_millis(20);
/// Peers that news is pushed to at once.
const FANOUT: usize = 8;
/// Peers that are asked to probe a VM that did not answer.
const HELPERS: usize = 3;
/// Rounds between two probes of an absent VM, while others are present.
const ABSENT_ROUNDS: u64 = 2;
/// How long a dead VM is remembered.
const FORGET: Span = Span::from_secs(86_400);

/// A peer from the settings, to join through.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// The VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Its peer listener.
    pub address: SocketAddr,
}

/// All known entry VMs.
#[derive(Debug, Default)]
pub struct State {
    entries: BTreeMap<VmId, Entry>,
    probes: Probes,
    version: u64,
    leaving: bool,
    own_news: u32,
    rounds: u64,
    round_at: Option<Moment>,
    scan_at: Moment,
    seen_at: Option<Moment>,
    push_at: Moment,
    hot: bool,
    allowance: Allowance,
    cursor: Option<VmId>,
    epoch: u64,
}

impl State {
    /// Members that take part: alive or suspect, this VM left out.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().filter(|entry| entry.is_live()).map(|entry| &entry.member)
    }

    /// All members that were ever heard of, dead ones included.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().filter(|entry| entry.is_known()).map(|entry| &entry.member)
    }

    /// One member.
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        self.entries.get(vm).filter(|entry| entry.is_known()).map(|entry| &entry.member)
    }

    /// Counts changes of [`Self::live`], so that what follows from it need not
    /// be worked out again.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether this VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// This VM as its peers should know it.
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

    /// Proposes a peer from the settings.
    pub fn seed(&mut self, seed: Seed) {
        self.propose(seed);
    }

    /// Takes proposals from the platform's list.
    pub fn handle_list(&mut self, ctx: &Context<'_>, rows: &[ListedVm]) {
        for row in rows.iter().filter(|row| row.role == Role::Entry && row.vm != ctx.me.vm) {
            self.propose(Seed {
                vm: row.vm.clone(),
                data_centre: row.data_centre.clone(),
                address: row.address,
            });
        }
    }

    /// This VM takes no new work from now on, and tells its peers.
    pub fn leave(&mut self, out: &mut Output) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.version += 1;
        self.own_news = self.transmissions();
        self.hot = true;
        out.log(Record::new("member_leave").with("version", self.version));
    }

    /// Something outside membership is worth telling at once.
    pub fn schedule_push(&mut self) {
        self.hot = true;
    }

    /// Periodic work.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.wake(ctx, out);
        if self.round_at.is_none_or(|at| PROBE_INTERVAL <= ctx.at.since(at)) {
            self.round_at = Some(ctx.at);
            self.round(ctx, out);
        }
        if SCAN <= ctx.at.since(self.scan_at) {
            self.scan_at = ctx.at;
            self.scan(ctx, out);
        }
        if self.hot && PUSH_GAP <= ctx.at.since(self.push_at) && self.allowance.is_left(ctx.at) {
            self.push(ctx, out);
        }
    }

    /// A round of gossip arrived.
    pub fn handle_gossip(
        &mut self,
        ctx: &Context<'_>,
        from: &VmId,
        message: &Message,
        out: &mut Output,
    ) {
        self.wake(ctx, out);
        let sender = message.members.first().filter(|member| &member.vm == from);
        let Some(sender) = sender.filter(|_| *from != ctx.me.vm) else { return };
        if self.entries.get(from).is_some_and(|entry| sender.start < entry.member.start) {
            // A process that a later start of its VM has replaced.
            return;
        }
        for member in &message.members {
            self.learn(ctx, from, member, out);
        }
        self.hear(ctx, from, sender.start, out);
        if let Some(vouch) = &message.indirect_ack {
            self.hear(ctx, &vouch.vm, vouch.start, out);
        }
        if let Some(vm) = &message.indirect_probe {
            self.relay(ctx, from, vm, out);
        }
        if message.probe {
            self.send(from, Purpose::Ack, out);
        }
    }

    fn propose(&mut self, seed: Seed) {
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
        entry.proposed = true;
        if !entry.is_known() || entry.member.health == Health::Dead {
            entry.member.address = address;
        }
    }

    /// Notices a pause of this VM: its open probes then prove nothing.
    fn wake(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let paused = self.seen_at.map_or(Span::ZERO, |at| ctx.at.since(at));
        self.seen_at = Some(ctx.at);
        if paused < PAUSE {
            return;
        }
        self.probes.clear();
        for entry in self.entries.values_mut().filter(|entry| entry.suspected_at.is_some()) {
            entry.suspected_at = Some(ctx.at);
        }
        out.log(Record::new("paused").with("ms", paused.as_millis()));
    }

    fn round(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.rounds += 1;
        let mut random = Random::new(ctx.entropy);
        let next = self.next_present(&mut random);
        if next.is_none() || self.rounds.is_multiple_of(ABSENT_ROUNDS) {
            self.probe_absent(ctx, &mut random, out);
        }
        if let Some(vm) = next {
            self.probes.sent(&vm, ctx.at);
            self.send(&vm, Purpose::Probe, out);
        }
    }

    fn next_present(&mut self, random: &mut Random) -> Option<VmId> {
        for _ in 0..2 {
            while let Some(vm) = self.probes.next() {
                if self.entries.get(&vm).is_some_and(Entry::is_present) {
                    return Some(vm);
                }
            }
            let present = self.entries.values().filter(|entry| entry.is_present());
            let vms: Vec<_> = present.map(|entry| entry.member.vm.clone()).collect();
            let count = vms.len();
            self.probes.begin(random.pick(vms, count));
        }
        None
    }

    fn probe_absent(&self, ctx: &Context<'_>, random: &mut Random, out: &mut Output) {
        let worth = |entry: &&Entry| {
            !entry.is_present() && (entry.proposed || entry.is_worth_telling(ctx.at))
        };
        let absent = self.entries.values().filter(worth).map(|entry| &entry.member.vm);
        for vm in random.pick(absent.collect(), 1) {
            self.send(vm, Purpose::Probe, out);
        }
    }

    /// Sends a message, with the record of the receiver if it should refute it.
    fn send(&self, to: &VmId, purpose: Purpose, out: &mut Output) {
        let Some(entry) = self.entries.get(to) else { return };
        let doubted = entry.is_known() && entry.member.health != Health::Alive;
        let tell = doubted.then(|| entry.member.clone());
        out.signal(Signal::SendGossip(Envelope { tell, ..Envelope::new(&entry.member, purpose) }));
    }

    fn scan(&mut self, ctx: &Context<'_>, out: &mut Output) {
        for late in self.probes.late(ctx.at) {
            match late {
                Late::Relay(vm) => self.ask_helpers(ctx, &vm, out),
                Late::Suspect(vm) => self.suspect(ctx, &vm, out),
            }
        }
        let overdue = self.entries.values().filter(|entry| entry.is_overdue(ctx.at));
        let dead: Vec<_> = overdue.map(|entry| entry.member.clone()).collect();
        for member in dead {
            self.set(ctx, Member { health: Health::Dead, ..member }, "timeout", out);
        }
        for entry in self.entries.values_mut().filter(|entry| entry.held) {
            entry.held = entry.damper.is_suppressed(ctx.at);
            self.epoch += u64::from(!entry.held);
        }
        self.entries.retain(|_, entry| {
            let gone = entry.is_known() && !entry.is_present() && !entry.proposed;
            !gone || ctx.at.since(entry.changed_at) < FORGET
        });
    }

    fn ask_helpers(&self, ctx: &Context<'_>, vm: &VmId, out: &mut Output) {
        let others = self.live().filter(|member| &member.vm != vm).collect();
        for helper in Random::new(ctx.entropy).pick(others, HELPERS) {
            let round =
                Envelope { relay: Some(vm.clone()), ..Envelope::new(helper, Purpose::Update) };
            out.signal(Signal::SendGossip(round));
        }
    }

    fn suspect(&mut self, ctx: &Context<'_>, vm: &VmId, out: &mut Output) {
        let Some(entry) = self.entries.get_mut(vm) else { return };
        match entry.member.health {
            Health::Alive => {
                let member = Member { health: Health::Suspect, ..entry.member.clone() };
                self.set(ctx, member, "no_answer", out);
            }
            Health::Suspect | Health::Leaving => {
                entry.suspected_at.get_or_insert(ctx.at);
            }
            Health::Dead => {}
        }
    }

    fn push(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.hot = false;
        self.push_at = ctx.at;
        let present: Vec<_> = self.entries.values().filter(|entry| entry.is_present()).collect();
        for entry in Random::new(ctx.entropy).pick(present, FANOUT) {
            out.signal(Signal::SendGossip(Envelope::new(&entry.member, Purpose::Update)));
        }
    }

    fn learn(&mut self, ctx: &Context<'_>, from: &VmId, member: &Member, out: &mut Output) {
        if member.vm == ctx.me.vm {
            self.refute(ctx, member, out);
            return;
        }
        let Some(entry) = self.entries.get(&member.vm) else {
            if member.health == Health::Dead {
                // Kept so that no stale record brings it back; no news here.
                self.entries.insert(member.vm.clone(), Entry::new(member.clone(), ctx.at));
                return;
            }
            let why = if member.vm == *from { "joined" } else { "told" };
            self.set(ctx, member.clone(), why, out);
            return;
        };
        if !member.replaces(&entry.member) {
            return;
        }
        let same_start = member.start == entry.member.start;
        if member.health == Health::Dead && same_start && entry.heard_recently(ctx.at) {
            let tell = Some(member.clone());
            let round = Envelope { tell, ..Envelope::new(&entry.member, Purpose::Update) };
            out.signal(Signal::SendGossip(round));
            return;
        }
        let why = match (member.vm == *from, entry.is_known() && !same_start) {
            (_, true) => "restarted",
            (true, _) => "said_so",
            (false, _) => "told",
        };
        self.set(ctx, member.clone(), why, out);
    }

    /// Answers a record of this VM that is worse than the truth.
    fn refute(&mut self, ctx: &Context<'_>, member: &Member, out: &mut Output) {
        if !member.replaces(&self.own_record(ctx)) {
            return;
        }
        if ctx.me.start < member.start {
            let line = Record::new("member_twice").with("start", member.start);
            out.log(line.with("remedy", "give each VM an id of its own"));
            return;
        }
        self.version = member.version + 1;
        self.own_news = self.transmissions();
        self.hot = true;
        let line = Record::new("member_refute").with("version", self.version);
        out.log(line.with("health", format_args!("{:?}", member.health)));
    }

    /// A VM answered, here or to one that vouches for it.
    fn hear(&mut self, ctx: &Context<'_>, vm: &VmId, start: StartNumber, out: &mut Output) {
        let Some(entry) = self.entries.get_mut(vm) else { return };
        if entry.member.start != start {
            return;
        }
        entry.heard_at = Some(ctx.at);
        if entry.member.health == Health::Leaving {
            entry.suspected_at = None;
        }
        for asker in self.probes.heard(vm, ctx.at) {
            let Some(asker) = self.entries.get(&asker) else { continue };
            let vouch = Some(IndirectAck { vm: vm.clone(), start });
            let round = Envelope { vouch, ..Envelope::new(&asker.member, Purpose::Update) };
            out.signal(Signal::SendGossip(round));
        }
        let doubted = self.entries.get(vm).map(|entry| entry.member.health);
        if matches!(doubted, Some(Health::Suspect | Health::Dead)) {
            self.send(vm, Purpose::Update, out);
        }
    }

    fn relay(&mut self, ctx: &Context<'_>, asker: &VmId, vm: &VmId, out: &mut Output) {
        if self.entries.contains_key(vm) && self.probes.relay(vm, asker, ctx.at) {
            self.send(vm, Purpose::Probe, out);
        }
    }

    /// Takes up a record that is news.
    fn set(&mut self, ctx: &Context<'_>, member: Member, why: &'static str, out: &mut Output) {
        let news = self.transmissions();
        let vm = member.vm.clone();
        let entry = self.entries.entry(vm).or_insert_with(|| {
            let unknown = Member { start: StartNumber(0), ..member.clone() };
            Entry::new(unknown, ctx.at)
        });
        let (was_live, old) = (entry.is_live(), (entry.member.start, entry.member.health));
        entry.set(member, ctx.at);
        let changed = old != (entry.member.start, entry.member.health);
        self.epoch += u64::from(was_live != entry.is_live());
        if !changed {
            return;
        }
        entry.news = news;
        self.hot = true;
        let member = &entry.member;
        let line = Record::new("member").with("vm", &member.vm).with("start", member.start);
        let line = line.with("health", format_args!("{:?}", member.health)).with("why", why);
        out.log(line.with("version", member.version).with("held", entry.held));
    }

    /// How often a change is told before it is taken for known.
    fn transmissions(&self) -> u32 {
        FANOUT as u32 + 2 * (self.entries.len() as u32 + 2).ilog2()
    }
}
