//! Splits a server-sent event stream into whole events, so that it can be resumed at another target.
//!
//! A target may stop in the middle of an event; the next one continues after the last whole event.

use bytes::{Bytes, BytesMut};

/// Ends of an event: an empty line after the end of another one, each ended in any of the three allowed ways.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
const LONGEST_END: usize = 3;
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data:";
/// Beginnings of other lines that the format allows: a comment, the type of an event, the time to reconnect.
const OTHER_LINES: [&[u8]; 3] = [b":", b"event:", b"retry:"];

/// Most bytes until the end of an event. Bytes that never end one would else fill the memory, or go on for ever.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// Why bytes are not the next events of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EventError {
    /// The target skipped events when it resumed the stream.
    Gap,
    /// They do not end an event within its largest size.
    TooLong,
    /// They look like the end of an event, but hold none.
    NoEvent,
}

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial_event: BytesMut,
    last_event: Option<u64>,
    resumed: bool,
    lacks_event: bool,
    event_count: u64,
    /// Bytes since the end of the last event.
    bytes_since_event: usize,
    /// Whether the last bytes ended an event.
    has_ended_event: bool,
    /// Whether what is buffered looks like the end of an event, but holds none.
    has_no_event: bool,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete, or why they are not the next ones.
    pub fn push(&mut self, chunk: Bytes) -> Result<Option<Bytes>, EventError> {
        self.bytes_since_event += chunk.len();
        self.has_ended_event = false;
        if self.has_no_event {
            return Err(EventError::NoEvent);
        }
        let Some(mut complete) = self.split(chunk) else {
            let is_too_long = self.bytes_since_event > MAX_EVENT_BYTES;
            return if is_too_long { Err(EventError::TooLong) } else { Ok(None) };
        };
        let events_end = end_of_events(&complete);
        if events_end < complete.len() {
            // The events before are passed on, and the next bytes are refused.
            self.has_no_event = true;
            let rest = complete.split_off(events_end);
            self.partial_event = [&rest[..], &self.partial_event[..]].concat().as_slice().into();
        }
        self.record(&complete)?;
        match complete.is_empty() {
            true => Err(EventError::NoEvent),
            false if self.bytes_since_event > MAX_EVENT_BYTES => Err(EventError::TooLong),
            false => Ok(Some(complete)),
        }
    }

    /// Appends bytes and takes what lies before the last end of an event.
    fn split(&mut self, chunk: Bytes) -> Option<Bytes> {
        if self.partial_event.is_empty() && EVENT_ENDS.iter().any(|end| chunk.ends_with(end)) {
            return Some(chunk);
        }
        // What came before has no end, but the first bytes of one perhaps.
        let searched = self.partial_event.len().saturating_sub(LONGEST_END - 1);
        self.partial_event.extend_from_slice(&chunk);
        let unsearched = &self.partial_event[searched..];
        let end = EVENT_ENDS.iter().filter_map(|end| end_of_last(unsearched, end)).max()?;
        Some(self.partial_event.split_to(searched + end).freeze())
    }

    /// Whether the last bytes ended an event.
    pub const fn has_ended_event(&self) -> bool {
        self.has_ended_event
    }

    /// Whether bytes came after the last event.
    pub const fn has_more(&self) -> bool {
        self.bytes_since_event > 0
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
        self.bytes_since_event = 0;
        self.has_no_event = false;
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
        for event in lines(complete).filter_map(|(line, _)| parse_event_id(line)) {
            let resumed = std::mem::take(&mut self.resumed);
            if resumed && self.last_event.is_some_and(|last| event != last + 1) {
                return Err(EventError::Gap);
            }
            self.lacks_event = false;
            self.last_event = Some(event);
            self.event_count += 1;
        }
        if lines(complete).any(|(line, _)| is_of_event(line)) {
            self.bytes_since_event = self.partial_event.len();
            self.has_ended_event = true;
        }
        Ok(())
    }
}

/// The lines of a text, and the position after each.
fn lines(text: &[u8]) -> impl Iterator<Item = (&[u8], usize)> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let rest = text.get(start..).filter(|rest| !rest.is_empty())?;
        let len = rest.iter().position(|b| matches!(b, b'\n' | b'\r')).unwrap_or(rest.len());
        let end_len = if rest[len..].starts_with(b"\r\n") { 2 } else { 1 };
        start += (len + end_len).min(rest.len());
        Some((&rest[..len], start))
    })
}

/// Position in whole lines after which what is set apart by empty lines is nothing that the format allows.
fn end_of_events(text: &[u8]) -> usize {
    let (mut end, mut is_event, mut is_other) = (0, false, false);
    for (line, line_end) in lines(text) {
        if !line.is_empty() {
            is_event |= is_of_event(line);
            is_other |= !OTHER_LINES.iter().any(|start| line.starts_with(start));
            continue;
        }
        if is_other && !is_event {
            return end;
        }
        (end, is_event, is_other) = (line_end, false, false);
    }
    end
}

fn is_of_event(line: &[u8]) -> bool {
    line.starts_with(ID_FIELD) || line.starts_with(DATA_FIELD)
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
