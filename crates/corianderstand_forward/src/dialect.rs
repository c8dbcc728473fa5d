//! Traits that a platform adapter implements: header names, and calls to the store and to engines.

use crate::{client, continuations};
use bytes::Bytes;
use corianderstand_derives::derives;
use corianderstand_fleet::{choose, config, fingerprint, streams, targets, workspaces};
use corianderstand_types::{
    names,
    position::{Era, Position},
};
use displaydoc::Display;
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

/// A part of a prompt that other requests may share.
#[derives(key)]
pub struct PromptPart {
    /// Identity of the part itself; the cache joins it with those before it.
    pub id: fingerprint::PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// The credential that a request carries.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum RequestCredential {
    /// None.
    #[default]
    Absent,
    /// One that no workspace can hold, or more than one.
    Malformed,
    /// One that may belong to a workspace.
    Present(workspaces::Credential),
}

/// The parsed headers of a request.
#[derives(data)]
#[derive(Default)]
pub struct RequestHead {
    /// The caller's request id.
    pub id: SmolStr,
    /// The caller's timeout.
    pub caller_timeout: Option<Duration>,
    /// The requested model and adapter.
    pub requested_model: Option<choose::RequestedModel>,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Limit of output tokens; 0 for none.
    pub max_output_tokens: u64,
    /// Whether the request states its tokens.
    pub has_token_counts: bool,
    /// The caller's credential.
    pub credential: RequestCredential,
    /// The caller's estimate of output tokens.
    pub output_hint: Option<u64>,
    /// The prompt's parts, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Id of the request that brought the first event of the stream that it resumes.
    pub resumes: Option<SmolStr>,
}

impl RequestHead {
    /// The parts that other requests may share: all but the last, which is the request's own.
    pub fn shared_parts(&self) -> impl Iterator<Item = fingerprint::PartId> {
        let shared = self.prompt_parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id)
    }

    /// Tokens of the prompt and the longest response, if the request states them.
    pub const fn token_count(&self) -> Option<u64> {
        if !self.has_token_counts {
            return None;
        }
        Some(self.prompt_tokens.saturating_add(self.max_output_tokens))
    }
}

/// Where a copy of the KV cache of a run is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CopySource<'a> {
    /// Address of the engine that keeps it.
    pub addr: SocketAddr,
    /// Id of the request whose run it is a copy of.
    pub run: &'a str,
}

/// What the router adds to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardedRequest<'a> {
    /// Id of the intended target; a target with another id rejects the request.
    pub target: &'a names::TargetId,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Priority in the engine's queue; 0 is the highest.
    pub priority: Option<u8>,
    /// The caller's workspace, if the request needs a credential.
    pub workspace: Option<&'a names::WorkspaceId>,
    /// How far the stream has come; none if the route does not stream.
    pub progress: Option<&'a continuations::Progress>,
    /// Address of the engine that is to keep a copy of the run's KV cache.
    pub copy_to: Option<SocketAddr>,
    /// The copy from which the target goes on.
    pub copy_from: Option<CopySource<'a>>,
}

/// The parsed head of a target's response.
#[derives(data)]
#[derive(Default)]
pub struct ResponseHead {
    /// Whether the target did not run the request and never will.
    pub not_run: bool,
    /// Whether the target signed the response.
    pub is_signed: bool,
    /// Id of the answered request.
    pub request_id: Option<SmolStr>,
    /// Id of the responding target.
    pub target: Option<names::TargetId>,
    /// Load of the target.
    pub load: Option<targets::Load>,
    /// Requests per second that the target takes from all routers together, if it names a limit.
    pub request_limit: Option<f64>,
    /// Time for which the target wants no requests from this router, if it asks for rest.
    pub rest: Option<Duration>,
    /// Whether the target says that it is leaving.
    pub is_leaving: bool,
    /// The target's keep-alive time.
    pub keep_alive: Option<Duration>,
    /// Whether the target closes the connection after this response.
    pub closes_connection: bool,
}

/// Translates headers.
pub trait Dialect {
    /// Parses the headers of a request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestHead;
    /// Removes hop-by-hop headers and those that callers may not set, and adds the router's.
    fn rewrite_request(&self, headers: &mut HeaderMap, forwarded: &ForwardedRequest);
    /// Removes the caller's credential.
    fn remove_credential(&self, headers: &mut HeaderMap);
    /// Parses the head of a response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;
    /// Removes hop-by-hop headers from a response.
    fn rewrite_response(&self, headers: &mut HeaderMap);
}

/// A kind of records in the store.
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

/// The latest value of a key.
#[derives(data)]
#[derive(Eq)]
pub struct Record {
    /// The key.
    pub key: SmolStr,
    /// The value, or none if the key was deleted.
    pub value: Option<Bytes>,
    /// Its position in the subject's log.
    pub position: Position,
}

/// Records of a subject, in order.
#[derives(data)]
#[derive(Default, Eq)]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// Where the next read starts; names the era of the store that returned the page.
    pub next: Position,
    /// Whether the page contains every key of the subject, so that absent keys were deleted.
    pub whole: bool,
    /// Whether the store had no further records when it responded; false for a peer's page.
    pub reaches_end: bool,
}

/// A decoded record.
#[derives(data)]
pub enum Update {
    /// A new configuration.
    Config(Arc<config::Config>),
    /// A target registered or renewed its entry.
    Target(targets::Entry),
    /// A target's entry was removed.
    TargetRemoved(names::TargetId),
    /// A router was announced.
    Router(RouterEntry),
    /// A router was withdrawn.
    RouterRemoved(SmolStr),
}

