//! Pulls of a newer document from peers, one peer at a time.

use std::collections::BTreeMap;

use briarshift_settings::Document;
use briarshift_units::{Moment, Revision, Span, VmId};
use briarshift_wire::document::{Delta, Head, Message};

use super::edit;
use super::snapshot::Snapshot;

/// Time without an answer after which another peer is asked.
const TIMEOUT: Span = Span::from_millis(1_000);
/// Age from which a peer's head is ignored.
const MAX_HEAD_AGE: Span = Span::from_secs(60);

/// The state of a pull after an answer.
#[derive(Debug)]
pub(super) enum Progress {
    /// The next piece is to be requested from the same peer, by this message.
    Continue(Message),
    /// All bytes arrived and match the digest in the head.
    Complete(Head, Vec<u8>, Option<Vec<Delta>>),
    /// The answer doesn't fit the request or the document in force; the pull is
    /// to be repeated.
    Failed,
    /// The message doesn't answer the outstanding request.
    Unexpected,
}

/// The head that a peer last announced.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    head: Head,
    at: Moment,
}

/// A pull in progress: the head that is pulled, from which peer, and the bytes
/// received so far.
#[derive(Debug)]
struct Pull {
    goal: Head,
    from: VmId,
    requested_at: Moment,
    bytes: Vec<u8>,
    /// Whether to request the whole document, because the deltas didn't fit.
    whole: bool,
}

/// The heads of peers, and the pull in progress.
#[derive(Debug, Default)]
pub(super) struct Puller {
    announced: BTreeMap<VmId, Announcement>,
    pull: Option<Pull>,
    last_head_at: Option<Moment>,
}

impl Puller {
    /// Records the head that a peer announced, or that it has none.
    pub(super) fn record_head(&mut self, at: Moment, from: &VmId, head: Option<Head>) {
        self.last_head_at = Some(at);
        match head {
            Some(head) => self.announced.insert(from.clone(), Announcement { head, at }),
            None => self.announced.remove(from),
        };
    }

    /// Returns the time since any peer announced a head, or since `start` if
    /// that is later.
    pub(super) fn silence(&self, at: Moment, start: Moment) -> Span {
        at.since(self.last_head_at.map_or(start, |last| last.max(start)))
    }

    /// Returns the last head of a peer, if it is known.
    pub(super) fn head_of(&self, vm: &VmId) -> Option<Head> {
        self.announced.get(vm).map(|announced| announced.head)
    }

    /// Drops heads that are too old.
    pub(super) fn expire(&mut self, at: Moment) {
        self.announced.retain(|_, announced| at.since(announced.at) < MAX_HEAD_AGE);
    }

    /// Returns the next request and the peer to send it to, if a peer has a
    /// document newer than `revision`, other than the one `refused`, and no
    /// request is outstanding.
    pub(super) fn next_request(
        &mut self,
        at: Moment,
        entropy: u64,
        revision: Revision,
        refused: Revision,
    ) -> Option<(VmId, Message)> {
        let is_wanted = |head: Head| revision < head.revision && head.revision != refused;
        if self.pull.as_ref().is_some_and(|pull| !is_wanted(pull.goal)) {
            self.pull = None;
        }
        if self.pull.as_ref().is_some_and(|pull| at.since(pull.requested_at) < TIMEOUT) {
            return None;
        }
        let last = self.pull.take();
        let goal = self.goal(is_wanted, last.as_ref())?;
        let failed = last.as_ref().map(|pull| pull.from.clone());
        let from = self.source(goal, entropy, failed.as_ref())?;
        let resumed = last.filter(|pull| pull.goal == goal);
        let (bytes, whole) = resumed.map_or((Vec::new(), false), |pull| (pull.bytes, pull.whole));
        let message = match whole || !bytes.is_empty() {
            true => request_piece(goal, &bytes),
            false => Message::Request { revision },
        };
        self.pull = Some(Pull { goal, from: from.clone(), requested_at: at, bytes, whole });
        Some((from, message))
    }

