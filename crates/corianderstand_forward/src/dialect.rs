//! What a platform's adapter supplies: names on the wire, and calls to the store and to engines.
//!
//! Each trait stands for one edge of the system. An adapter translates and decides nothing.

use crate::client;
use bytes::Bytes;
use corianderstand_derives::derives;
use corianderstand_fleet::{choose, config, targets};
use corianderstand_types::names;
use displaydoc::Display;
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use std::{future::Future, sync::Arc, time::Duration};

/// A part of a prompt that other requests may share.
#[derives(key)]
pub struct PromptPart {
    /// What identifies it, together with the parts before it.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a request's headers say.
#[derives(data)]
#[derive(Default)]
pub struct Call {
    /// The caller's id of this attempt.
    pub id: SmolStr,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// The model it wants.
    pub requested_model: Option<choose::RequestedModel>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
    /// Tokens of the answer, as the caller guesses.
    pub output_hint: Option<u64>,
    /// The prompt's parts, in order.
    pub parts: Vec<PromptPart>,
    /// The caller has the stream's events up to this one.
    pub last_event: Option<u64>,
}

/// What the router adds to a request that it passes on.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedRequest<'a> {
    /// The target that it is meant for; any other refuses it.
    pub target: &'a names::TargetId,
    /// Time that is left for it.
    pub time_left: Duration,
    /// Rank at an engine; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of a target's answer says.
#[derives(data)]
#[derive(Default)]
pub struct ResponseHead {
    /// The target says that it did not run the request and never will.
    pub not_run: bool,
    /// The target vouches for the answer.
    pub signed: bool,
    /// The id of the request that it answers, if it names one.
    pub request: Option<SmolStr>,
    /// The target that answers, if it says who it is.
    pub target: Option<names::TargetId>,
    /// How busy the target is.
    pub load: Option<targets::Load>,
    /// How long the target keeps the connection open unused; none if it does not say.
    pub keep_alive: Option<Duration>,
    /// The target closes the connection after this answer.
    pub closes_connection: bool,
}

/// Names and meanings of headers.
pub trait Dialect {
    /// Reads a request's headers.
    fn parse_request(&self, headers: &HeaderMap) -> Call;
    /// Takes out what concerns one connection or is not the caller's to set, and adds the router's.
    fn rewrite_request(&self, headers: &mut HeaderMap, passing: &ForwardedRequest);
    /// Reads the head of an answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;
    /// Takes out of an answer what concerns one connection.
    fn rewrite_response(&self, headers: &mut HeaderMap);
}

/// What is followed in the store.
#[derives(key)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Subject {
    /// The configuration.
    Config,
    /// The targets.
    Targets,
    /// The routers.
    Routers,
}

/// The newest value of one key.
#[derives(wire)]
#[derive(Eq)]
pub struct Record {
    /// The key.
    pub key: SmolStr,
    /// Its value; none if it was dropped.
    pub value: Option<Bytes>,
    /// Its place in the subject's history.
    pub offset: u64,
}

/// Records of a subject in order.
#[derives(wire)]
#[derive(Default, Eq)]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// Where to go on.
    pub next: u64,
    /// All keys are in it: what is not is gone.
    pub whole: bool,
}

/// What a record says, in the system's own terms.
#[derives(data)]
pub enum Update {
    /// The configuration in force.
    Config(Arc<config::Config>),
    /// A target registered, or renewed its entry.
    Target(targets::Entry),
    /// A target's entry was removed.
    TargetRemoved(names::TargetId),
    /// A router is there.
    Router(RouterEntry),
    /// A router has stopped.
    RouterRemoved(SmolStr),
}

/// Where a router is reached by its peers.
#[derives(wire)]
#[derive(Eq)]
pub struct RouterEntry {
    /// Its name.
    pub router: SmolStr,
    /// Address and port for datagrams and transfers.
    pub addr: std::net::SocketAddr,
}

/// A call to the store that failed.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum StoreError {
    /// the store no longer has the records after offset {0}: take the newest of each key instead
    Compacted(u64),
    /// the store answered {0}: wait, the call is repeated with pauses
    Refused(u16),
    /// the store cannot be reached ({0}): check `platform.address`, or wait, the call is repeated
    Unreachable(String),
    /// nothing came from the store for {0} ms: wait, the call is repeated on another connection
    TimedOut(u64),
    /// the store's answer cannot be read ({0}): check that `platform.address` is the store
    Malformed(String),
}

