//! Prefill permits that the engines' agents grant to the routers.

use super::{GAP_OBJECTIVE, Play, READING_S_PER_TOKEN, Request, SLOTS, pace};
use corianderstand_fleet::prefill;
use std::time::Duration;

/// Time in which a caller gives up.
const PATIENCE_S: f64 = 2.5;
/// A target is chosen again, twice at most, if its agent expects a longer wait.
const CHOOSE_AGAIN_WAIT: Duration = Duration::from_millis(40);
const MAX_ABANDONED: u32 = 2;
const ASK_INTERVAL_S: f64 = 0.15;
/// Interval at which an agent asks its engine for a report, and while prompts wait.
const POLL_INTERVAL_S: f64 = 0.25;
const BUSY_POLL_INTERVAL_S: f64 = 0.03;

/// What agents grant permits by.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Rule {
    /// A fixed part of the longest pause.
    OfPause,
    /// What leaves room for an event.
    BesideEvent,
}

/// Agent of an engine.
#[derive(Default)]
pub struct Agent {
    permits: prefill::PermitQueue<()>,
    waiting: Vec<(u64, f64, Request)>,
    next_poll_at: f64,
    next_id: u64,
}

impl Play<'_> {
    /// Asks an agent for a permit.
    pub(super) fn ask(&mut self, index: usize, now: f64, request: Request) {
        let agent = &mut self.agents[index];
        agent.next_id += 1;
        let id = agent.next_id;
        self.ask_as(id, index, now, request);
    }

    fn permit_request(
        &mut self,
        id: u64,
        index: usize,
        now: f64,
        request: &Request,
    ) -> prefill::PermitRequest<()> {
        let at = self.at(now);
        let usual = self.usual(request.router, now);
        let target = self.routers[request.router].get(self.keys[request.router][index]).unwrap();
        let tokens = request.prompt as f64;
        let reading = usual.reading_s_per_token(&target.pace).unwrap_or(READING_S_PER_TOKEN);
        let requests = target.estimated_requests(at) + 1;
        let event_s = usual.event_s(&target.pace) * pace::batch_growth(requests, SLOTS);
        let reading_s = tokens * usual.pure_reading_s_per_token(&target.pace);
        let paced = prefill::UsualPace {
            event_time: Duration::from_secs_f64(event_s),
            reading_time: Duration::from_secs_f64(reading_s),
        };
        prefill::PermitRequest {
            id,
            requester: (),
            prefill_time: Duration::from_secs_f64(tokens * reading * target.pace.slowdown(at)),
            streams: (self.load.permits == Some(Rule::BesideEvent)).then_some(paced),
            latency_objective_at: self.at(request.arrived_at + request.objective_s),
            expires_at: self.at(request.arrived_at + PATIENCE_S),
            max_pause: Some(GAP_OBJECTIVE),
            claim: prefill::Claim::default(),
        }
    }

    fn ask_as(&mut self, id: u64, index: usize, now: f64, mut request: Request) {
        let asked = self.permit_request(id, index, now, &request);
        let at = self.at(now);
        let permits = &mut self.agents[index].permits;
        let response = permits.request(at, asked);
        let backlog = permits.backlog(at);
        let target = self.routers[request.router].get_mut(self.keys[request.router][index]);
        let target = target.unwrap();
        let wait = match response {
            prefill::PermitResponse::Granted => {
                target.record_prefill_backlog(at, backlog);
                let own = asked.streams.map_or(asked.prefill_time, |usual| usual.reading_time);
                let queued = backlog.saturating_sub(own);
                return self.start(index, now, request, queued.as_secs_f64());
            }
            prefill::PermitResponse::Wait(wait) => wait,
        };
        target.record_prefill_backlog(at, backlog.max(wait));
        let permits = &mut self.agents[index].permits;
        if at + wait >= asked.expires_at {
            permits.cancel(id);
            self.refuse(&request);
        } else if wait >= CHOOSE_AGAIN_WAIT && request.abandoned < MAX_ABANDONED {
            permits.cancel(id);
            request.abandoned += 1;
            self.send(now, request);
        } else {
            self.agents[index].waiting.push((id, now + ASK_INTERVAL_S, request));
        }
    }

    /// Lets an agent ask for a report when it is due, and grant what is due.
    pub(super) fn grant(&mut self, index: usize, now: f64) {
        let at = self.at(now);
        let load = self.engines[index].load();
        let agent = &mut self.agents[index];
        if agent.next_poll_at <= now {
            let interval =
                if agent.waiting.is_empty() { POLL_INTERVAL_S } else { BUSY_POLL_INTERVAL_S };
            agent.next_poll_at = now + interval;
            agent.permits.record_stated_pace(at, load.slowdown_percent.unwrap());
        }
        for ((), id) in agent.permits.grant_due(at) {
            let agent = &mut self.agents[index];
            let Some(position) = agent.waiting.iter().position(|(other, _, _)| *other == id) else {
                continue;
            };
            let (_, _, request) = agent.waiting.swap_remove(position);
            let backlog_s = agent.permits.backlog(at).as_secs_f64();
            self.start(index, now, request, backlog_s);
        }
        let is_due = |(_, ask_at, _): &mut (u64, f64, Request)| *ask_at <= now;
        let due: Vec<_> = self.agents[index].waiting.extract_if(.., is_due).collect();
        for (id, _, request) in due {
            self.ask_as(id, index, now, request);
        }
    }
}
