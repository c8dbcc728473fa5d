//! Reads an answer that is no stream, and records what its end tells of its target.
//!
//! Of two answers to one request only one is delivered; what either tells of its target is recorded here, as it is read.

use crate::{attempt, body_end, dialect, ended_targets, job, pool, router};
use http::response;
use std::rc::Rc;

/// Why an answer is of no use that did not end.
pub const ENDLESS: &str = "the target's answer does not end";
/// Why an answer is of no use that ended early.
pub const BROKEN: &str = "the target broke off its answer";
/// Why an answer is of no use that is an error.
pub const TARGET_ERROR: &str = "error of the target";

/// How the read of an answer's body ended.
pub enum Body {
    /// It was read whole.
    Whole(body_end::WholeBody),
    /// It broke off.
    Broken,
    /// It goes on, and another target can take the request.
    TimedOut,
    /// The request's deadline was exceeded.
    DeadlineExceeded,
}

/// An answer that is no stream, and how the read of its body ended.
pub struct ReadAnswer<P: router::Platform> {
    /// Status and headers, in the version that callers get.
    pub head: response::Parts,
    /// The parsed headers.
    pub response_head: dialect::ResponseHead,
    /// The connection.
    pub lease: pool::Lease,
    /// Counts the request as in flight at the target.
    pub in_flight: job::InFlight<P>,
    /// What was read.
    pub body: Body,
}

impl<P: router::Platform> ReadAnswer<P> {
    /// Reads the body of an answer.
    pub async fn read(
        shared: &Rc<router::Shared<P>>,
        job: &job::Job,
        answered: attempt::Answered<P>,
    ) -> Self {
        let attempt::Answered { head, framing, response_head, body, lease, in_flight } = answered;
        let collecting = body_end::collect(body, framing, &shared.answer_buffers);
        let body = match attempt::wait_for_body(shared, job, in_flight.key(), collecting).await {
            attempt::BodyOutcome::Ended(read, bytes) => {
                let concluded = ended_targets::conclude(shared, job, &in_flight, read).await;
                concluded
                    .map_or(Body::Broken, |whole| Body::Whole(body_end::WholeBody { bytes, whole }))
            }
            attempt::BodyOutcome::TimedOut => Body::TimedOut,
            attempt::BodyOutcome::DeadlineExceeded => Body::DeadlineExceeded,
        };
        let answer = Self { head, response_head, lease, in_flight, body };
        answer.record_end(shared, job);
        answer
    }

    /// Whether it is whole and no error of the target.
    pub fn is_success(&self) -> bool {
        matches!(self.body, Body::Whole(_)) && !self.head.status.is_server_error()
    }

    fn record_end(&self, shared: &Rc<router::Shared<P>>, job: &job::Job) {
        let key = self.in_flight.key();
        match &self.body {
            Body::Whole(_) if self.head.status.is_server_error() => {
                ended_targets::record_failed(shared, job, &self.in_flight);
                shared.record_target_failure(key, TARGET_ERROR);
            }
            Body::Whole(_) => {
                shared.record_target_success(key);
                let now = shared.clock.now();
                let sent_at = job.sent_at.unwrap_or(job.arrived_at);
                shared.suspicion.record_written(now, job, sent_at);
                shared.suspicion.record_completed(now, job);
            }
            Body::Broken => {
                ended_targets::record_broken(shared, job, &self.in_flight, None);
                shared.record_target_failure(key, BROKEN);
            }
            Body::TimedOut => shared.record_target_failure(key, ENDLESS),
            Body::DeadlineExceeded => shared.record_target_failure(key, "time over"),
        }
    }
}