impl std::error::Error for StoreError {}

/// A record that cannot be used.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum RecordError {
    /// `{key}` cannot be read ({reason}): it was left out, what was in force before stays
    Unreadable {
        /// Its key.
        key: SmolStr,
        /// What is wrong.
        reason: String,
    },
}

impl std::error::Error for RecordError {}

/// How a read of the store is waited for.
#[derive(Clone, Debug)]
pub struct ReadOptions {
    /// Longest time that the store waits for news.
    pub wait: Duration,
    /// Time beyond that after which a store that says nothing is given up, also in the middle of an
    /// answer. An answer that comes, however slowly, is not.
    pub idle_timeout: Duration,
    /// Told of each part of the answer.
    pub last_received: client::LastReceived,
}

/// The deployment's store.
pub trait Store {
    /// The newest record of each key of a subject.
    fn newest(
        &self,
        subject: Subject,
        waiting: &ReadOptions,
    ) -> impl Future<Output = Result<Page, StoreError>>;
    /// Records from an offset on; waits for the first.
    fn read(
        &self,
        subject: Subject,
        from: u64,
        waiting: &ReadOptions,
    ) -> impl Future<Output = Result<Page, StoreError>>;
    /// Tells other routers of this one.
    fn announce(&self, entry: &RouterEntry) -> impl Future<Output = Result<(), StoreError>>;
    /// Tells other routers that this one has stopped.
    fn withdraw(&self, router: &str) -> impl Future<Output = Result<(), StoreError>>;
    /// What a record says; none if it is of no interest.
    ///
    /// # Errors
    ///
    /// A record that is not as it should be, which may be somebody else's.
    fn decode(&self, subject: Subject, record: &Record) -> Result<Option<Update>, RecordError>;
}

/// An engine's own account of itself.
#[derives(data)]
pub struct EngineReport {
    /// Its start, in Unix milliseconds, if it says so.
    pub started_at_ms: Option<u64>,
    /// What it holds.
    pub holdings: targets::Holdings,
    /// Whether it is carrying out an order for a model.
    pub busy: bool,
    /// Adapters that are on their way to it.
    pub adapters_loading: usize,
    /// How busy it is.
    pub load: targets::Load,
}

/// What an engine said to an order.
#[derives(key)]
pub enum CommandOutcome {
    /// It carries it out.
    Accepted,
    /// It holds already, or was carried out at once.
    Done,
    /// Another order is under way, or its state has moved on.
    Conflict,
    /// It is not the engine that the order was meant for.
    OtherEngine,
    /// It will not do it.
    Rejected(u16),
    /// It could not be reached; the order was not sent.
    NotSent,
    /// It did not answer: it may carry the order out now, later or never.
    Unknown,
}

/// An order with what makes it safe.
#[derive(Clone, Copy, Debug)]
pub struct GuardedCommand<'a> {
    /// The engine that it is meant for.
    pub target: &'a names::TargetId,
    /// The order.
    pub command: &'a corianderstand_fleet::reconcile::Command,
    /// Orders that the engine had accepted when this one was worked out.
    pub commands_accepted: u64,
}

/// Why an engine gave no account of itself.
#[derive(Debug, Display)]
pub enum ReportError {
    /// its process has ended: {0}
    Ended(client::CallError),
    /// {0}
    Call(client::CallError),
    /// it answered {0}
    Status(StatusCode),
    /// its answer cannot be read: {0}
    Unreadable(String),
}

impl std::error::Error for ReportError {}

/// The engine beside an agent.
pub trait EngineApi {
    /// Asks for its account of itself.
    ///
    /// # Errors
    ///
    /// See [`ReportError`].
    fn report(&self) -> impl Future<Output = Result<EngineReport, ReportError>>;
    /// Asks for its name, which it says at this path; none if it does not say it.
    ///
    /// # Errors
    ///
    /// The call was not answered.
    fn name(
        &self,
        path: &str,
    ) -> impl Future<Output = Result<Option<names::TargetId>, client::CallError>>;
    /// Gives it an order.
    fn execute(&self, order: GuardedCommand) -> impl Future<Output = CommandOutcome>;
}
