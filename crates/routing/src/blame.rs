//! Attribution of engine crashes to the prompt part that causes them.
//!
//! The load pattern that it answers: prompts that share one part crash each engine
//! that begins to answer them, whatever else they hold. No two are alike, and sound
//! prompts share their other parts.
//!
//! A crash interrupts all requests of an engine. Only prompts whose answers had not
//! begun are suspected, and an answer that begins on any engine proves that the parts
//! of its prompt are sound. A part is blocked after crashes of several engines at
//! different times with no such answer in between. Engines that crash at the same time
//! do so for another reason, such as a loss of power.
//!
//! A crash has one cause. A blocked part explains all of its crashes, which no longer
//! count against other parts. Of two parts with nearly the same crashes, the deeper one
//! is blocked first: fewer prompts contain it, and if it is not the cause, more crashes
//! will tell.

use std::collections::{BTreeSet, HashMap};

use briarshift_units::{Moment, PartId, Span};

/// Number of engines that must have crashed before a part is blocked. Two crashes could
/// be a coincidence.
pub const MIN_CRASHES: usize = 3;
/// Time after its last crash for which a part is blocked or suspected.
pub const BLOCK_TIME: Span = Span::from_secs(120);
/// Crashes within this time count as one.
const SAME_TIME: Span = Span::from_millis(500);
/// Reports of one crash by several VMs arrive within this time.
const REPORT_TIME: Span = Span::from_secs(3);
/// Lead in crashes that a part needs over deeper parts of the same prompts.
const MIN_LEAD: usize = 2;
/// After [`BLOCK_TIME`], a single crash blocks a part again within this time.
const PROBATION: Span = Span::from_secs(3_600);
/// Maximum number of suspected parts.
const MAX_SUSPECTS: usize = 4_096;

/// Suspected and blocked parts. `T` identifies an engine.
#[derive(Debug)]
pub struct Ledger<T> {
    suspects: HashMap<PartId, Suspect<T>>,
}

#[derive(Debug)]
struct Suspect<T> {
    /// Engines that crashed, each with the time.
    crashes: Vec<(T, Moment)>,
    /// Parts that followed it in prompts of crashed engines.
    deeper: BTreeSet<PartId>,
    blocked_at: Option<Moment>,
    last_crash_at: Moment,
}

impl<T: Copy + Eq> Suspect<T> {
    fn new(now: Moment) -> Self {
        Self { crashes: Vec::new(), deeper: BTreeSet::new(), blocked_at: None, last_crash_at: now }
    }

    /// Adds a crash, unless it is known. An engine may keep its id when it restarts, and
    /// crash again.
    fn add(&mut self, engine: T, now: Moment) {
        self.last_crash_at = now;
        if !self.explains(engine, now) {
            self.crashes.push((engine, now));
        }
    }

    fn is_blocked(&self, now: Moment) -> bool {
        self.blocked_at.is_some_and(|at| now.since(at) < BLOCK_TIME)
    }

    /// Returns true if a crash of the engine that is reported now is one that counts
    /// against the suspect already.
    fn explains(&self, engine: T, now: Moment) -> bool {
        let is_recent = |at: Moment| now.since(at) < REPORT_TIME;
        self.crashes.iter().any(|(known, at)| *known == engine && is_recent(*at))
    }

    /// Returns how many of its crashes happened at different times.
    fn separate_crashes(&self) -> usize {
        let mut count = 0;
        let mut last: Option<Moment> = None;
        for (_, at) in &self.crashes {
            if last.is_none_or(|last| SAME_TIME <= at.since(last)) {
                last = Some(*at);
                count += 1;
            }
        }
        count
    }
}

impl<T> Default for Ledger<T> {
    fn default() -> Self {
        Self { suspects: HashMap::new() }
    }
}

