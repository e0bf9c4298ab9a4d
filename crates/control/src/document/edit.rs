//! Deltas between documents: edits that turn one document into another.
//!
//! The algorithm indexes fixed-size blocks of the older document by content and
//! scans the newer document once; each run of bytes that also occurs in the
//! older document becomes a copy. The reducer has no clock to abort a
//! comparison, so the cost must be bounded: here it is linear in the lengths of
//! the documents, however much they differ and however long their lines are.
//! The worst case of a line diff is the product of the lengths.

use std::collections::HashMap;

use briarshift_wire::document::Edit;

/// Length of the indexed blocks, in bytes.
const BLOCK_LENGTH: usize = 32;

/// An error of [`apply`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A copy extends past the end of the older document.
    #[error("an edit copies past the end of the older document: pull the whole document")]
    PastEnd,
    /// The result is longer than the maximum for documents.
    #[error("the edits produce more than {0} bytes: pull the whole document")]
    Oversized(usize),
}

/// Returns edits that turn `old` into `new`.
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
    let index = index_blocks(old);
    let mut scan = Scan { old, new, done: 0, edits: Vec::new() };
    let prefix = common_prefix(old, new);
    if 0 < prefix {
        scan.copy(0, 0, prefix);
    }
    let mut at = prefix;
    while at + BLOCK_LENGTH <= new.len() {
        let Some(&Some(offset)) = index.get(&new[at..at + BLOCK_LENGTH]) else {
            at += 1;
            continue;
        };
        let extended = common_suffix(&old[..offset], &new[scan.done..at]);
        let length = extended + common_prefix(&old[offset..], &new[at..]);
        scan.copy(offset - extended, at - extended, length);
        at = scan.done;
    }
    scan.finish()
}

/// Applies edits to `old` and returns the result.
///
/// # Errors
///
/// Returns an [`Error`] if a copy extends past the end of `old` or the result
/// is too long; the edits then were made for another document.
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

/// Returns the approximate encoded length of edits, in bytes.
pub(super) fn encoded_len(edits: &[Edit]) -> usize {
    let one = |edit: &Edit| match edit {
        Edit::Copy { .. } => 1 + 2 * size_of::<u32>(),
        Edit::Insert(bytes) => 1 + size_of::<u32>() + bytes.len(),
    };
    edits.iter().map(one).sum()
}

/// Maps each block of `old` to its offset, or to `None` if it occurs more than
/// once: the scan could match it at the wrong occurrence.
fn index_blocks(old: &[u8]) -> HashMap<&[u8], Option<usize>> {
    let mut index = HashMap::with_capacity(old.len() / BLOCK_LENGTH);
    for (i, block) in old.chunks_exact(BLOCK_LENGTH).enumerate() {
        index.entry(block).and_modify(|start| *start = None).or_insert(Some(i * BLOCK_LENGTH));
    }
    index
}

/// Returns the length of the common prefix.
fn common_prefix(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

/// Returns the length of the common suffix.
fn common_suffix(a: &[u8], b: &[u8]) -> usize {
    a.iter().rev().zip(b.iter().rev()).take_while(|(a, b)| a == b).count()
}

/// The state of the scan over the newer document: bytes before `done` are
/// covered by `edits`.
struct Scan<'a> {
    old: &'a [u8],
    new: &'a [u8],
    done: usize,
    edits: Vec<Edit>,
}

impl Scan<'_> {
    /// Adds an insert of the bytes of `new` before `at`, then a copy from
    /// `old`.
    fn copy(&mut self, offset: usize, at: usize, length: usize) {
        self.insert(at);
        let copy = Edit::Copy { offset: to_u32(offset), length: to_u32(length) };
        self.edits.push(copy);
        self.done = at + length;
    }

    /// Adds an insert of the bytes of `new` that are not covered yet, up to
    /// `end`.
    fn insert(&mut self, end: usize) {
        if self.done < end {
            self.edits.push(Edit::Insert(self.new[self.done..end].to_vec()));
            self.done = end;
        }
    }

    fn finish(mut self) -> Vec<Edit> {
        let done = self.done;
        let suffix = common_suffix(self.old, &self.new[done..]);
        if 0 < suffix {
            self.copy(self.old.len() - suffix, self.new.len() - suffix, suffix);
        }
        self.insert(self.new.len());
        self.edits
    }
}

/// Converts a length to `u32`. Documents are far shorter than 4 GiB.
fn to_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
