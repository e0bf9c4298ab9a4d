//! A log writer that never blocks its callers.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

/// Most lines that wait for the writer thread, about one second of a busy VM's log.
const MAX_QUEUED_LINES: usize = 4096;
/// Size in bytes at which queued lines are written together. A pipe accepts this much at once.
const BATCH_BYTES: usize = 64 << 10;

/// Passes each line through a bounded queue to a thread that writes it. Lines are lost while the
/// queue is full.
pub struct Pipe {
    lines: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
}

impl Pipe {
    /// Starts a thread that writes to `out`, and returns the pipe to it.
    ///
    /// # Panics
    ///
    /// Panics if the thread can't be started.
    pub fn new(out: Box<dyn Write + Send>) -> Self {
        let (lines, received) = sync_channel(MAX_QUEUED_LINES);
        let lost = Arc::new(AtomicU64::new(0));
        let thread_lost = Arc::clone(&lost);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&received, out, &thread_lost))
            .expect("the thread of the log can be started");
        Self { lines, lost }
    }
}

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the pipe is dropped. Lines are lost if the output fails, because there is no
/// other output to report the failure to.
fn write(lines: &Receiver<Vec<u8>>, mut out: Box<dyn Write + Send>, lost: &AtomicU64) {
    while let Ok(mut batch) = lines.recv() {
        while batch.len() < BATCH_BYTES {
            let Ok(line) = lines.try_recv() else { break };
            batch.extend_from_slice(&line);
        }
        let lost = lost.swap(0, Ordering::Relaxed);
        if 0 < lost {
            batch.extend_from_slice(format!("level=warn event=log_lost lines={lost}\n").as_bytes());
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            continue;
        }
    }
}
