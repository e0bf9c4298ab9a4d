//! Refused requests that are expected back.
//!
//! A request is known by its fingerprint, the hash of its key, path and body, so a caller
//! gains nothing by claiming to have been refused. Only this VM knows whom it refused: a
//! request that returns to another VM comes new there.

use std::collections::HashMap;

use briarshift_units::{Fingerprint, Moment};

use crate::limit::{MAX_EXPECTED_RETURNS, RETURN_TTL};

/// When refused requests were told to return.
#[derive(Debug, Default)]
pub(super) struct Returns {
    told: HashMap<Fingerprint, Moment>,
}

impl Returns {
    /// Records that a refused request was told to return not before `at`. One that was told
    /// a time before and came too early keeps that time.
    pub fn insert(&mut self, request: Fingerprint, at: Moment, now: Moment) {
        if MAX_EXPECTED_RETURNS <= self.told.len() {
            self.told.retain(|_, at| now < *at + RETURN_TTL);
        }
        if self.told.len() < MAX_EXPECTED_RETURNS {
            self.told.entry(request).or_insert(at);
        }
    }

    /// Returns true if a request comes back as it was told. It does so once.
    pub fn take(&mut self, request: Fingerprint, now: Moment) -> bool {
        let Some(&at) = self.told.get(&request) else { return false };
        if now < at {
            return false;
        }
        self.told.remove(&request);
        now < at + RETURN_TTL
    }
}
