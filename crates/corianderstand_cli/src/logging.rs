//! Logs as JSON lines.
//!
//! Processes of an own deployment log to standard error. On the users' platform lines go to standard
//! output through a bounded buffer that a thread of its own empties: whoever reads the output
//! slowly, or not at all, must not hold up requests.

use std::{
    io::Write,
    sync::{Arc, Mutex},
    thread::JoinHandle,
    time::Duration,
};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Variable that selects what is logged, in the form of `tracing`'s filters.
pub const LOG_VARIABLE: &str = "CORIANDERSTAND_LOG";
/// Bytes that wait to be written; some seconds of lines under load. Beyond it lines are left out.
const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// Pause between two writes. Each costs a wake-up and a system call, so lines go out together.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Starts logging to standard error.
pub fn start() {
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter());
    // A second start, in a test, keeps the first.
    drop(builder.with_writer(std::io::stderr).try_init());
}

/// Starts logging to standard output; lines that wait are written when the result is dropped.
pub fn start_buffered() -> LogGuard {
    let buffer = Buffer::default();
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter());
    let builder = builder.with_current_span(false).with_span_list(false);
    // A second start, in a test, keeps the first.
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

/// Lines that wait to be written.
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
            // Nothing can be told of an output that is gone.
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

/// Writes the lines; what waits is written when it is dropped.
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
