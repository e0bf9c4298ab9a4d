//! Chat tokens.
//!
//! The token is what lets 90 million chats cost the fleet no memory: the
//! caller keeps it. It names the chat and the engine that ran it last, and is
//! authenticated, so that a caller can't steer requests by writing its own. A
//! token that does not verify is ignored, never an error.

use briarshift_units::{AccountId, ChatKey, StartNumber, TargetId};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Bytes of the authenticator that the token carries.
const TAG_LEN: usize = 16;

/// What a token says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The chat.
    pub chat: ChatKey,
    /// The engine that ran it last.
    pub target: TargetId,
    /// That engine's start number: a restarted engine has lost its cache.
    pub start: StartNumber,
}

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
    /// Seals the token for one account.
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

    /// Opens a sealed token; `None` if it is forged, cut, foreign or of
    /// another version.
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

/// Compares in time that does not depend on where the bytes differ.
fn equal(a: &[u8; TAG_LEN], b: &[u8; TAG_LEN]) -> bool {
    a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
