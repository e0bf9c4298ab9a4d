//! Attribution of engine crashes to the prompt part that causes them.
//!
//! The load pattern that it answers: prompts that share one part crash each engine
//! that begins to answer them, whatever else they hold. No two are alike, and sound
//! prompts share their other parts.
//!
//! A crash interrupts all requests of an engine. Only prompts whose answers had not
//! begun are suspected, and an answer that begins on any engine proves that the parts
//! of its prompt are sound. A prompt is blocked after crashes of several engines at
//! different times with no such answer in between. Engines that crash at the same time
//! do so for another reason, such as a loss of power.
//!
//! Often several parts of a prompt were under the same crashes, and one of them may be
//! sound: a caller's document, behind instructions that crash engines. So what is blocked
//! is the set of all parts that explain the same crashes nearly as well, and only prompts
//! that contain all of them are refused. A prompt with some of them runs, and shows more:
//! if its answer begins, its parts leave the set; if its engine crashes, the parts that it
//! lacks explain fewer crashes than the others. Either way the set shrinks until only the
//! cause is left, and sound prompts are served in the meantime.
//!
//! A crash has one cause. A blocked set explains all of its crashes, which no longer
//! count against other parts.

use std::collections::HashMap;

use briarshift_units::{Moment, PartId, PartSet, Span};

/// Number of engines that must have crashed before a prompt is blocked. Two crashes could
/// be a coincidence.
pub const MIN_CRASHES: usize = 3;
/// Time after its last crash for which a set is blocked or a part suspected.
pub const BLOCK_TIME: Span = Span::from_secs(120);
/// Crashes within this time count as one.
const SAME_TIME: Span = Span::from_millis(500);
/// Reports of one crash by several VMs arrive within this time.
const REPORT_TIME: Span = Span::from_secs(3);
/// Lead in crashes by which a part excludes another one as their cause. The report of one
/// crash may be late or lost.
const MIN_LEAD: usize = 2;
/// Number of crashes after which the parts of one prompt are blocked even if parts of other
/// prompts were under the same crashes.
const CERTAIN_CRASHES: usize = 5;
/// After [`BLOCK_TIME`], a single crash blocks a set again within this time.
const PROBATION: Span = Span::from_secs(3_600);
/// Maximum number of suspected parts.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of blocked sets.
const MAX_BLOCKS: usize = 1_024;

/// Suspected parts and blocked sets of parts. `T` identifies an engine.
#[derive(Debug)]
pub struct Ledger<T> {
    suspects: HashMap<PartId, Suspect<T>>,
    blocks: Vec<Block<T>>,
}

/// Crashes of engines, each with the time at which it was reported first.
#[derive(Debug, Clone)]
struct Crashes<T>(Vec<(T, Moment)>);

#[derive(Debug)]
struct Suspect<T> {
    crashes: Crashes<T>,
    last_crash_at: Moment,
}

/// Parts one of which crashes engines. Prompts that contain all of them are refused.
#[derive(Debug)]
struct Block<T> {
    parts: PartSet,
    crashes: Crashes<T>,
    blocked_at: Moment,
    last_crash_at: Moment,
}

impl<T: Copy + Eq> Crashes<T> {
    /// Adds a crash, unless it is known. An engine may keep its id when it restarts, and
    /// crash again.
    fn add(&mut self, engine: T, now: Moment) {
        if !self.contains(engine, now) {
            self.0.push((engine, now));
        }
    }

    /// Returns true if a crash that is reported at a time is one of these.
    fn contains(&self, engine: T, at: Moment) -> bool {
        let is_same = |known: Moment| at.since(known).max(known.since(at)) < REPORT_TIME;
        self.0.iter().any(|(known, known_at)| *known == engine && is_same(*known_at))
    }

    /// Returns how many of these crashes are also among others.
    fn shared(&self, others: &Self) -> usize {
        self.0.iter().filter(|(engine, at)| others.contains(*engine, *at)).count()
    }

    /// Returns how many of these happened at different times.
    fn separate(&self) -> usize {
        let mut count = 0;
        let mut last: Option<Moment> = None;
        for (_, at) in &self.0 {
            if last.is_none_or(|last| SAME_TIME <= at.since(last)) {
                last = Some(*at);
                count += 1;
            }
        }
        count
    }

