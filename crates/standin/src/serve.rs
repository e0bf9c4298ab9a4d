//! An HTTP listener with its own thread and actix system, so that a stand-in is independent of other
//! runtimes in the process and can be stopped separately.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::sync::{Arc, mpsc};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::rt::System;
use actix_web::web::{JsonConfig, PayloadConfig, ServiceConfig};
use actix_web::{App, HttpResponse, HttpServer};
use bytes::Bytes;
use futures::stream;
use socket2::{Domain, Socket, Type};

/// Largest request body. It has room for several store values of the largest size.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time for which an idle connection stays open. It is longer than any pause in a test, so that
/// clients do not use a connection that is just being closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Length of the queue of connections that have not been accepted yet.
const BACKLOG: i32 = 1024;

/// Stops a listener from any thread. Cheap to clone.
#[derive(Clone)]
pub struct Handle {
    server: ServerHandle,
    socket: Arc<Socket>,
}

impl Handle {
    /// Stops the listener immediately and aborts its connections.
    ///
    /// The listening socket is shut down before this returns, so that a connection attempt that
    /// begins afterwards is refused. The server alone closes its socket some time later, and until
    /// then the kernel would accept connections that are never served.
    pub fn abort(&self) {
        // Fails if the socket has already been shut down, which needs no handling.
        let _ = self.socket.shutdown(Shutdown::Both);
        // The call itself sends the stop command; the returned future only waits for its completion.
        drop(self.server.stop(false));
    }
}

/// A running listener.
pub struct Listener {
    address: SocketAddr,
    handle: Handle,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Listener {
    /// Starts listening on a loopback port. With port 0 the operating system chooses one.
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
                |result| {
                    result.err().unwrap_or_else(|| {
                        io::Error::other("the listener's thread ended before it listened")
                    })
                },
            )),
        }
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle with which any thread can stop the listener.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Waits until the listener has stopped.
    pub fn wait(&mut self) {
        if let Some(thread) = self.thread.take() {
            // The result does not matter: the listener has stopped even if it failed while doing so.
            let _ = thread.join();
        }
    }

    /// Stops the listener, aborts its connections and waits for its thread.
    pub fn close(mut self) {
        self.handle.abort();
        self.wait();
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

async fn run<F>(
    port: u16,
    configure: F,
    sender: &mpsc::Sender<(SocketAddr, Handle)>,
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
    let socket = listen(port)?;
    let server = HttpServer::new(app)
        .workers(1)
        .keep_alive(KEEP_ALIVE)
        .disable_signals()
        .listen(socket.try_clone()?.into())?
        .run();
    let address = socket.local_addr()?.as_socket();
    let address = address.ok_or_else(|| io::Error::other("the listener has no address"))?;
    let handle = Handle { server: server.handle(), socket: Arc::new(socket) };
    if sender.send((address, handle)).is_err() {
        return Ok(());
    }
    server.await
}

/// Opens a listening socket on a loopback port.
fn listen(port: u16) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    // A stand-in that is started again takes its previous port.
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Returns a response whose connection is aborted before the body.
pub fn aborted_response() -> HttpResponse {
    let chunk: io::Result<Bytes> = Err(io::ErrorKind::ConnectionAborted.into());
    HttpResponse::Ok().streaming(stream::iter([chunk]))
}

/// Locks shared state, even if a handler panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
