//! A model engine: chats as JSON or server-sent events, a prefix cache of
//! limited size, load reports with a lag, cache events late and with gaps,
//! orders, its own run log and faults.
//!
//! A run goes on when its connection is gone, until it is done or cancelled
//! (`DELETE /v1/streams/{id}`), and its events are kept for a while, so that a
//! stream can be resumed. Beside the published protocol:
//!
//! | call | answer |
//! |---|---|
//! | `GET /admin/runs` | the [`Log`] of runs |
//! | `GET /admin/orders` | all orders [`ReceivedOrder`] |
//! | `POST /admin/leave` | the engine begins to leave; it still runs what it gets |
//! | `POST /admin/fault` | switches a [`Fault`] of a [`FaultKind`] on |
//! | `DELETE /admin/fault` | switches all faults off |

mod cache;
mod chat;
mod http;
mod settings;
mod state;

pub use chat::expected_answer;
pub use settings::{Builder, Settings};
pub use state::ReceivedOrder;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};

use actix_web::dev::ServerHandle;
use actix_web::web::Data;
use briarshift_target::LoadReport;
use briarshift_units::ChatKey;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::Fault;
use crate::run::Log;
use crate::serve::{Listener, abort, lock};
use state::State;

/// What can go wrong with a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Dies, as if killed, once a request with this text runs.
    Crash {
        /// The text.
        text: SmolStr,
    },
    /// Does nothing at all, streams included, until cleared.
    Freeze,
    /// Answers a request late.
    Late {
        /// The delay in milliseconds, after the run of a desk call and before
        /// the first token of a chat.
        delay_ms: u64,
    },
    /// Answers with the id and the text of the run before.
    Crossed,
    /// Breaks the connection off after some tokens, or before the answer of a
    /// request that does not stream.
    Cut {
        /// Tokens passed on before.
        after: usize,
    },
    /// Ends the answer without its end marker.
    OmitEnd,
    /// Refuses a request unrun, with 503 and `Retry-After`.
    Refuse {
        /// The header's value in seconds.
        retry_after_s: u64,
    },
}

struct Shared {
    state: Mutex<State>,
    /// Raised at each new token, to wake whoever reads streams.
    changed: watch::Sender<u64>,
    handle: OnceLock<ServerHandle>,
}

impl Shared {
    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Dies as if killed.
    fn crash(&self) {
        lock(&self.state).crashed = true;
        if let Some(handle) = self.handle.get() {
            abort(handle);
        }
    }

    fn set_fault(&self, fault: Fault<FaultKind>) {
        lock(&self.state).faults.add(fault);
    }
}

/// A running engine.
pub struct Server {
    shared: Arc<Shared>,
    listener: Listener,
}

impl Server {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// The listener's error.
    ///
    /// # Examples
    ///
    /// ```
    /// use briarshift_standin::engine::{Builder, Server};
    /// let engine = Server::start(Builder::new().build()).unwrap();
    /// assert!(engine.log().runs.is_empty());
    /// engine.close();
    /// ```
    pub fn start(settings: Settings) -> io::Result<Self> {
        let port = settings.port;
        let shared = Arc::new(Shared {
            state: Mutex::new(State::new(settings)),
            changed: watch::channel(0).0,
            handle: OnceLock::new(),
        });
        let data = Data::from(Arc::clone(&shared));
        let listener = Listener::start(port, move |config| http::routes(config, &data))?;
        shared.handle.get_or_init(|| listener.handle());
        Ok(Self { shared, listener })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Its log of runs so far.
    pub fn log(&self) -> Log {
        lock(&self.shared.state).recorder.log().clone()
    }

    /// Requests running now.
    pub fn running(&self) -> u32 {
        lock(&self.shared.state).recorder.running()
    }

    /// Orders received so far.
    pub fn received_orders(&self) -> Vec<ReceivedOrder> {
        lock(&self.shared.state).received_orders.clone()
    }

    /// Its load, as reported.
    pub fn load_report(&self) -> LoadReport {
        lock(&self.shared.state).report()
    }

    /// Whether the cache holds a chat's context.
    pub fn has_cached(&self, chat: ChatKey) -> bool {
        lock(&self.shared.state).cache.contains(chat)
    }

    /// Begins to leave.
    pub fn leave(&self) {
        lock(&self.shared.state).recorder.start_leaving();
    }

    /// Switches a fault on.
    pub fn inject_fault(&self, fault: Fault<FaultKind>) {
        self.shared.set_fault(fault);
    }

    /// Switches all faults off.
    pub fn clear_faults(&self) {
        lock(&self.shared.state).faults.clear();
    }

    /// Dies as if killed: stops listening and breaks off all connections. The
    /// log stays readable.
    pub fn kill(&self) {
        self.shared.crash();
    }

    /// Whether it died of a fault or was killed.
    pub fn crashed(&self) -> bool {
        lock(&self.shared.state).crashed
    }

    /// Waits until it stops, and tells whether it died.
    pub fn wait(mut self) -> bool {
        self.listener.wait();
        self.crashed()
    }

    /// Stops it.
    pub fn close(self) {
        self.listener.close();
    }
}