    fn len(&self) -> usize {
        self.0.len()
    }
}

impl<T: Copy + Eq> Block<T> {
    fn is_active(&self, now: Moment) -> bool {
        now.since(self.blocked_at) < BLOCK_TIME
    }
}

impl<T> Default for Ledger<T> {
    fn default() -> Self {
        Self { suspects: HashMap::new(), blocks: Vec::new() }
    }
}

impl<T: Copy + Eq> Ledger<T> {
    /// Records that an engine crashed before its answer to a prompt began. `parts` are
    /// the prompt's parts that other prompts may share, in order. Returns the parts that
    /// are blocked together from now on, if there are any.
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
    /// let blocked = ledger.record_crash(&prompt, "e-3", Moment(2_000_000));
    /// assert_eq!(blocked, Some(prompt.into_iter().collect()));
    /// // Only one of the two is the cause. A prompt with the other one shows which.
    /// let now = Moment(3_000_000);
    /// assert!(ledger.blocked(&prompt, now).is_some());
    /// assert!(ledger.blocked(&[PartId(1), PartId(3)], now).is_none());
    /// ledger.record_answer(&[PartId(1), PartId(3)]);
    /// assert!(ledger.blocked(&[PartId(2)], now).is_some());
    /// ```
    pub fn record_crash(&mut self, parts: &[PartId], engine: T, now: Moment) -> Option<PartSet> {
        if let Some(index) = self.covering(parts, now) {
            self.extend_block(index, engine, now);
            return None;
        }
        let explains =
            |block: &Block<T>| block.is_active(now) && block.crashes.contains(engine, now);
        if self.blocks.iter().any(explains) {
            return None;
        }
        // A set that is no longer blocked has crashed an engine again.
        if let Some(block) = self.blocks.iter_mut().find(|block| block.parts.is_within(parts)) {
            (block.blocked_at, block.last_crash_at) = (now, now);
            block.crashes.add(engine, now);
            return Some(block.parts.clone());
        }
        for part in parts {
            self.make_room(*part);
            let new = Suspect { crashes: Crashes(Vec::new()), last_crash_at: now };
            let suspect = self.suspects.entry(*part).or_insert(new);
            suspect.last_crash_at = now;
            suspect.crashes.add(engine, now);
        }
        let (cause, set) = parts.iter().rev().find_map(|part| self.convict(*part, parts, now))?;
        self.add_block(cause, set.clone(), now);
        Some(set)
    }

    /// Records that an answer to a prompt with these parts has begun. Returns the parts
    /// that were suspected until now.
    pub fn record_answer(&mut self, parts: &[PartId]) -> Vec<PartId> {
        let mut cleared = Vec::new();
        for &part in parts {
            let mut was_suspected = self.suspects.remove(&part).is_some();
            for block in &mut self.blocks {
                was_suspected |= block.parts.remove(part);
            }
            if was_suspected {
                cleared.push(part);
            }
        }
        self.blocks.retain(|block| !block.parts.is_empty());
        cleared
    }

    /// Blocks parts that another VM has blocked.
    pub fn block(&mut self, parts: PartSet, now: Moment) {
        let covers = |block: &Block<T>| block.is_active(now) && block.parts.is_subset(&parts);
        if parts.is_empty() || self.blocks.iter().any(covers) {
            return;
        }
        let crashes = Crashes(Vec::new());
        self.insert_block(Block { parts, crashes, blocked_at: now, last_crash_at: now });
    }

    /// Returns a blocked set whose parts are all among these.
    pub fn blocked(&self, parts: &[PartId], now: Moment) -> Option<&PartSet> {
        self.covering(parts, now).map(|index| &self.blocks[index].parts)
    }

    /// Returns all blocked sets.
    pub fn all_blocked(&self, now: Moment) -> impl Iterator<Item = &PartSet> {
        self.blocks.iter().filter(move |block| block.is_active(now)).map(|block| &block.parts)
    }

