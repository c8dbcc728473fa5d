//! Finds out whether the keeper that others turn away from has ended.
//!
//! A host whose router ended refuses connections to the router's port. One that is cut off or stands still doesn't answer,
//! and its router may go on granting.

use super::keepers;
use crate::router;
use corianderstand_types::names;
use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};
use tokio::net::TcpStream;

/// Time for a host's answer, across availability zones.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// Asks the first keeper of a workspace, unless it is being asked.
pub(super) fn start<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    workspace: &names::WorkspaceId,
) {
    let first = keepers::of_workspace(shared, workspace).into_iter().next().flatten();
    if let Some(addr) = first
        && shared.quotas.probed.borrow_mut().insert(addr)
    {
        tokio::task::spawn_local(probe(shared.clone(), addr));
    }
}

async fn probe<P: router::Platform>(shared: Rc<router::Shared<P>>, addr: SocketAddr) {
    let asked_at = shared.clock.now();
    let answer = tokio::time::timeout(ANSWER_TIME, TcpStream::connect(addr)).await;
    shared.quotas.probed.borrow_mut().remove(&addr);
    if let Ok(Err(error)) = answer
        && error.kind() == ErrorKind::ConnectionRefused
    {
        tracing::info!(%addr, "the keeper of quotas has ended: its host refuses connections");
        shared.peers.borrow_mut().record_down(asked_at, addr);
        keepers::update(&shared, shared.clock.now());
    }
}