/// A router's address for its peers.
#[derives(wire)]
#[derive(Eq)]
pub struct RouterEntry {
    /// The router's name.
    pub router: SmolStr,
    /// Address for datagrams and transfers.
    pub addr: SocketAddr,
    /// Its availability zone; none in entries of older versions.
    #[serde(default)]
    pub zone: Option<names::AvailabilityZoneId>,
    /// Its processor capacity, in thousandths of a core.
    #[serde(default)]
    pub strength: u32,
    /// Whether others don't hear it: it has to announce itself again.
    #[serde(default)]
    pub is_suspected: bool,
    /// The software versions that services had lately, as far as the router states them.
    #[serde(default)]
    pub versions: streams::RecentVersions,
}

/// Why a call to the store failed.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum StoreError {
    /// the store has no records before offset {0}, or has gone back: the newest of each key are read instead
    Compacted(u64),
    /// the response is of era {0}, and the store has come back from an older copy since: the call is repeated
    Outdated(Era),
    /// the store returned status {0}: wait, the call is retried with backoff
    Refused(u16),
    /// the store cannot be reached ({0}): check `platform.address`, or wait, the call is retried
    Unreachable(String),
    /// no data received from the store for {0} ms: wait, the call is retried on another connection
    TimedOut(u64),
    /// the store's response cannot be decoded ({0}): check that `platform.address` is the store
    Malformed(String),
}

impl std::error::Error for StoreError {}

/// Why a record was skipped.
#[derive(Clone, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum RecordError {
    /// `{key}` cannot be decoded ({reason}): it was skipped, the previous value stays in force
    Unreadable {
        /// The record's key.
        key: SmolStr,
        /// The decoding error.
        reason: String,
    },
}

impl std::error::Error for RecordError {}

/// Timeouts of a read from the store.
#[derive(Clone, Debug)]
pub struct ReadOptions {
    /// Longest time that the store waits for a new record.
    pub long_poll_wait: Duration,
    /// Longest gap between two parts of the response, the first counted after `long_poll_wait`.
    pub idle_timeout: Duration,
    /// Updated with each part of the response.
    pub last_received: client::LastReceived,
}

/// The deployment's store.
pub trait Store {
    /// Reads the newest record of each key of a subject.
    fn newest(
        &self,
        subject: Subject,
        options: &ReadOptions,
    ) -> impl Future<Output = Result<Page, StoreError>>;
    /// Reads records from an offset on, in whichever era the store is; waits for the first.
    fn read(
        &self,
        subject: Subject,
        start_offset: u64,
        options: &ReadOptions,
    ) -> impl Future<Output = Result<Page, StoreError>>;
    /// The highest era that any of the store's responses named, errors included.
    fn era(&self) -> Era;
    /// Writes a router's entry: this one's, or that of one that is not heard.
    fn announce(&self, entry: &RouterEntry) -> impl Future<Output = Result<(), StoreError>>;
    /// Withdraws a router's announcement.
    fn withdraw(&self, router: &str) -> impl Future<Output = Result<(), StoreError>>;
    /// Decodes a record; none if it is not relevant.
    fn decode(&self, subject: Subject, record: &Record) -> Result<Option<Update>, RecordError>;
}

/// An engine's report of its state.
#[derives(data)]
pub struct EngineReport {
    /// Start of the process in Unix milliseconds, if reported.
    pub started_at_ms: Option<u64>,
    /// Resident models and cached weights.
    pub holdings: targets::Holdings,
    /// Whether the engine is loading or unloading a model.
    pub is_executing_command: bool,
    /// Number of adapters that are being loaded.
    pub adapters_loading: usize,
    /// Capacity of the KV cache in tokens; 0 if not reported.
    pub cache_tokens: u64,
    /// Load of the engine.
    pub load: targets::Load,
}

/// Result of sending a command to an engine.
#[derives(key)]
pub enum CommandOutcome {
    /// The engine executes the command.
    Accepted,
    /// The engine is already in the requested state, or executed the command at once.
    Done,
    /// Another command is executing, or the engine's state has changed.
    Conflict,
    /// The command was meant for another engine.
    OtherEngine,
    /// The engine rejected the command with this status.
    Rejected(u16),
    /// The command was not sent.
    NotSent,
    /// No response: the command may be executed now, later or never.
    Unknown,
}

/// A command with the preconditions that the engine checks.
#[derive(Clone, Copy, Debug)]
pub struct GuardedCommand<'a> {
    /// The intended engine.
    pub target: &'a names::TargetId,
    /// The command.
    pub command: &'a corianderstand_fleet::reconcile::Command,
    /// Number of commands that the engine had accepted when this one was planned.
    pub commands_accepted: u64,
}

/// Why an engine's report could not be read.
#[derive(Debug, Display)]
pub enum ReportError {
    /// the process has exited: {0}
    Exited(client::CallError),
    /// {0}
    Call(client::CallError),
    /// the engine returned status {0}
    Status(StatusCode),
    /// the response cannot be decoded: {0}
    Unreadable(String),
}

impl std::error::Error for ReportError {}

/// The engine beside an agent.
pub trait EngineApi {
    /// Requests the engine's report.
    fn report(&self) -> impl Future<Output = Result<EngineReport, ReportError>>;
    /// Requests the engine's name from a path; none if it is not stated.
    fn name(
        &self,
        path: &str,
    ) -> impl Future<Output = Result<Option<names::TargetId>, client::CallError>>;
    /// Sends a command.
    fn execute(&self, command: GuardedCommand) -> impl Future<Output = CommandOutcome>;
}
