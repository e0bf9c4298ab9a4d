//! Chat tokens, by which callers return to the engine that holds their context.
//!
//! A token names a chat and the engine that last ran it. The caller stores it and
//! sends it with the next request, so that the fleet needs no memory for its 90
//! million chats. The token carries a message authentication code, so that
//! callers can't choose an engine by making up a token. A token that fails
//! verification is ignored and causes no error.

use briarshift_units::{AccountId, ChatKey, StartNumber, TargetId};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Length of the truncated message authentication code, in bytes.
const TAG_LEN: usize = 16;

/// The contents of a token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The chat.
    pub chat: ChatKey,
    /// The engine that last ran it.
    pub target: TargetId,
    /// The start number of that engine's process. An engine that has restarted
    /// since has lost its cache.
    pub start: StartNumber,
}

/// Returns the message authentication code of a token's text for one account.
fn tag(key: &[u8], account: &AccountId, text: &str) -> [u8; TAG_LEN] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(account.as_str().as_bytes());
    mac.update(&[0]);
    mac.update(text.as_bytes());
    let mut tag = [0; TAG_LEN];
    tag.copy_from_slice(&mac.finalize().into_bytes()[..TAG_LEN]);
    tag
}

impl Token {
    /// Encodes the token and signs it for one account.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_routing::token::Token;
    /// use briarshift_units::{ChatKey, StartNumber};
    /// let account = "parish".parse().unwrap();
    /// let token = Token { chat: ChatKey(1), target: "e-1".parse().unwrap(), start: StartNumber(2) };
    /// let text = token.sign(&[7; 32], &account);
    /// assert_eq!(Token::verify(&text, &[7; 32], &account), Some(token));
    /// assert_eq!(Token::verify(&text, &[8; 32], &account), None);
    /// ```
    pub fn sign(&self, key: &[u8], account: &AccountId) -> String {
        let text = format!("1.{}.{}.{}", self.chat, self.start, self.target);
        let tag = hex::encode(tag(key, account, &text));
        format!("{tag}.{text}")
    }

    /// Verifies and decodes a signed token. Returns `None` if it is forged,
    /// truncated, signed for another account, or of another version.
    pub fn verify(text: &str, key: &[u8], account: &AccountId) -> Option<Self> {
        let (given, body) = text.split_once('.')?;
        let mut bytes = [0; TAG_LEN];
        hex::decode_to_slice(given, &mut bytes).ok()?;
        if !equal(&bytes, &tag(key, account, body)) {
            return None;
        }
        let mut parts = body.splitn(4, '.');
        if parts.next()? != "1" {
            return None;
        }
        let chat = parts.next()?.parse().ok()?;
        let start = parts.next()?.parse().ok()?;
        let target = parts.next()?.parse().ok()?;
        Some(Self { chat, target, start })
    }
}

/// Compares two authentication codes in constant time, so that the time taken
/// does not reveal where they differ.
fn equal(a: &[u8; TAG_LEN], b: &[u8; TAG_LEN]) -> bool {
    a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
