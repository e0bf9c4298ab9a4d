//! Executes the reducer's effects that do I/O.

use std::rc::Rc;

use briarshift_control::{Effect, Kind};
use briarshift_peer::Transport;
use briarshift_store::{Store, VmList};
use briarshift_target::TargetClient;

/// Receives the result of an effect as an event.
pub(crate) type Sink = Rc<dyn Fn(Kind)>;

/// The clients for I/O, as trait objects.
pub(crate) struct Driver {
    pub(crate) store: Rc<dyn Store>,
    pub(crate) vms: Rc<dyn VmList>,
    pub(crate) targets: Rc<dyn TargetClient>,
    pub(crate) peers: Box<dyn Transport>,
}

impl Driver {
    /// Starts executing an effect. Its result, if it has one, is passed to `sink`
    /// as an event.
    pub(crate) fn execute(&self, effect: Effect, sink: Sink) {
        match effect {
            Effect::Send { to, address, message } => self.peers.send(&to, address, message),
            Effect::Store { ticket, operation } => {
                let store = Rc::clone(&self.store);
                spawn_and_report(sink, async move {
                    Kind::Store { ticket, result: store.execute(operation).await }
                });
            }
            Effect::ReadVmList => {
                let vms = Rc::clone(&self.vms);
                spawn_and_report(sink, async move { Kind::VmList(vms.list().await) });
            }
            Effect::Poll { target, address } => {
                let targets = Rc::clone(&self.targets);
                spawn_and_report(sink, async move {
                    Kind::TargetReport { result: targets.load(address).await, target }
                });
            }
            Effect::ReadCacheEvents { target, address, after } => {
                let targets = Rc::clone(&self.targets);
                spawn_and_report(sink, async move {
                    Kind::CacheEvents { result: targets.cache_events(address, after).await, target }
                });
            }
            Effect::Order { target, address, order } => {
                let targets = Rc::clone(&self.targets);
                spawn_and_report(sink, async move {
                    Kind::OrderAnswered { result: targets.order(address, order).await, target }
                });
            }
            Effect::Cancel { address, id } => {
                let targets = Rc::clone(&self.targets);
                actix_rt::spawn(async move {
                    if let Err(err) = targets.cancel(address, id).await {
                        log::info!("event=cancel_failed request={id} error={:?}", err.to_string());
                    }
                });
            }
            Effect::Decide { .. } | Effect::InForce(_) | Effect::Log(_) | Effect::Drained => {}
        }
    }
}

/// Runs a future as a task and passes its event to `sink`.
fn spawn_and_report(sink: Sink, event: impl Future<Output = Kind> + 'static) {
    actix_rt::spawn(async move { sink(event.await) });
}
