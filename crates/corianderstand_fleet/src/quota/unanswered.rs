//! Decides how long requests wait for a keeper that does not answer.
//!
//! Usually one of the keepers answers at once, and if none does, this router is cut off: waiting gains nothing.
//! While routers start, they don't know each other yet, and the first answer comes as soon as they do. So
//! for a time each request waits for it until its own time is over.

use corianderstand_derives::derives;
use corianderstand_types::names;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Questions in a row without an answer after which requests are refused.
const MAX_UNANSWERED: u32 = 3;
/// Time after the first question in which the routers that start with this one learn of each other.
const STARTING_TIME: Duration = Duration::from_secs(5);
/// Time until the next question if nobody is known to be asked, or who was asked knows nothing yet.
const RESTING_TIME: Duration = Duration::from_millis(20);

/// A request waits for routers that start for this part of the time until its deadline, or until its objective.
const MAX_WAIT_DIVISOR: u32 = 2;

/// Until when a request waits for routers that start. `objective_at` is when it must be sent to meet its latency
/// objective.
pub fn patient_until(arrived_at: Instant, objective_at: Instant, deadline: Instant) -> Instant {
    let time = deadline.saturating_duration_since(arrived_at);
    objective_at.max(arrived_at + time / MAX_WAIT_DIVISOR)
}

/// Which requests of a workspace are refused as no keeper answers.
#[derives(key)]
pub enum GivingUp {
    /// None yet.
    None,
    /// Those whose time is over.
    OutOfTime,
    /// All.
    All,
}

/// The questions of a router that were not answered.
#[derive(Debug, Default)]
pub struct Unanswered {
    in_a_row: HashMap<names::WorkspaceId, u32>,
    /// When this router first had something to ask.
    first_asked_at: Option<Instant>,
    rests_until: HashMap<names::WorkspaceId, Instant>,
}

impl Unanswered {
    /// Records that this router has something to ask.
    pub fn record_asked(&mut self, now: Instant) {
        self.first_asked_at.get_or_insert(now);
    }

    /// Records that a keeper answered for a workspace.
    pub fn record_answered(&mut self, workspace: &names::WorkspaceId) {
        self.in_a_row.remove(workspace);
        self.rests_until.remove(workspace);
    }

    /// Records a question without an answer.
    pub fn record(&mut self, now: Instant, workspace: &names::WorkspaceId) -> GivingUp {
        let count = self.in_a_row.entry(workspace.clone()).or_default();
        *count += 1;
        if *count < MAX_UNANSWERED {
            return GivingUp::None;
        }
        self.give_up(now, workspace)
    }

    /// Records that nobody is known to be asked.
    pub fn record_without_keeper(
        &mut self,
        now: Instant,
        workspace: &names::WorkspaceId,
    ) -> GivingUp {
        let giving_up = self.give_up(now, workspace);
        self.rest(now, workspace);
        giving_up
    }

    /// Records that who was asked answered, but knows nothing of the workspace.
    pub fn record_unknown(&mut self, now: Instant, workspace: &names::WorkspaceId) -> GivingUp {
        let giving_up = self.record(now, workspace);
        self.rest(now, workspace);
        giving_up
    }

    /// Whether questions about a workspace were not answered.
    pub fn is_unanswered(&self, workspace: &names::WorkspaceId) -> bool {
        self.in_a_row.contains_key(workspace) || self.rests_until.contains_key(workspace)
    }

    /// Whether nothing is asked about a workspace now.
    pub fn rests(&self, now: Instant, workspace: &names::WorkspaceId) -> bool {
        self.rests_until.get(workspace).is_some_and(|until| now < *until)
    }

    /// When questions that rest are asked next.
    pub fn next_question_at(&self, now: Instant) -> Option<Instant> {
        self.rests_until.values().copied().filter(|until| now < *until).min()
    }

    fn rest(&mut self, now: Instant, workspace: &names::WorkspaceId) {
        if self.is_starting(now) {
            self.rests_until.insert(workspace.clone(), now + RESTING_TIME);
        }
    }

    fn give_up(&mut self, now: Instant, workspace: &names::WorkspaceId) -> GivingUp {
        if self.is_starting(now) {
            return GivingUp::OutOfTime;
        }
        self.in_a_row.remove(workspace);
        GivingUp::All
    }

    fn is_starting(&self, now: Instant) -> bool {
        self.first_asked_at.is_some_and(|at| now.saturating_duration_since(at) < STARTING_TIME)
    }
}