    /// Returns the number of crashes that count against a part.
    pub fn crashes(&self, part: PartId) -> usize {
        self.suspects.get(&part).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Returns true if engines crashed under prompts with a part, and no answer to one has
    /// begun since.
    pub fn is_suspect(&self, part: PartId) -> bool {
        self.suspects.contains_key(&part)
            || self.blocks.iter().any(|block| block.parts.contains(part))
    }

    /// Forgets parts and sets whose last crash is long ago.
    pub fn prune(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| now.since(suspect.last_crash_at) < BLOCK_TIME);
        self.blocks.retain(|block| now.since(block.last_crash_at) < PROBATION);
    }

    /// Returns the index of an active block of a prompt with these parts.
    fn covering(&self, parts: &[PartId], now: Moment) -> Option<usize> {
        self.blocks.iter().position(|block| block.is_active(now) && block.parts.is_within(parts))
    }

    /// Records a crash under a prompt that was sent before it was blocked.
    fn extend_block(&mut self, index: usize, engine: T, now: Moment) {
        let block = &mut self.blocks[index];
        block.last_crash_at = now;
        block.crashes.add(engine, now);
        for part in block.parts.iter() {
            if let Some(suspect) = self.suspects.get_mut(&part) {
                suspect.last_crash_at = now;
                suspect.crashes.add(engine, now);
            }
        }
        exonerate_others(&mut self.suspects, &self.blocks[index]);
    }

    /// Returns the parts to block, with the one whose crashes show it, if a part of a
    /// crashed prompt or one that explains the same crashes must be the cause.
    fn convict(&self, part: PartId, prompt: &[PartId], now: Moment) -> Option<(PartId, PartSet)> {
        let crashes = &self.suspects.get(&part)?.crashes;
        if crashes.len() < MIN_CRASHES || crashes.separate() < MIN_CRASHES {
            return None;
        }
        let explains =
            |suspect: &Suspect<T>| crashes.len() < crashes.shared(&suspect.crashes) + MIN_LEAD;
        let candidates = self.suspects.iter().filter(|(_, suspect)| explains(suspect));
        let candidates: PartSet = candidates.map(|(candidate, _)| *candidate).collect();
        if candidates.is_within(prompt) {
            return Some((part, candidates));
        }
        // The cause may be in another prompt that the same engines ran, and that may even be
        // refused already.
        let is_explained = self.all_blocked(now).any(|blocked| blocked.is_subset(&candidates));
        if crashes.len() < CERTAIN_CRASHES || is_explained {
            return None;
        }
        Some((part, candidates.iter().filter(|it| prompt.contains(it)).collect()))
    }

    /// Blocks a set for the crashes of one of its parts.
    fn add_block(&mut self, cause: PartId, parts: PartSet, now: Moment) {
        let Some(suspect) = self.suspects.get(&cause) else { return };
        let crashes = suspect.crashes.clone();
        let block = Block { parts, crashes, blocked_at: now, last_crash_at: now };
        exonerate_others(&mut self.suspects, &block);
        self.insert_block(block);
    }

    /// Inserts a block in the place of those of more prompt parts.
    fn insert_block(&mut self, block: Block<T>) {
        self.blocks.retain(|wider| !block.parts.is_subset(&wider.parts));
        if MAX_BLOCKS <= self.blocks.len() {
            let oldest = (0..self.blocks.len()).min_by_key(|&it| self.blocks[it].last_crash_at);
            oldest.map(|index| self.blocks.remove(index));
        }
        self.blocks.push(block);
    }

    /// Makes room for one more suspect, by forgetting the one whose last crash is the
    /// longest ago.
    fn make_room(&mut self, part: PartId) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&part) {
            return;
        }
        let oldest =
            self.suspects.iter().min_by_key(|(part, suspect)| (suspect.last_crash_at, **part));
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }
}

/// Removes the crashes of a block from the parts that it doesn't hold.
fn exonerate_others<T: Copy + Eq>(suspects: &mut HashMap<PartId, Suspect<T>>, block: &Block<T>) {
    suspects.retain(|part, suspect| {
        if block.parts.contains(*part) {
            return true;
        }
        suspect.crashes.0.retain(|(engine, at)| !block.crashes.contains(*engine, *at));
        0 < suspect.crashes.len()
    });
}
