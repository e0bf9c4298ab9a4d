//! Errors of operators' commands.

use briarshift_settings::Faults;
use briarshift_store::Error as StoreError;
use briarshift_units::{Digest, Revision};
use smol_str::SmolStr;

use crate::Environment;

/// An error of an operator's command. The command has changed nothing, except
/// where a variant states otherwise.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The document is invalid.
    #[error("the document has faults, nothing was changed:\n{0}")]
    Faults(Faults),
    /// The environment is not at the revision that was to be replaced, because
    /// another document was accepted first.
    #[error(
        "{environment} is at revision {found}{}, not {replaces}, nothing was changed: \
         compare with `config diff`, then put with --replaces {found}", by(.author)
    )]
    Conflict {
        /// The environment.
        environment: Environment,
        /// Revision that was to be replaced.
        replaces: Revision,
        /// Current revision of the environment.
        found: Revision,
        /// Author of the current revision, if the history has its record.
        author: Option<SmolStr>,
    },
    /// The document was accepted, but has since been replaced by another one.
    #[error(
        "the document was accepted as revision {own}, but revision {by} has replaced it since: \
         compare with `config diff`"
    )]
    Superseded {
        /// Revision of the document.
        own: Revision,
        /// Revision that replaced it.
        by: Revision,
    },
    /// The store did not answer the write, and it could not be determined
    /// whether the write took effect.
    #[error(
        "the store did not answer: the document with digest {0} may be in force, now or soon; \
         check `config history` before you try again"
    )]
    Unknown(Digest),
    /// The environment has no document.
    #[error("{0} has no document: put one first")]
    Absent(Environment),
    /// The document of the revision is no longer kept.
    #[error("revision {0} is not kept: `config history` lists the revisions that are")]
    NotKept(Revision),
    /// The document is not in force on all live VMs of an environment.
    #[error(
        "{digest} is not in force on all VMs of {environment} ({missing}), nothing was changed: \
         wait for `config in-force --environment {environment}` to show it everywhere"
    )]
    NotInForce {
        /// The environment that the document was to be promoted from.
        environment: Environment,
        /// Digest of the document.
        digest: Digest,
        /// The reports that are missing or show another document.
        missing: SmolStr,
    },
    /// A call to the store failed. It can't have changed which document is in
    /// force.
    #[error("nothing was changed: {0}")]
    Store(#[from] StoreError),
}

fn by(author: &Option<SmolStr>) -> String {
    author.as_ref().map_or_else(String::new, |author| format!(" (by {author})"))
}
