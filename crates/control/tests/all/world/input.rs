//! Requests of callers, and the environment document.

use briarshift_control::request::{Arrival, Work};
use briarshift_settings::Call;
use briarshift_units::{ChatKey, Digest, RequestId};
use sha2::Digest as _;

const DOCUMENT: &str = r#"{
  "owners": ["o"],
  "accounts": [
    {"id": "a-0", "owner": "o", "key_sha256": "KEY0", "rate": {"per_second": 1e6, "burst": 1000000}},
    {"id": "a-1", "owner": "o", "key_sha256": "KEY1", "rate": {"per_second": 1e6, "burst": 1000000}},
    {"id": "a-2", "owner": "o", "key_sha256": "KEY2", "rate": {"per_second": 0.1, "burst": 1}}
  ],
  "pools": [
    {"id": "desk", "owner": "o", "queue_wait_ms": 2000, "queue_length": 1000, "retry_share": SHARE,
     "kind": {"runner": {"concurrency": 50, "timeout_ms": 3000, "retention_s": RETENTION,
                         "repeatable": [{"method": "GET", "path": "stock"}]}}},
    {"id": "chat", "owner": "o", "queue_wait_ms": 5000, "queue_length": 1000, "retry_share": SHARE,
     "kind": {"engine": {"load_factor": 1.5, "place_wait_ms": 100, "overnight_share": 0.5}}}
  ],
  "models": [{"id": "m", "pool": "chat"}]
}"#;

/// Returns the SHA-256 digest of a text.
pub fn digest(text: &str) -> Digest {
    Digest(sha2::Sha256::digest(text).into())
}

fn credential(account: usize) -> Digest {
    digest(&format!("key-{account}"))
}

/// Returns a request for a booking.
pub fn booking(request: u64, account: usize, key: &str, body: &str) -> Arrival {
    desk(request, account, "POST", "book", Some(key), body)
}

/// Returns a request to the pool of desk runners; `key` is its idempotency key.
pub fn desk(
    request: u64,
    account: usize,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Arrival {
    Arrival {
        request: RequestId(request),
        credential: Some(credential(account)),
        digest: digest(body),
        work: Work::Desk {
            pool: "desk".into(),
            call: Call { method: method.into(), path: path.into() },
            key: key.map(Into::into),
        },
    }
}

/// Returns a request for a chat.
pub fn chat(request: u64, account: usize, body: &str) -> Arrival {
    let hash = digest(body);
    let key = u64::from_be_bytes(hash.0[..8].try_into().unwrap());
    Arrival {
        request: RequestId(request),
        credential: Some(credential(account)),
        digest: hash,
        work: Work::Chat { model: "m".into(), token: None, chat: ChatKey(key) },
    }
}

/// The values of the environment document that differ between tests.
#[derive(Debug, Clone, Copy)]
pub struct Document {
    /// Time for which the responses of bookings are kept, in seconds.
    pub retention_s: u64,
    /// Maximum ratio of retries to first attempts.
    pub retry_share: f64,
}

impl Default for Document {
    fn default() -> Self {
        Self { retention_s: 86_400, retry_share: 0.1 }
    }
}

impl Document {
    /// Returns the document's text. It has two accounts without an effective
    /// rate limit, a third one limited to one request in 10 s, a pool of desk
    /// runners and a pool of engines.
    pub fn text(self) -> String {
        DOCUMENT
            .replace("KEY0", &credential(0).to_string())
            .replace("KEY1", &credential(1).to_string())
            .replace("KEY2", &credential(2).to_string())
            .replace("RETENTION", &self.retention_s.to_string())
            .replace("SHARE", &self.retry_share.to_string())
    }
}
