//! Splits a server-sent event stream into whole events, so that it can be resumed at another target.
//!
//! A target may stop in the middle of an event; the next one continues after the last whole event.

use bytes::{Bytes, BytesMut};

/// Ends of an event: an empty line after the end of another one, each ended in any of the three allowed ways.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
const ID_FIELD: &[u8] = b"id:";

/// Largest event, in bytes. Bytes that never end an event would else fill the memory.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// Why bytes are not the next events of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EventError {
    /// The target skipped events when it resumed the stream.
    Gap,
    /// They do not end an event within its largest size.
    TooLong,
}

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial_event: BytesMut,
    last_event: Option<u64>,
    resumed: bool,
    lacks_event: bool,
    event_count: u64,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete, or why they are not the next ones.
    pub fn push(&mut self, chunk: Bytes) -> Result<Option<Bytes>, EventError> {
        if self.partial_event.is_empty() && EVENT_ENDS.iter().any(|end| chunk.ends_with(end)) {
            self.record(&chunk)?;
            return Ok(Some(chunk));
        }
        self.partial_event.extend_from_slice(&chunk);
        let ends = EVENT_ENDS.iter().filter_map(|end| end_of_last(&self.partial_event, end));
        let Some(end) = ends.max() else {
            let is_too_long = self.partial_event.len() > MAX_EVENT_BYTES;
            return if is_too_long { Err(EventError::TooLong) } else { Ok(None) };
        };
        let complete = self.partial_event.split_to(end).freeze();
        self.record(&complete)?;
        Ok(Some(complete))
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial_event.is_empty()
    }

    /// Whether an event that broke off has not been sent again.
    pub const fn lacks_event(&self) -> bool {
        self.lacks_event
    }

    /// Discards the incomplete event, which the next target sends again.
    pub fn resume(&mut self) {
        self.lacks_event |= self.has_partial();
        self.partial_event.clear();
        self.resumed = true;
    }

    /// Id of the last whole event.
    pub const fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Number of whole events.
    pub const fn events(&self) -> u64 {
        self.event_count
    }

    fn record(&mut self, complete: &[u8]) -> Result<(), EventError> {
        for event in complete.split(|b| matches!(b, b'\n' | b'\r')).filter_map(parse_event_id) {
            let resumed = std::mem::take(&mut self.resumed);
            if resumed && self.last_event.is_some_and(|last| event != last + 1) {
                return Err(EventError::Gap);
            }
            self.lacks_event = false;
            self.last_event = Some(event);
            self.event_count += 1;
        }
        Ok(())
    }
}

fn parse_event_id(line: &[u8]) -> Option<u64> {
    let rest = line.strip_prefix(ID_FIELD)?;
    std::str::from_utf8(rest).ok()?.trim().parse().ok()
}

/// Position after the last occurrence of a pattern.
fn end_of_last(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let start = bytes.windows(pattern.len()).rposition(|window| window == pattern)?;
    Some(start + pattern.len())
}
