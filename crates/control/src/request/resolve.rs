//! Who sent a request, and what it asks for.

use briarshift_routing::token::Token;
use briarshift_settings::{Account, Document, Kind, Pool};
use briarshift_units::{AccountId, Digest, Fingerprint, IdError, ModelId, Span};
use sha2::{Digest as _, Sha256};

use super::life::Flavour;
use super::{Reason, Work};
use crate::Context;

/// Longest life of a chat's attempt, after which its worker counts as gone.
const CHAT_LIMIT: Span = Span::from_secs(3_600);
/// Time beyond a desk's own limit after which a worker counts as gone.
const DESK_MARGIN: Span = Span::from_secs(30);

/// SHA-256 of a call and its body. Two calls with the same body but another
/// method or path are different bookings, and are different suspects.
///
/// # Examples
///
/// ```
/// use briarshift_control::request::digest;
/// let book = digest("POST", "/pickups/1", b"{}");
/// assert_eq!(book, digest("POST", "/pickups/1", b"{}"));
/// assert_ne!(book, digest("DELETE", "/pickups/1", b"{}"));
/// ```
pub fn digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let head = Sha256::new().chain_update(method).chain_update([0]).chain_update(path);
    Digest(head.chain_update([0]).chain_update(body).finalize().into())
}

/// The fingerprint by which a request that crashes its targets is known.
pub(super) fn fingerprint(account: &AccountId, body: Digest) -> Fingerprint {
    let hash = Sha256::new().chain_update(account.as_str()).chain_update(body.0).finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash[..8]);
    Fingerprint(u64::from_be_bytes(bytes))
}

/// The account whose key was sent.
pub(super) fn authenticate(
    document: &Document,
    credential: Option<Digest>,
) -> Result<&Account, Reason> {
    let digest = credential.ok_or(Reason::Unauthenticated)?.to_string();
    let mut accounts = document.accounts.iter();
    accounts.find(|account| account.key_sha256 == digest).ok_or(Reason::Unauthenticated)
}

/// The pool that serves a request, how, and how long an attempt may last.
pub(super) struct Resolved<'a> {
    pub(super) pool: &'a Pool,
    pub(super) flavour: Flavour,
    pub(super) limit: Span,
}

/// What a request asks for.
pub(super) fn resolve<'a>(
    ctx: &Context<'_>,
    document: &'a Document,
    account: &Account,
    work: &Work,
) -> Result<Resolved<'a>, Reason> {
    match work {
        Work::Chat { model, token, chat } => {
            let unknown = || Reason::UnknownModel(model.clone());
            let id: ModelId = model.parse().map_err(|_| unknown())?;
            let row = document.models.iter().find(|row| row.id == id).ok_or_else(unknown)?;
            let mut pools = document.pools.iter();
            let pool = pools.find(|pool| pool.id == row.pool).ok_or_else(unknown)?;
            let token = token.as_deref();
            let token = token.and_then(|text| Token::verify(text, &ctx.me.token_key, &account.id));
            let (chat, held_on) = match token {
                Some(token) => (token.chat, Some((token.target, token.start))),
                None => (*chat, None),
            };
            let flavour = Flavour::Chat { chat, held_on, model: model.clone() };
            Ok(Resolved { pool, flavour, limit: CHAT_LIMIT })
        }
        Work::Desk { pool, call, key } => {
            let unknown = || Reason::UnknownDesk(pool.clone());
            let mut pools = document.pools.iter();
            let pool = pools.find(|row| row.id.as_str() == pool).ok_or_else(unknown)?;
            let Kind::Runner(runner) = &pool.kind else { return Err(unknown()) };
            let limit = Span::from_millis(runner.timeout_ms) + DESK_MARGIN;
            if runner.repeatable.contains(call) {
                return Ok(Resolved { pool, flavour: Flavour::Repeatable, limit });
            }
            let key = key.as_ref().ok_or(Reason::KeyMissing)?;
            let invalid = |err: IdError| Reason::KeyInvalid(err.to_string().into());
            let key = key.parse().map_err(invalid)?;
            let retention = Span::from_secs(runner.retention_s);
            Ok(Resolved { pool, flavour: Flavour::Booking { key, retention }, limit })
        }
    }
}
