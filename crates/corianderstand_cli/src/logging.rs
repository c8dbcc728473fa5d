//! Logging as JSON lines.
//!
//! Processes log to standard error. On the users' platform they log to standard output through a
//! bounded buffer with its own thread, so that a slow reader cannot block requests.

use std::{
    io::Write,
    sync::{Arc, Mutex},
    thread::JoinHandle,
    time::Duration,
};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

pub const LOG_VARIABLE: &str = "CORIANDERSTAND_LOG";
/// Lines beyond this are dropped.
const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// Batches lines to save wake-ups and system calls.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

pub fn start() {
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter());
    // Tests may initialize more than once; the first call wins.
    drop(builder.with_writer(std::io::stderr).try_init());
}

/// Initializes buffered logging to standard output, flushed when the guard is dropped.
pub fn start_buffered() -> LogGuard {
    let buffer = Buffer::default();
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter());
    let builder = builder.with_current_span(false).with_span_list(false);
    // Tests may initialize more than once; the first call wins.
    drop(builder.with_writer(buffer.clone()).try_init());
    let flusher = buffer.clone();
    let thread = std::thread::Builder::new().name("log".into());
    let thread = thread.spawn(move || flusher.flush_loop()).expect("the log thread starts");
    LogGuard { buffer, thread: Some(thread) }
}

fn filter() -> EnvFilter {
    EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"))
}

#[derive(Default)]
struct BufferState {
    bytes: Vec<u8>,
    dropped_lines: u64,
    closed: bool,
}

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<BufferState>>);

impl Buffer {
    fn lock(&self) -> std::sync::MutexGuard<'_, BufferState> {
        self.0.lock().expect("no holder of this lock panics")
    }

    fn flush_loop(&self) {
        loop {
            std::thread::park_timeout(FLUSH_INTERVAL);
            let mut state = self.lock();
            let bytes = std::mem::take(&mut state.bytes);
            let dropped_lines = std::mem::take(&mut state.dropped_lines);
            let closed = state.closed;
            drop(state);
            let mut out = std::io::stdout().lock();
            // A closed output cannot be reported anywhere.
            drop(out.write_all(&bytes));
            if dropped_lines > 0 {
                drop(writeln!(
                    out,
                    r#"{{"level":"WARN","message":"log lines left out","left_out":{dropped_lines}}}"#
                ));
            }
            drop(out.flush());
            if closed {
                return;
            }
        }
    }
}

impl Write for Buffer {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut state = self.lock();
        if state.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            state.dropped_lines += 1;
        } else {
            state.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Buffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Stops the log thread and flushes the buffer when dropped.
pub struct LogGuard {
    buffer: Buffer,
    thread: Option<JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.buffer.lock().closed = true;
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            drop(thread.join());
        }
    }
}
