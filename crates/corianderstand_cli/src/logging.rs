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
const MOST_WAITING: usize = 512 << 10;
/// Pause between two writes. Each costs a wake-up and a system call, so lines go out together.
const PAUSE: Duration = Duration::from_millis(250);

/// Starts logging to standard error.
pub fn start() {
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter());
    // A second start, in a test, keeps the first.
    drop(builder.with_writer(std::io::stderr).try_init());
}

/// Starts logging to standard output; lines that wait are written when the result is dropped.
pub fn start_buffered() -> Writer {
    let buffer = Buffer::default();
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter());
    let builder = builder.with_current_span(false).with_span_list(false);
    // A second start, in a test, keeps the first.
    drop(builder.with_writer(buffer.clone()).try_init());
    let reader = buffer.clone();
    let thread = std::thread::Builder::new().name("log".into());
    let thread = thread.spawn(move || reader.write_out()).expect("the system gives a thread");
    Writer { buffer, thread: Some(thread) }
}

fn filter() -> EnvFilter {
    EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"))
}

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    left_out: u64,
    over: bool,
}

/// Lines that wait to be written.
#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Waiting>>);

impl Buffer {
    fn lock(&self) -> std::sync::MutexGuard<'_, Waiting> {
        self.0.lock().expect("no holder of this lock panics")
    }

    fn write_out(&self) {
        loop {
            std::thread::park_timeout(PAUSE);
            let mut waiting = self.lock();
            let bytes = std::mem::take(&mut waiting.bytes);
            let left_out = std::mem::take(&mut waiting.left_out);
            let over = waiting.over;
            drop(waiting);
            let mut out = std::io::stdout().lock();
            // Nothing can be told of an output that is gone.
            drop(out.write_all(&bytes));
            if left_out > 0 {
                drop(writeln!(
                    out,
                    r#"{{"level":"WARN","message":"log lines left out","left_out":{left_out}}}"#
                ));
            }
            drop(out.flush());
            if over {
                return;
            }
        }
    }
}

impl Write for Buffer {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > MOST_WAITING {
            waiting.left_out += 1;
        } else {
            waiting.bytes.extend_from_slice(line);
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
pub struct Writer {
    buffer: Buffer,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.buffer.lock().over = true;
        if let Some(thread) = self.thread.take() {
            thread.thread().unpark();
            drop(thread.join());
        }
    }
}
