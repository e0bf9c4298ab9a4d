//! The callers' listener: serves each connection with the idle timeout that is in force.
//!
//! Operators state for how long a connection may be idle, and may change it. actix-web fixes
//! that when a server is built, so the services of connections are built here, from the same
//! parts, whenever the timeout has changed. Connections that are open keep theirs.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive};
use actix_server::Server;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_factory, fn_service};
use actix_service::{ServiceFactoryExt, map_config};
use actix_web::dev::AppConfig;
use actix_web::rt::net::TcpStream;
use actix_web::{App, web};
use anyhow::Context;
use futures::future::{FutureExt, LocalBoxFuture};

use super::caller;
use super::connections::Connections;
use super::shared::Shared;
use super::task::Worker;

/// Longest time to read the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time to shut down a connection that is being closed.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit of connections that wait to be accepted.
pub(super) const BACKLOG: u32 = 1024;

/// Serves one connection to its end.
type Handler = Rc<dyn Fn(TcpStream) -> LocalBoxFuture<'static, ()>>;

/// The handler of new connections, and the idle timeout for which it was built.
#[derive(Default)]
struct Current(RefCell<Option<(Duration, Handler)>>);

impl Current {
    fn get(&self, idle_timeout: Duration) -> Option<Handler> {
        let current = self.0.borrow();
        current.as_ref().filter(|(built_for, _)| *built_for == idle_timeout).map(|it| it.1.clone())
    }

    fn set(&self, idle_timeout: Duration, handler: &Handler) {
        *self.0.borrow_mut() = Some((idle_timeout, Rc::clone(handler)));
    }
}

/// Starts to serve callers. `worker` creates the worker of the traffic thread, and is called
/// once.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub(super) fn serve(
    listener: TcpListener,
    shared: &Shared,
    connections: &Connections,
    worker: impl Fn() -> Rc<Worker> + Clone + Send + 'static,
) -> anyhow::Result<Server> {
    let (shared, connections) = (shared.clone(), connections.clone());
    let factory = move || {
        let (shared, connections, worker) = (shared.clone(), connections.clone(), worker.clone());
        fn_factory(move || {
            let (shared, connections, worker) = (shared.clone(), connections.clone(), worker());
            let current = Rc::new(Current::default());
            let connection = move |stream: TcpStream| {
                let idle_timeout = Duration::from(shared.idle_timeout());
                let (worker, current) = (Rc::clone(&worker), Rc::clone(&current));
                let connections = connections.clone();
                async move {
                    let _open = connections.open();
                    let handler = match current.get(idle_timeout) {
                        Some(handler) => handler,
                        None => {
                            let handler = handler(worker, connections, idle_timeout).await?;
                            current.set(idle_timeout, &handler);
                            handler
                        }
                    };
                    handler(stream).await;
                    Ok::<_, ()>(())
                }
            };
            std::future::ready(Ok::<_, ()>(fn_service(connection)))
        })
    };
    let server = Server::build()
        .workers(1)
        .backlog(BACKLOG)
        .disable_signals()
        .listen("callers", listener, factory)
        .context("cannot start the callers' listener")?;
    Ok(server.run())
}

/// Builds the handler of connections that may be idle for this time.
async fn handler(
    worker: Rc<Worker>,
    connections: Connections,
    idle_timeout: Duration,
) -> Result<Handler, ()> {
    let app = App::new()
        .app_data(web::Data::new(worker))
        .default_service(web::to(caller::serve))
        .into_factory()
        .map_err(|err: actix_web::Error| err.error_response());
    let service = HttpService::build()
        .keep_alive(KeepAlive::Timeout(idle_timeout))
        .client_request_timeout(HEADER_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .graceful_shutdown_signal(move || connections.closing())
        // A caller that closes its sending side counts as gone.
        .h1_allow_half_closed(false)
        .finish(map_config(app, |()| AppConfig::default()))
        .tcp()
        .new_service(())
        .await?;
    let handler = move |stream| {
        let connection = service.call(stream);
        async move {
            if let Err(err) = connection.await {
                log::debug!("event=caller_connection_ended error={:?}", err.to_string());
            }
        }
        .boxed_local()
    };
    Ok(Rc::new(handler))
}
