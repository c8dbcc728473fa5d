//! Forwarding by route: callers' requests go to targets over HTTP, unchanged, and answers come back
//! as they are made.
//!
//! A [`router`] stands on each entry host. It takes requests ([`server`]), finds a target for each
//! ([`exchange`], [`waiting`], [`prefill`] and [`attempt`], which ask the decisions of
//! `corianderstand_fleet`), and passes the answer on ([`relay`]) over connections that it keeps ([`pool`]). An [`agent`] stands beside each engine and
//! alone gives it orders. What they believe comes from the deployment's store ([`follow`]) and from
//! one another ([`peers`]). The wire names of a platform are not known here: they come through the
//! traits of [`dialect`].
//!
//! One thread serves in each process, with all of its state in it: an event of a stream passes
//! through without being handed from thread to thread, each of which would cost a wake-up.

pub mod agent;
pub mod attempt;
pub mod body;
pub mod catch_up;
pub mod client;
pub mod control;
pub mod decisions;
pub mod dialect;
pub mod exchange;
pub mod follow;
pub mod job;
pub mod metrics;
pub mod peers;
pub mod planning;
pub mod pool;
pub mod prefill;
pub mod readers;
pub mod relay;
pub mod replicated_records;
pub mod router;
pub mod server;
pub mod stream;
pub mod transfer;
pub mod view;
pub mod waiting;
