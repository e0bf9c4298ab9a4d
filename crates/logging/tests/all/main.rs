//! Tests of the bounded log writer.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use briarshift_logging::Pipe;

/// An output that reports each write on `entered`, and then waits for a message on
/// `permits`.
struct BlockingOutput {
    entered: Sender<()>,
    permits: Receiver<()>,
    text: Arc<Mutex<String>>,
    written: Sender<()>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.entered.send(());
        self.permits.recv().map_err(io::Error::other)?;
        self.text.lock().unwrap().push_str(std::str::from_utf8(bytes).unwrap());
        let _ = self.written.send(());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_does_not_block_writers_and_lost_lines_are_reported() {
    const QUEUED: usize = 4096;
    let (entered, entries) = channel();
    let (permit, permits) = channel();
    let (written, done) = channel();
    let text = Arc::new(Mutex::new(String::new()));
    let output = BlockingOutput { entered, permits, text: Arc::clone(&text), written };
    let mut pipe = Pipe::new(Box::new(output));
    // One write a line, as the logger makes them.
    let mut write = |number: usize| pipe.write_all(format!("line={number}\n").as_bytes()).unwrap();
    write(0);
    // The log thread now waits in the output, so that the queue is empty and stays
    // untouched until the first permit.
    entries.recv().unwrap();
    for number in 1..10_000 {
        write(number);
    }
    permit.send(()).unwrap();
    done.recv().unwrap();
    permit.send(()).unwrap();
    done.recv().unwrap();
    let text = text.lock().unwrap();
    assert!(text.contains("line=0\n"));
    assert!(text.contains(&format!("line={QUEUED}\n")));
    assert!(text.contains(&format!("event=log_lost lines={}\n", 9_999 - QUEUED)), "{text}");
    assert!(!text.contains("line=9999\n"));
}