impl<T: Copy + Eq> Ledger<T> {
    /// Records that an engine crashed before its answer to a prompt began. `parts` are
    /// the prompt's parts that other prompts may share, in order. Returns the part that
    /// is blocked from now on, if there is one.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::blame::Ledger;
    /// use briarshift_units::{Moment, PartId};
    /// let mut ledger = Ledger::default();
    /// let prompt = [PartId(1), PartId(2)];
    /// assert_eq!(ledger.record_crash(&prompt, "e-1", Moment(0)), None);
    /// assert_eq!(ledger.record_crash(&prompt, "e-2", Moment(1_000_000)), None);
    /// ledger.record_answer(&[PartId(1), PartId(3)]);
    /// assert_eq!(ledger.record_crash(&prompt, "e-3", Moment(2_000_000)), Some(PartId(2)));
    /// assert_eq!(ledger.blocked(&prompt, Moment(3_000_000)), Some(PartId(2)));
    /// assert_eq!(ledger.blocked(&[PartId(1)], Moment(3_000_000)), None);
    /// ```
    pub fn record_crash(&mut self, parts: &[PartId], engine: T, now: Moment) -> Option<PartId> {
        if let Some(cause) = self.blocked(parts, now) {
            self.suspects.get_mut(&cause)?.add(engine, now);
            self.exonerate_others(cause);
            return None;
        }
        let is_explained =
            |suspect: &Suspect<T>| suspect.is_blocked(now) && suspect.explains(engine, now);
        if self.suspects.values().any(is_explained) {
            return None;
        }
        for (index, part) in parts.iter().enumerate() {
            self.make_room(*part);
            let suspect = self.suspects.entry(*part).or_insert_with(|| Suspect::new(now));
            suspect.add(engine, now);
            // A prompt may contain a part twice.
            suspect.deeper.extend(parts[index + 1..].iter().filter(|deeper| *deeper != part));
        }
        let cause = parts.iter().rev().copied().find(|part| self.is_cause(*part))?;
        self.suspects.get_mut(&cause)?.blocked_at = Some(now);
        self.exonerate_others(cause);
        Some(cause)
    }

    /// Records that an answer to a prompt with these parts has begun. Returns the parts
    /// that were suspected until now.
    pub fn record_answer(&mut self, parts: &[PartId]) -> Vec<PartId> {
        parts.iter().copied().filter(|part| self.suspects.remove(part).is_some()).collect()
    }

    /// Blocks a part that another VM has blocked.
    pub fn block(&mut self, part: PartId, now: Moment) {
        self.make_room(part);
        let suspect = self.suspects.entry(part).or_insert_with(|| Suspect::new(now));
        if !suspect.is_blocked(now) {
            (suspect.blocked_at, suspect.last_crash_at) = (Some(now), now);
        }
    }

    /// Returns a blocked part among these.
    pub fn blocked(&self, parts: &[PartId], now: Moment) -> Option<PartId> {
        let is_blocked =
            |part: &PartId| self.suspects.get(part).is_some_and(|it| it.is_blocked(now));
        parts.iter().copied().find(is_blocked)
    }

    /// Returns all blocked parts, in order.
    pub fn all_blocked(&self, now: Moment) -> BTreeSet<PartId> {
        let blocked = self.suspects.iter().filter(|(_, suspect)| suspect.is_blocked(now));
        blocked.map(|(part, _)| *part).collect()
    }

    /// Returns the number of crashes that count against a part.
    pub fn crashes(&self, part: PartId) -> usize {
        self.suspects.get(&part).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Forgets parts whose last crash is long ago.
    pub fn prune(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| {
            let time = if suspect.blocked_at.is_some() { PROBATION } else { BLOCK_TIME };
            now.since(suspect.last_crash_at) < time
        });
    }

    /// Returns true if a part is the probable cause of its crashes.
    fn is_cause(&self, part: PartId) -> bool {
        let Some(suspect) = self.suspects.get(&part) else { return false };
        // A part that is no longer blocked has crashed an engine again.
        if suspect.blocked_at.is_some() {
            return true;
        }
        let crashes = suspect.crashes.len();
        let has_lead = |deeper: &PartId| self.crashes(*deeper) + MIN_LEAD <= crashes;
        MIN_CRASHES <= crashes
            && MIN_CRASHES <= suspect.separate_crashes()
            && suspect.deeper.iter().all(has_lead)
    }

    /// Removes the crashes of a blocked part from all other parts.
    fn exonerate_others(&mut self, cause: PartId) {
        let Some(suspect) = self.suspects.get(&cause) else { return };
        let explained: Vec<_> = suspect.crashes.iter().map(|(engine, _)| *engine).collect();
        self.suspects.retain(|part, suspect| {
            if *part == cause || suspect.blocked_at.is_some() {
                return true;
            }
            suspect.crashes.retain(|(engine, _)| !explained.contains(engine));
            !suspect.crashes.is_empty()
        });
    }

    /// Makes room for one more suspect, by forgetting the one whose last crash is the
    /// longest ago among those that are not blocked.
    fn make_room(&mut self, part: PartId) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&part) {
            return;
        }
        let is_open = |suspect: &Suspect<T>| suspect.blocked_at.is_none();
        let open = self.suspects.iter().filter(|(_, suspect)| is_open(suspect));
        let oldest = open.min_by_key(|(part, suspect)| (suspect.last_crash_at, **part));
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }
}
