//! HTTP forwarding by route: requests are sent to targets unchanged, and responses are streamed back.
//!
//! A [`router`] runs on each entry host. It accepts requests ([`server`]), selects a target for each
//! using `corianderstand_fleet` ([`exchange`], [`waiting`], [`prefill`] and [`attempt`]), and relays the
//! response ([`relay`]) over pooled connections ([`pool`]); a stream whose target ends may go on from a
//! copy ([`copies`]). An [`agent`] runs beside each engine and
//! alone sends it commands. State comes from the deployment's store ([`follow`]) and from other
//! processes ([`peers`]). Wire names are specific to a platform and supplied by the traits of
//! [`dialect`].
//!
//! Each process is single-threaded, so that relaying an event needs no cross-thread wake-up.

pub mod admission;
pub mod agent;
pub mod answer;
pub mod attempt;
pub mod body;
pub mod body_end;
pub mod broadcast;
pub mod catch_up;
pub mod client;
pub mod close_delimited;
pub mod config_proof;
pub mod content;
pub mod continuations;
pub mod control;
pub mod copies;
pub mod decisions;
pub mod dialect;
pub mod ended_targets;
pub mod eras;
pub mod exchange;
pub mod follow;
pub mod hedge;
pub mod hubs;
pub mod job;
pub mod metrics;
pub mod pacing;
pub mod peers;
pub mod pending;
pub mod planning;
pub mod pool;
pub mod precedence;
pub mod prefill;
pub mod quotas;
pub mod readers;
pub mod relay;
pub mod replicated_records;
pub mod replies;
pub mod request_slots;
pub mod resume;
pub mod retries;
pub mod rooms;
pub mod router;
pub mod server;
pub mod silent_routers;
pub mod status;
pub mod stream;
pub mod suspicion;
pub mod target_feedback;
pub mod target_reports;
pub mod transfer;
pub mod view;
pub mod waiting;
pub mod write_timeout;
