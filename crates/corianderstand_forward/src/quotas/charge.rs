//! What a request has spent from the quota of its workspace.

use crate::router;
use corianderstand_types::names;
use std::{cell::Cell, rc::Rc};

/// The cost of a request, returned unless the request was sent.
pub struct Charge<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    workspace: names::WorkspaceId,
    cost: u64,
    is_sent: Cell<bool>,
}

impl<P: router::Platform> Charge<P> {
    /// The cost that a request of a workspace has spent.
    pub fn new(shared: &Rc<router::Shared<P>>, workspace: &names::WorkspaceId, cost: u64) -> Self {
        Self {
            shared: shared.clone(),
            workspace: workspace.clone(),
            cost,
            is_sent: Cell::new(false),
        }
    }

    /// Records whether the request may have reached a target that runs it.
    pub fn set_sent(&self, is_sent: bool) {
        self.is_sent.set(is_sent);
    }
}

impl<P: router::Platform> Drop for Charge<P> {
    fn drop(&mut self) {
        if !self.is_sent.get() {
            self.shared.quotas.accounts.borrow_mut().refund(&self.workspace, self.cost);
        }
    }
}