    /// Returns the head to pull: the one whose pull has begun, as long as a
    /// peer has it, else the newest.
    fn goal(&self, is_wanted: impl Fn(Head) -> bool, last: Option<&Pull>) -> Option<Head> {
        let is_available =
            |goal: &Head| self.announced.values().any(|announced| announced.head == *goal);
        if let Some(pull) = last.filter(|pull| !pull.bytes.is_empty() && is_available(&pull.goal)) {
            return Some(pull.goal);
        }
        let heads = self.announced.values().map(|announced| announced.head);
        heads.filter(|&head| is_wanted(head)).max_by_key(|head| head.revision)
    }

    /// Returns a random peer that has the goal; not the one that failed, if
    /// there is another.
    fn source(&self, goal: Head, entropy: u64, failed: Option<&VmId>) -> Option<VmId> {
        let has_goal = self.announced.iter().filter(|(_, announced)| announced.head == goal);
        let mut peers: Vec<_> = has_goal.map(|(vm, _)| vm).collect();
        if 1 < peers.len() {
            peers.retain(|vm| Some(*vm) != failed);
        }
        let count = u64::try_from(peers.len()).ok().filter(|&count| 0 < count)?;
        let index = usize::try_from(entropy % count).unwrap_or(0);
        peers.get(index).map(|&vm| vm.clone())
    }

    /// Applies a peer's answer to the pull.
    pub(super) fn handle_answer(
        &mut self,
        at: Moment,
        from: &VmId,
        message: Message,
        current: Option<&Snapshot>,
    ) -> Progress {
        let Some(pull) = self.pull.as_mut().filter(|pull| pull.from == *from) else {
            return Progress::Unexpected;
        };
        let progress = match message {
            Message::Full { head, bytes } => complete(head, bytes, None),
            Message::Deltas(deltas) => apply_deltas(deltas, current),
            Message::Piece { head, size, offset, bytes } => pull.piece(head, size, offset, &bytes),
            _ => Progress::Unexpected,
        };
        match &progress {
            Progress::Continue(_) => pull.requested_at = at,
            Progress::Complete(..) => self.pull = None,
            Progress::Failed => pull.restart(),
            Progress::Unexpected => {}
        }
        progress
    }
}

impl Pull {
    /// Restarts the pull, now for the whole document. The first time this
    /// happens at once, without waiting for the timeout.
    fn restart(&mut self) {
        if !self.whole {
            self.requested_at = Moment(0);
        }
        self.whole = true;
        self.bytes.clear();
    }

    /// Adds a piece of the document. A piece of a newer document restarts the
    /// pull with that one.
    fn piece(&mut self, head: Head, size: u32, offset: u32, bytes: &[u8]) -> Progress {
        if head != self.goal && self.goal.revision < head.revision {
            self.goal = head;
            self.bytes.clear();
        }
        let fits = self.bytes.len() + bytes.len() <= size as usize
            && u64::from(size) <= briarshift_settings::MAX_BYTES.0;
        if head != self.goal || offset as usize != self.bytes.len() {
            return Progress::Unexpected;
        }
        if !fits || bytes.is_empty() {
            return Progress::Failed;
        }
        self.bytes.extend_from_slice(bytes);
        if self.bytes.len() < size as usize {
            return Progress::Continue(request_piece(self.goal, &self.bytes));
        }
        complete(self.goal, std::mem::take(&mut self.bytes), None)
    }
}

fn request_piece(goal: Head, bytes: &[u8]) -> Message {
    let offset = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    Message::RequestPiece { digest: goal.digest, offset }
}

/// Completes a pull if the bytes match the digest in the head.
fn complete(head: Head, bytes: Vec<u8>, deltas: Option<Vec<Delta>>) -> Progress {
    if Document::digest(&bytes) != head.digest {
        return Progress::Failed;
    }
    Progress::Complete(head, bytes, deltas)
}

/// Applies deltas to the document in force.
fn apply_deltas(deltas: Vec<Delta>, current: Option<&Snapshot>) -> Progress {
    let (Some(current), Some(last)) = (current, deltas.last()) else { return Progress::Failed };
    let goal = last.to;
    let mut revision = current.head.revision;
    let mut bytes = current.bytes.to_vec();
    for delta in &deltas {
        if delta.from != revision {
            return Progress::Failed;
        }
        let Ok(next) = edit::apply(&bytes, &delta.edits) else { return Progress::Failed };
        bytes = next;
        revision = delta.to.revision;
    }
    complete(goal, bytes, Some(deltas))
}
