//! Edits that make one document from another.
//!
//! Blocks of the older document are indexed by their content; the newer one
//! is scanned once, and each run of bytes that stands in the older one becomes
//! a copy. The work grows with the documents' lengths only, whatever their
//! difference, and one long line costs no more than many short ones: the
//! reducer can't stop a comparison by the clock. (Weighed: a comparison of
//! lines; its worst case is the product of the lengths.)

use std::collections::HashMap;

use briarshift_wire::document::Edit;

/// Bytes in a block of the index.
const BLOCK: usize = 32;

/// Why edits don't apply.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A copy reaches past the end of the older document.
    #[error("an edit copies past the end: pull the whole document")]
    PastEnd,
    /// The result is longer than a document may be.
    #[error("the edits make more than {0} bytes: pull the whole document")]
    Oversized(usize),
}

/// Edits that make `new` from `old`.
///
/// # Examples
///
/// ```
/// use briarshift_control::document::edit;
/// let old = b"one line of a document\nanother line of the document\n";
/// let new = b"one line of a document\na third line\nanother line of the document\n";
/// let edits = edit::diff(old, new);
/// assert_eq!(edit::apply(old, &edits).unwrap(), new);
/// ```
pub fn diff(old: &[u8], new: &[u8]) -> Vec<Edit> {
    let index = index(old);
    let mut scan = Scan { old, new, done: 0, edits: Vec::new() };
    let head = matching(old, new);
    if 0 < head {
        scan.copy(0, 0, head);
    }
    let mut at = head;
    while at + BLOCK <= new.len() {
        let Some(&Some(offset)) = index.get(&new[at..at + BLOCK]) else {
            at += 1;
            continue;
        };
        let back = matching_back(&old[..offset], &new[scan.done..at]);
        let length = back + matching(&old[offset..], &new[at..]);
        scan.copy(offset - back, at - back, length);
        at = scan.done;
    }
    scan.finish()
}

/// The bytes that edits make from `old`.
///
/// # Errors
///
/// [`Error`] for edits that were not made for `old`.
pub fn apply(old: &[u8], edits: &[Edit]) -> Result<Vec<u8>, Error> {
    let max = usize::try_from(briarshift_settings::MAX_BYTES.0).unwrap_or(usize::MAX);
    let mut new = Vec::with_capacity(old.len());
    for edit in edits {
        let part = match edit {
            Edit::Insert(bytes) => bytes,
            Edit::Copy { offset, length } => {
                let start = *offset as usize;
                let end = start.saturating_add(*length as usize);
                old.get(start..end).ok_or(Error::PastEnd)?
            }
        };
        if max < new.len() + part.len() {
            return Err(Error::Oversized(max));
        }
        new.extend_from_slice(part);
    }
    Ok(new)
}

/// Bytes that edits take on the wire, nearly.
pub(super) fn cost(edits: &[Edit]) -> usize {
    let one = |edit: &Edit| match edit {
        Edit::Copy { .. } => 1 + 2 * size_of::<u32>(),
        Edit::Insert(bytes) => 1 + size_of::<u32>() + bytes.len(),
    };
    edits.iter().map(one).sum()
}

/// Where each block of `old` starts; `None` for one that stands twice, which
/// would lead the scan astray.
fn index(old: &[u8]) -> HashMap<&[u8], Option<usize>> {
    let mut index = HashMap::with_capacity(old.len() / BLOCK);
    for (i, block) in old.chunks_exact(BLOCK).enumerate() {
        index.entry(block).and_modify(|start| *start = None).or_insert(Some(i * BLOCK));
    }
    index
}

/// Length of the common start.
fn matching(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

/// Length of the common end.
fn matching_back(a: &[u8], b: &[u8]) -> usize {
    a.iter().rev().zip(b.iter().rev()).take_while(|(a, b)| a == b).count()
}

/// The scan over the newer document.
struct Scan<'a> {
    old: &'a [u8],
    new: &'a [u8],
    done: usize,
    edits: Vec<Edit>,
}

impl Scan<'_> {
    /// Copies from `old`, after what stands before it in `new`.
    fn copy(&mut self, offset: usize, at: usize, length: usize) {
        self.insert(at);
        let copy = Edit::Copy { offset: narrow(offset), length: narrow(length) };
        self.edits.push(copy);
        self.done = at + length;
    }

    /// Inserts what is not done yet, up to `end`.
    fn insert(&mut self, end: usize) {
        if self.done < end {
            self.edits.push(Edit::Insert(self.new[self.done..end].to_vec()));
            self.done = end;
        }
    }

    fn finish(mut self) -> Vec<Edit> {
        let rest = self.done;
        let tail = matching_back(self.old, &self.new[rest..]);
        if 0 < tail {
            self.copy(self.old.len() - tail, self.new.len() - tail, tail);
        }
        self.insert(self.new.len());
        self.edits
    }
}

/// Documents are far shorter than 4 GiB.
fn narrow(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
