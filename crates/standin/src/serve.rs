//! One HTTP listener with a thread and an actix system of its own, so that a
//! stand-in runs beside any other runtime and can be killed alone.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::rt::System;
use actix_web::web::{JsonConfig, PayloadConfig, ServiceConfig};
use actix_web::{App, HttpResponse, HttpServer};
use bytes::Bytes;
use futures::stream;

/// Largest body accepted, in bytes: a few values of the greatest size.
const MAX_BODY_BYTES: usize = 16 << 20;
/// How long an idle connection stays open. Longer than any pause of a test,
/// so that clients do not meet a connection just closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// A running listener.
pub struct Listener {
    address: SocketAddr,
    handle: ServerHandle,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Listener {
    /// Listens on a loopback port (0 lets the operating system choose).
    pub fn start<F>(port: u16, configure: F) -> io::Result<Self>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let system = System::new();
            system.block_on(run(port, configure, &sender))?;
            System::current().stop();
            system.run()
        });
        match receiver.recv() {
            Ok((address, handle)) => Ok(Self { address, handle, thread: Some(thread) }),
            Err(_) => Err(thread.join().map_or_else(
                |_| io::Error::other("the listener's thread panicked"),
                |result| result.err().unwrap_or_else(|| io::Error::other("no listener")),
            )),
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A switch that stops it at once, from any thread.
    pub fn handle(&self) -> ServerHandle {
        self.handle.clone()
    }

    /// Waits until it has stopped.
    pub fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            // A listener that failed while stopping has stopped all the same.
            let _ = thread.join();
        }
    }

    /// Stops it, breaks off its connections and waits for its thread.
    pub fn close(mut self) {
        abort(&self.handle);
        self.wait();
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        abort(&self.handle);
    }
}

/// Stops a listener at once and breaks off its connections.
pub fn abort(handle: &ServerHandle) {
    // The stop command is sent by the call itself; its future only waits.
    drop(handle.stop(false));
}

async fn run<F>(
    port: u16,
    configure: F,
    sender: &mpsc::Sender<(SocketAddr, ServerHandle)>,
) -> io::Result<()>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let app = move || {
        App::new()
            .app_data(JsonConfig::default().limit(MAX_BODY_BYTES).content_type_required(false))
            .app_data(PayloadConfig::new(MAX_BODY_BYTES))
            .configure(configure.clone())
    };
    let server = HttpServer::new(app)
        .workers(1)
        .keep_alive(KEEP_ALIVE)
        .disable_signals()
        .bind((Ipv4Addr::LOCALHOST, port))?;
    let address = server.addrs().first().copied();
    let server = server.run();
    let address = address.ok_or_else(|| io::Error::other("no address was bound"))?;
    if sender.send((address, server.handle())).is_err() {
        return Ok(());
    }
    server.await
}

/// An answer whose connection breaks off before the body.
pub fn aborted_response() -> HttpResponse {
    let chunk: io::Result<Bytes> = Err(io::ErrorKind::ConnectionAborted.into());
    HttpResponse::Ok().streaming(stream::iter([chunk]))
}

/// Locks shared state; a panicked handler leaves it readable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
