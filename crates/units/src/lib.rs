//! Newtypes for identifiers, sizes, rates, times and revisions.
//!
//! A bare `u64` says nothing about its unit, and two text ids of different
//! kinds are easily swapped at a call. Each type here has a `Display` and a
//! `FromStr` that agree with one another, and serialises as its plain value,
//! so that JSON documents stay readable.

mod id;
mod number;
mod time;

pub use id::{
    AccountId, AttemptId, BookingKey, DataCentre, Error as IdError, FleetId, ModelId, OwnerId,
    PoolId, TargetId, VmId,
};
pub use number::{
    BytesPerSecond, ChatKey, Digest, Error as NumberError, FencingToken, Fingerprint,
    MegabitsPerSecond, PerSecond, RequestId, Revision, Size, StartNumber,
};
pub use time::{Moment, Span, WallTime};
