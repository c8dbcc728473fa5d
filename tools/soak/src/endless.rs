//! Targets that are late or send bytes without end, and the memory of the routers that read them.

use crate::{
    cluster::Cluster,
    faults::{Fault, draw_fault},
    proxy::Mode,
};
use corianderstand_platform_standins::target::endless::{Endless, Speed};
use rand::{Rng, RngExt};
use std::{collections::BTreeMap, fs, time::Duration};

const MAX_FAULT_MS: u64 = 2_500;
const MIN_DELAY_MS: u64 = 100;
const MAX_DELAY_MS: u64 = 600;
/// Memory of the smallest host of a router, in MB.
const MAX_ROUTER_MB: usize = 120;
const PEAK_MEMORY_FIELD: &str = "VmHWM:";

/// Draws faults for runs in which targets are late or send bytes without end, beside faults of the routers.
pub fn draw(rng: &mut impl Rng, cluster: &Cluster) -> (Fault, Duration) {
    let router = rng.random_range(0..cluster.routers.len());
    let engine = rng.random_range(0..cluster.engines.len());
    let service = rng.random_range(0..cluster.service_targets.len());
    let speed = if rng.random_bool(0.5) { Speed::Full } else { Speed::Trickle };
    let ratio = rng.random_range(0.2..1.0);
    let endless = Endless { ratio, speed, begins_well: rng.random_bool(0.5) };
    let delay = Duration::from_millis(rng.random_range(MIN_DELAY_MS..MAX_DELAY_MS));
    let fault = match rng.random_range(0..24) {
        0..3 => Fault::ServiceLink(service, Mode::Delay(delay)),
        3..6 => return draw_fault(rng, cluster),
        6..9 => Fault::EndlessService(service, endless),
        9..13 => Fault::EndlessEngine(engine, endless),
        13..15 => Fault::ServiceLink(service, Mode::EndlessHead(speed)),
        15..17 => Fault::EngineLink(engine, Mode::EndlessHead(speed)),
        17 => Fault::CrashService(service),
        18 => Fault::RefuseAll,
        19 => Fault::KillRouter(router),
        20 => Fault::FreezeRouter(router),
        21 => Fault::KillAll,
        _ => return draw_fault(rng, cluster),
    };
    (fault, Duration::from_millis(rng.random_range(300..MAX_FAULT_MS)))
}

/// The most memory that processes have used.
#[derive(Debug, Default)]
pub struct PeakMemory {
    mb_by_router: BTreeMap<String, usize>,
}

impl PeakMemory {
    /// Reads the peaks of the routers that run.
    pub fn observe(&mut self, cluster: &Cluster) {
        for router in &cluster.routers {
            let Some(process) = &router.process else { continue };
            let Some(mb) = peak_mb(process.pid()) else { continue };
            let peak = self.mb_by_router.entry(router.name.clone()).or_default();
            *peak = mb.max(*peak);
        }
    }

    /// The largest one, in MB.
    pub fn largest_mb(&self) -> usize {
        self.mb_by_router.values().copied().max().unwrap_or(0)
    }

    /// A violation if a router used more than its host may have.
    pub fn violation(&self) -> Option<String> {
        let peaks = &self.mb_by_router;
        (self.largest_mb() > MAX_ROUTER_MB)
            .then(|| format!("routers used over {MAX_ROUTER_MB} MB of memory: {peaks:?}"))
    }
}

/// The most memory that a process has used, in MB; none once it has ended.
fn peak_mb(pid: u32) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(PEAK_MEMORY_FIELD))?;
    let kb: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kb >> 10)
}
