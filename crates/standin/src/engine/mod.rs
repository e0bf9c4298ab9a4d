//! A model engine: chats as JSON or server-sent events, a prefix cache of limited size, load reports
//! that may be outdated, cache events that may be delayed or missing, orders, a run log and faults.
//!
//! A run continues after its connection is closed, until it is complete or cancelled
//! (`DELETE /v1/streams/{id}`). Its events are kept for some time, so that a stream can be resumed.
//! In addition to the published protocol, the engine has these calls:
//!
//! | call | effect or answer |
//! |---|---|
//! | `GET /admin/runs` | the [`Log`] of runs |
//! | `GET /admin/orders` | each [`ReceivedOrder`] |
//! | `POST /admin/leave` | the engine starts leaving, but still runs the requests it receives |
//! | `POST /admin/fault` | activates a [`Fault`] of a [`FaultKind`] |
//! | `DELETE /admin/fault` | clears all faults |

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

use actix_web::web::Data;
use briarshift_target::LoadReport;
use briarshift_units::ChatKey;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::Fault;
use crate::run::Log;
use crate::serve::{Handle, Listener, lock};
use state::State;

/// Kind of a fault of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Crashes the target when it starts to run a request that contains this text.
    Crash {
        /// Text that causes the crash.
        text: SmolStr,
    },
    /// Stops all processing, including streams, until it is cleared.
    Freeze,
    /// Delays the answer of a request.
    Late {
        /// Delay in milliseconds, after the run of a desk call or before the first token of a chat.
        delay_ms: u64,
    },
    /// Answers with the id and the text of the previous run.
    Crossed,
    /// Aborts the connection after some tokens, or before the answer of a request that does not
    /// stream.
    Cut {
        /// Number of tokens that are sent before.
        after: usize,
    },
    /// Ends the answer without its end marker.
    OmitEnd,
    /// Refuses a request without running it, with 503 and `Retry-After`.
    Refuse {
        /// Value of the header in seconds.
        retry_after_s: u64,
    },
}

struct Shared {
    state: Mutex<State>,
    /// Incremented at each new token, to wake the readers of streams.
    changed: watch::Sender<u64>,
    handle: OnceLock<Handle>,
}

impl Shared {
    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Simulates a crash.
    fn crash(&self) {
        lock(&self.state).crashed = true;
        if let Some(handle) = self.handle.get() {
            handle.abort();
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
    /// Returns an error if the listener can't be opened.
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

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns its log of runs so far.
    pub fn log(&self) -> Log {
        lock(&self.shared.state).recorder.log().clone()
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> u32 {
        lock(&self.shared.state).recorder.running()
    }

    /// Returns the orders received so far.
    pub fn received_orders(&self) -> Vec<ReceivedOrder> {
        lock(&self.shared.state).received_orders.clone()
    }

    /// Returns its load as it currently reports it.
    pub fn load_report(&self) -> LoadReport {
        lock(&self.shared.state).report()
    }

    /// Returns true if the cache contains a chat's context.
    pub fn has_cached(&self, chat: ChatKey) -> bool {
        lock(&self.shared.state).cache.contains(chat)
    }

    /// Starts leaving.
    pub fn leave(&self) {
        lock(&self.shared.state).recorder.start_leaving();
    }

    /// Activates a fault.
    pub fn inject_fault(&self, fault: Fault<FaultKind>) {
        self.shared.set_fault(fault);
    }

    /// Clears all faults.
    pub fn clear_faults(&self) {
        lock(&self.shared.state).faults.clear();
    }

    /// Simulates a crash: stops listening and aborts all connections. The log stays readable.
    pub fn kill(&self) {
        self.shared.crash();
    }

    /// Returns true if it crashed by an injected fault or by [`Server::kill`].
    pub fn crashed(&self) -> bool {
        lock(&self.shared.state).crashed
    }

    /// Waits until it stops. Returns true if it crashed.
    pub fn wait(mut self) -> bool {
        self.listener.wait();
        self.crashed()
    }

    /// Stops it and waits for its thread.
    pub fn close(self) {
        self.listener.close();
    }
}
