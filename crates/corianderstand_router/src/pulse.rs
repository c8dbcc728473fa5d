//! When a connection needs a heartbeat, and when it is idle or silent.
//!
//! Chunks and credit of a stream in flight show both ends that the connection lives, so a
//! heartbeat is sent only in an interval in which one side said nothing. At the peak a router
//! has some two hundred streams in flight, most of them with a token every few milliseconds.

#[cfg(test)]
mod tests;

use crate::dial::IDLE_HEARTBEATS;
use corianderstand_schema::process::Timing;
use std::time::Duration;

/// What to do at a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beat {
    /// Nothing: both sides have spoken.
    Rest,
    /// Send a heartbeat.
    Ping(u64),
    /// Close: it has carried no stream for a while.
    Idle,
    /// Give it up: the other side has said nothing for so long.
    Silent(Duration),
}

/// What has been said on one connection, counted in ticks.
#[derive(Debug)]
pub struct Pulse {
    interval: Duration,
    silence: Duration,
    nonce: u64,
    ticks_silent: u32,
    ticks_idle: u32,
    sent: bool,
    heard: bool,
    heard_ever: bool,
}

impl Pulse {
    /// A connection that has just been opened.
    pub const fn new(timing: &Timing) -> Self {
        Self {
            interval: timing.heartbeat_ms.0,
            silence: timing.silence_ms.0,
            nonce: 0,
            ticks_silent: 0,
            ticks_idle: 0,
            sent: true,
            heard: true,
            heard_ever: false,
        }
    }

    /// Something was sent.
    pub const fn sent(&mut self) {
        self.sent = true;
    }

    /// Something was received.
    pub const fn heard(&mut self) {
        self.heard = true;
        self.heard_ever = true;
    }

    /// One interval has passed; `busy` tells whether streams are in flight.
    ///
    /// A device between the two ends may lose track of the connection; no error ever comes
    /// then. The limit on silence is counted here, over all that is awaited, as a wait that is
    /// begun anew after each heartbeat would never end.
    pub fn beat(&mut self, busy: bool) -> Beat {
        self.ticks_silent = if self.heard { 0 } else { self.ticks_silent + 1 };
        self.ticks_idle = if busy { 0 } else { self.ticks_idle + 1 };
        let spoken = std::mem::take(&mut self.sent) && std::mem::take(&mut self.heard);
        self.heard = false;
        let silent = self.interval * self.ticks_silent;
        if silent >= self.silence {
            return Beat::Silent(silent);
        }
        if self.ticks_idle > IDLE_HEARTBEATS && self.heard_ever {
            return Beat::Idle;
        }
        if spoken {
            return Beat::Rest;
        }
        self.nonce += 1;
        Beat::Ping(self.nonce)
    }
}
