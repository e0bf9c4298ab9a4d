//! A pull of a newer document from peers, one peer at a time.

use std::collections::BTreeMap;

use briarshift_settings::Document;
use briarshift_units::{Moment, Revision, Span, VmId};
use briarshift_wire::document::{Delta, Head, Message};

use super::edit;
use super::held::Held;

/// How long a peer may take to answer, before another is asked.
const TIMEOUT: Span = Span::from_millis(1_000);
/// How long a peer's head counts.
const MEMORY: Span = Span::from_secs(60);

/// What a pull came to.
#[derive(Debug)]
pub(super) enum Progress {
    /// Ask the same peer for the next piece.
    More(Message),
    /// The bytes are whole; their digest is the head's.
    Whole(Head, Vec<u8>, Option<Vec<Delta>>),
    /// What came does not fit; ask again.
    Failed,
    /// Not an answer to what was asked.
    Stray,
}

/// A head as a peer named it.
#[derive(Debug, Clone, Copy)]
struct Named {
    head: Head,
    at: Moment,
}

#[derive(Debug)]
struct Pull {
    goal: Head,
    from: VmId,
    asked_at: Moment,
    bytes: Vec<u8>,
    /// Steps did not fit: ask for the whole document.
    whole: bool,
}

/// What peers run, and the pull that goes on.
#[derive(Debug, Default)]
pub(super) struct Puller {
    named: BTreeMap<VmId, Named>,
    pull: Option<Pull>,
    heard_at: Option<Moment>,
}

impl Puller {
    /// Takes a peer's head.
    pub(super) fn hear(&mut self, at: Moment, from: &VmId, head: Option<Head>) {
        self.heard_at = Some(at);
        match head {
            Some(head) => self.named.insert(from.clone(), Named { head, at }),
            None => self.named.remove(from),
        };
    }

    /// Time since a peer was heard, or since `start`.
    pub(super) fn silence(&self, at: Moment, start: Moment) -> Span {
        at.since(self.heard_at.map_or(start, |heard| heard.max(start)))
    }

    /// What a peer runs, as far as known.
    pub(super) fn head_of(&self, vm: &VmId) -> Option<Head> {
        self.named.get(vm).map(|named| named.head)
    }

    /// Drops heads that are too old to count.
    pub(super) fn expire(&mut self, at: Moment) {
        self.named.retain(|_, named| at.since(named.at) < MEMORY);
    }

    /// Whom to ask for what, if a peer runs something newer than `revision`,
    /// other than the one `refused`, and no answer is awaited.
    pub(super) fn ask(
        &mut self,
        at: Moment,
        entropy: u64,
        revision: Revision,
        refused: Revision,
    ) -> Option<(VmId, Message)> {
        let is_newer = |head: Head| revision < head.revision && head.revision != refused;
        if self.pull.as_ref().is_some_and(|pull| !is_newer(pull.goal)) {
            self.pull = None;
        }
        if self.pull.as_ref().is_some_and(|pull| at.since(pull.asked_at) < TIMEOUT) {
            return None;
        }
        let last = self.pull.take();
        let goal = self.goal(is_newer, last.as_ref())?;
        let failed = last.as_ref().map(|pull| pull.from.clone());
        let from = self.source(goal, entropy, failed.as_ref())?;
        let same = last.filter(|pull| pull.goal == goal);
        let (bytes, whole) = same.map_or((Vec::new(), false), |pull| (pull.bytes, pull.whole));
        let message = match whole || !bytes.is_empty() {
            true => need(goal, &bytes),
            false => Message::Request { revision },
        };
        self.pull = Some(Pull { goal, from: from.clone(), asked_at: at, bytes, whole });
        Some((from, message))
    }

