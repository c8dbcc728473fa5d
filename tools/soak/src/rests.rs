//! Targets that ask a router for rest: it may send them hardly anything in that time.

use crate::{
    callers::RequestRecord,
    leavings::{Interference, Restart, Scope, engine_index},
};
use corianderstand_platform_standins::ledger::Ledger;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after the answer in which requests may still arrive that were sent before.
const GRACE: Duration = Duration::from_millis(500);
const MAX_ARRIVALS: usize = 2;

/// Checks that a target that asked a router for rest gets hardly any requests from it until the end of that time. A
/// start or a freeze of the router excuses it, and a cut of the link between them.
pub fn check(
    requests: &[RequestRecord],
    ledger: &Ledger,
    restarts: &[Restart],
    interferences: &[Interference],
) -> Vec<String> {
    let routers: BTreeMap<&str, usize> =
        requests.iter().map(|request| (request.id.as_str(), request.router_index)).collect();
    let mut arrivals: BTreeMap<(&str, usize), Vec<Instant>> = BTreeMap::new();
    let all = ledger.arrivals();
    for arrival in &all {
        if let Some(router) = routers.get(arrival.id.as_str()) {
            arrivals.entry((arrival.target.as_str(), *router)).or_default().push(arrival.at);
        }
    }
    let rests = ledger.rests();
    let broken = rests.iter().filter_map(|rest| {
        let router = *routers.get(rest.id.as_str())?;
        let (from, to) = (rest.at + GRACE, rest.at + rest.time);
        let link = engine_index(&rest.target).map(Scope::Engine);
        let is_cut = interferences
            .iter()
            .any(|fault| Some(fault.scope) == link && fault.affects(fault.scope, to));
        let is_excused =
            is_cut || restarts.iter().any(|restart| restart.excuses(router, rest.at, to));
        let sent = arrivals
            .get(&(rest.target.as_str(), router))
            .map_or(0, |arrivals| arrivals.iter().filter(|at| **at >= from && **at <= to).count());
        (sent > MAX_ARRIVALS && !is_excused).then(|| {
            format!(
                "{} had asked router {router} for {:?} of rest and got {sent} requests in it",
                rest.target, rest.time
            )
        })
    });
    broken.collect()
}
