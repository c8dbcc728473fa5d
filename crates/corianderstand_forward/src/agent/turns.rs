//! Turns at the engine's prompts, for the routers that ask.

use super::Agent;
use crate::dialect;
use corianderstand_fleet::prefill;
use corianderstand_schema::peers::{self, PeerMessage};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Least pause between two looks at whose turn it is; reading a prompt takes some ten times as long.
const LEAST_TURN_PAUSE: Duration = Duration::from_millis(2);

impl<E: dialect::EngineApi> Agent<E> {
    /// Answers a router that asks for a turn at the engine.
    pub(super) fn take_prefill(&self, now: Instant, from: SocketAddr, asked: &peers::PrefillAsked) {
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        let mut turns = self.turns.borrow_mut();
        let answer = turns.request(
            now,
            prefill::PermitRequest {
                id: asked.id,
                requester: from,
                prefill_time: Duration::from_micros(u64::from(asked.work_us)),
                latency_objective_at: now + millis(asked.aim_in_ms),
                expires_at: now + millis(asked.useful_ms),
                max_pause: (asked.pause_ms > 0).then(|| millis(asked.pause_ms)),
            },
        );
        let reading = turns.backlog(now);
        drop(turns);
        match answer {
            prefill::PermitResponse::Granted => self.tell_turn(from, asked.id, None, reading),
            prefill::PermitResponse::Wait(wait) => {
                self.tell_turn(from, asked.id, Some(wait), reading);
                self.turns_changed.notify_one();
            }
        }
    }

    fn tell_turn(&self, to: SocketAddr, id: u64, wait: Option<Duration>, reading: Duration) {
        let answer = peers::PrefillAnswer {
            id,
            given: wait.is_none(),
            wait_ms: wait.unwrap_or_default().as_millis() as u32,
            reading_us: reading.as_micros() as u32,
        };
        self.outbox.send(to, &PeerMessage::PrefillAnswer(answer));
    }

    /// Gives turns as they come.
    pub(super) async fn give_turns(&self) {
        loop {
            let now = self.clock.now();
            let due = self.turns.borrow_mut().grant_due(now);
            let reading = self.turns.borrow().backlog(now);
            for (asker, id) in due {
                self.tell_turn(asker, id, None, reading);
            }
            let next = self.turns.borrow().next_grant_in(now);
            let changed = self.turns_changed.notified();
            match next {
                None => changed.await,
                Some(next) => {
                    let next = next.max(LEAST_TURN_PAUSE);
                    let _over = tokio::time::timeout(next, changed).await;
                }
            }
        }
    }
}
