//! Workspaces, their credentials and the priority of their requests.

use corianderstand_fleet::{
    config,
    workspaces::{CostUnit, Credential, Directory, Workspace},
};
use std::sync::Arc;

fn directory(priorities: &[u8], route_priorities: &[u8]) -> Directory {
    let workspaces = priorities.iter().enumerate().map(|(index, priority)| Workspace {
        name: format!("w{index}").as_str().into(),
        credentials: vec![Credential::new(format!("key-{index}").as_bytes())],
        priority: *priority,
        quota: None,
    });
    let route =
        |priority: &u8| Arc::new(config::Route { priority: *priority, ..Default::default() });
    let routes: Vec<_> = route_priorities.iter().map(route).collect();
    Directory::new(workspaces.collect(), &routes)
}

#[test]
fn a_credential_finds_its_workspace() {
    let directory = directory(&[1, 2], &[0]);
    let found = directory.find(&Credential::new(b"key-1")).unwrap();
    assert_eq!(found.name.as_str(), "w1");
    assert!(directory.find(&Credential::new(b"key-")).is_none());
    assert!(!format!("{directory:?}").contains("key-"), "keys are in no debug output");
}

#[test]
fn the_workspaces_priority_counts_before_the_routes() {
    let directory = directory(&[1, 2, 1], &[2, 0, 1]);
    let ranks: Vec<u8> = [(1, 0), (1, 1), (1, 2), (2, 0), (2, 1), (2, 2)]
        .map(|(workspace, route)| directory.priority(workspace, route))
        .to_vec();
    assert_eq!(ranks, [0, 1, 2, 3, 4, 5]);
}

/// Guards against ranks beyond those that an engine knows.
#[test]
fn many_priorities_share_the_ranks_of_an_engine() {
    let directory = directory(&[0, 1, 2, 3, 4, 5], &[0, 1, 2, 3, 4, 5]);
    let rank = |workspace, route| directory.priority(workspace, route);
    assert_eq!((rank(0, 0), rank(5, 5)), (0, 9));
    assert!(rank(1, 5) <= rank(2, 0));
}

#[test]
fn a_request_without_token_counts_costs_the_default() {
    assert_eq!(CostUnit::Token { default: 200 }.cost(None), 200);
    assert_eq!(CostUnit::Token { default: 200 }.cost(Some(1_460)), 1_460);
    assert_eq!(CostUnit::Request.cost(Some(1_460)), 1);
}
