//! Why a target did not run a request.
//!
//! Targets use few statuses for many reasons, and each reason says something else of the target.

use corianderstand_derives::derives;

/// What a response says of a request that did not run.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Whether another target answered at the address.
    pub is_of_another: bool,
    /// Whether the target asks for rest.
    pub asks_for_rest: bool,
    /// Whether the target says that it is leaving.
    pub is_leaving: bool,
    /// Whether the request names a model.
    pub names_model: bool,
}

/// Why a target did not run a request.
#[derives(key)]
pub enum Refusal {
    /// The target is gone: another one has its address.
    Replaced,
    /// It is leaving.
    Leaving,
    /// It wants no requests for a time.
    Resting,
    /// It lacks the model, or cannot run it now.
    ModelUnavailable,
    /// It cannot run any request now.
    Overloaded,
}

impl Refusal {
    /// The reason that a response gives.
    pub const fn of(answer: Answer) -> Self {
        match answer {
            Answer { is_of_another: true, .. } => Self::Replaced,
            Answer { is_leaving: true, .. } => Self::Leaving,
            Answer { asks_for_rest: true, .. } => Self::Resting,
            Answer { names_model: true, .. } => Self::ModelUnavailable,
            Answer { .. } => Self::Overloaded,
        }
    }

    /// The logged reason.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Replaced => "another target has its address",
            Self::Leaving => "the target is leaving",
            Self::Resting => "the target asked for rest",
            Self::ModelUnavailable => "the target lacks the model",
            Self::Overloaded => "the target did not run it",
        }
    }
}