    /// The head to pull: the one begun as long as a peer has it, else the
    /// newest.
    fn goal(&self, is_newer: impl Fn(Head) -> bool, last: Option<&Pull>) -> Option<Head> {
        let has = |goal: &Head| self.named.values().any(|named| named.head == *goal);
        if let Some(pull) = last.filter(|pull| !pull.bytes.is_empty() && has(&pull.goal)) {
            return Some(pull.goal);
        }
        let heads = self.named.values().map(|named| named.head);
        heads.filter(|&head| is_newer(head)).max_by_key(|head| head.revision)
    }

    /// A peer that has the goal; another than the one that failed, if any.
    fn source(&self, goal: Head, entropy: u64, failed: Option<&VmId>) -> Option<VmId> {
        let has_goal = self.named.iter().filter(|(_, named)| named.head == goal);
        let mut peers: Vec<_> = has_goal.map(|(vm, _)| vm).collect();
        if 1 < peers.len() {
            peers.retain(|vm| Some(*vm) != failed);
        }
        let count = u64::try_from(peers.len()).ok().filter(|&count| 0 < count)?;
        let index = usize::try_from(entropy % count).unwrap_or(0);
        peers.get(index).map(|&vm| vm.clone())
    }

    /// Takes an answer.
    pub(super) fn answer(
        &mut self,
        at: Moment,
        from: &VmId,
        message: Message,
        held: Option<&Held>,
    ) -> Progress {
        let Some(pull) = self.pull.as_mut().filter(|pull| pull.from == *from) else {
            return Progress::Stray;
        };
        let progress = match message {
            Message::Full { head, bytes } => whole(head, bytes, None),
            Message::Deltas(steps) => follow(steps, held),
            Message::Piece { head, size, offset, bytes } => pull.piece(head, size, offset, &bytes),
            _ => Progress::Stray,
        };
        match &progress {
            Progress::More(_) => pull.asked_at = at,
            Progress::Whole(..) => self.pull = None,
            Progress::Failed => pull.fail(),
            Progress::Stray => {}
        }
        progress
    }
}

impl Pull {
    /// Steps that don't fit are made up for by the whole document, at once.
    fn fail(&mut self) {
        if !self.whole {
            self.asked_at = Moment(0);
        }
        self.whole = true;
        self.bytes.clear();
    }

    fn piece(&mut self, head: Head, size: u32, offset: u32, bytes: &[u8]) -> Progress {
        if head != self.goal && self.goal.revision < head.revision {
            self.goal = head;
            self.bytes.clear();
        }
        let fits = self.bytes.len() + bytes.len() <= size as usize
            && u64::from(size) <= briarshift_settings::MAX_BYTES.0;
        if head != self.goal || offset as usize != self.bytes.len() {
            return Progress::Stray;
        }
        if !fits || bytes.is_empty() {
            return Progress::Failed;
        }
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() < size as usize {
            return Progress::More(need(self.goal, &self.bytes));
        }
        whole(self.goal, std::mem::take(&mut self.bytes), None)
    }
}

fn need(goal: Head, bytes: &[u8]) -> Message {
    let offset = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    Message::RequestPiece { digest: goal.digest, offset }
}

/// The bytes, if they are what the head says.
fn whole(head: Head, bytes: Vec<u8>, steps: Option<Vec<Delta>>) -> Progress {
    if Document::digest(&bytes) != head.digest {
        return Progress::Failed;
    }
    Progress::Whole(head, bytes, steps)
}

/// The bytes that steps make from the document in force.
fn follow(steps: Vec<Delta>, held: Option<&Held>) -> Progress {
    let (Some(held), Some(last)) = (held, steps.last()) else { return Progress::Failed };
    let goal = last.to;
    let mut revision = held.head.revision;
    let mut bytes = held.bytes.to_vec();
    for step in &steps {
        if step.from != revision {
            return Progress::Failed;
        }
        let Ok(next) = edit::apply(&bytes, &step.edits) else { return Progress::Failed };
        bytes = next;
        revision = step.to.revision;
    }
    whole(goal, bytes, Some(steps))
}
