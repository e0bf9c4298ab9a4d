//! Tests of the bounded log writer.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use briarshift_logging::Pipe;

/// An output whose writes each wait for a message on `permits`.
struct BlockingOutput {
    permits: Receiver<()>,
    text: Arc<Mutex<String>>,
    written: Sender<()>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
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
    let (permit, permits) = channel();
    let (written, done) = channel();
    let text = Arc::new(Mutex::new(String::new()));
    let mut pipe =
        Pipe::new(Box::new(BlockingOutput { permits, text: Arc::clone(&text), written }));
    for number in 0..10_000 {
        writeln!(pipe, "line={number}").unwrap();
    }
    permit.send(()).unwrap();
    done.recv().unwrap();
    permit.send(()).unwrap();
    done.recv().unwrap();
    let text = text.lock().unwrap();
    assert!(text.contains("line=0\n"));
    assert!(text.contains("event=log_lost lines="), "{text}");
    assert!(!text.contains("line=9999\n"));
}
