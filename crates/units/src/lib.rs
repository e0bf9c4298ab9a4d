//! Newtypes for identifiers, sizes, rates, times and revisions.
//!
//! A plain `u64` doesn't show its unit, and two text ids of different kinds are
//! easily swapped in a call. Each type here implements `Display` and `FromStr`,
//! which are inverses of each other, and serializes as its plain value, which
//! keeps JSON documents readable.

mod id;
mod number;
mod part;
mod time;

pub use id::{
    AccountId, AttemptId, BookingKey, DataCentre, Error as IdError, FleetId, ModelId, OwnerId,
    PoolId, TargetId, VmId,
};
pub use number::{
    BytesPerSecond, ChatKey, Digest, Error as NumberError, FencingToken, Fingerprint,
    MegabitsPerSecond, PartId, PerSecond, RequestId, RequestRate, Revision, Size, StartNumber,
};
pub use part::PartSet;
pub use time::{Moment, Span, WallTime};
