//! What a run plays, by its command-line options.

use crate::{callers::CrashCause, cluster::ClusterSize, seeds};
use getopts::Options;
use std::time::Duration;

const DEFAULT_FAULTS: usize = 8;
const MAX_CONCURRENT_FAULTS: usize = 3;

const DEFAULT_SIZE: ClusterSize = ClusterSize {
    routers: 3,
    engines: 4,
    service_targets: 2,
    zones: 1,
    drain_within: Duration::from_secs(2),
    has_relays: false,
    hedge_percent: 0.0,
};
const LARGE_SIZE: ClusterSize =
    ClusterSize { routers: 20, engines: 39, service_targets: 6, ..DEFAULT_SIZE };
/// Each zone has routers that read the store and others that follow them.
const ZONED_SIZE: ClusterSize = ClusterSize {
    routers: 12,
    engines: 8,
    service_targets: 4,
    zones: 2,
    drain_within: Duration::from_secs(3),
    has_relays: false,
    hedge_percent: 0.0,
};
/// Routers share the retry budget.
const BURSTS_SIZE: ClusterSize = ClusterSize { routers: 5, ..DEFAULT_SIZE };
/// Routers share the retry budget and cannot always hear each other.
const CUTS_SIZE: ClusterSize = ClusterSize { has_relays: true, ..BURSTS_SIZE };
/// Each router sends second requests, and has targets to choose from.
const HEDGES_SIZE: ClusterSize =
    ClusterSize { service_targets: 4, hedge_percent: 10.0, ..DEFAULT_SIZE };
const BURSTS_FAULTS: usize = 24;
const BURSTS_CONCURRENT_FAULTS: usize = 4;
/// As with zones, and routers cannot always hear each other.
const COPIES_SIZE: ClusterSize = ClusterSize { has_relays: true, ..ZONED_SIZE };
const FLOODED_FAULTS: usize = 16;
/// Few engines, whose slots the callers of a surge fill.
const SURGES_SIZE: ClusterSize = ClusterSize { engines: 3, ..DEFAULT_SIZE };
const SURGES_CONCURRENT_FAULTS: usize = 1;
const ZONED_FAULTS: usize = 40;
const ZONED_CONCURRENT_FAULTS: usize = 7;

#[derive(Clone, Copy, Debug)]
pub struct RunPlan {
    pub kind: seeds::RunKind,
    pub size: ClusterSize,
    pub faults: usize,
    pub concurrent_faults: usize,
    /// Why requests end the engines that run them.
    pub cause: CrashCause,
    /// Whether one router after the other gets most new connections.
    pub has_floods: bool,
    /// Whether a workspace asks for several times its usual at times.
    pub has_surges: bool,
}

impl RunPlan {
    pub const fn has_zones(&self) -> bool {
        self.size.zones > 1
    }

    /// Whether some requests end their engines, and an engine limits what it takes.
    pub fn has_special_requests(&self) -> bool {
        !self.has_equal_callers() && !self.has_surges
    }

    /// Whether all requests are alike: no quota, key, limit or crash tells them apart.
    pub fn has_equal_callers(&self) -> bool {
        use seeds::RunKind::{Answers, Bursts, Cuts, Hedges};
        matches!(self.kind, Bursts | Answers | Cuts | Hedges)
    }
}

/// The plan and the seeds that the options name.
pub fn parse(args: &[String]) -> Result<(RunPlan, Vec<u64>), String> {
    let mut options = Options::new();
    options.optopt("", "seeds", "seeds to run, such as 7 or 1-50 (default: a random one)", "A-B");
    options.optflag("", "kept", "run the seeds of past failures");
    options.optflag("", "large", "run the large cluster");
    options.optflag(
        "",
        "zones",
        "run two zones whose targets leave beside faults of their readers",
    );
    options.optflag("", "parts", "engines end under one part of differing prompts");
    options.optflag("", "floods", "one router after the other gets most new connections");
    options.optflag("", "surges", "a workspace asks for several times its usual at times");
    options.optflag(
        "",
        "bursts",
        "all engines turn requests away for short times beside faults of the routers",
    );
    options.optflag(
        "",
        "answers",
        "targets say in their answers that they leave, while the store is away, or ask for rest",
    );
    options.optflag(
        "",
        "cuts",
        "all engines turn requests away for short times while routers cannot hear each other",
    );
    options.optflag("", "copies", "the store goes back to older copies, in two zones");
    options.optflag(
        "",
        "hedges",
        "second requests are sent, beside targets that are slow or send bytes without end",
    );
    options.optopt(
        "",
        "faults",
        "faults per run (default 8, with floods 16, with bursts, answers, cuts or hedges 24, with zones or copies 40)",
        "N",
    );
    let usage = "soak [--seeds A-B] [--kept] [--large] [--zones] [--parts] [--floods] [--surges] [--bursts] [--answers] [--cuts] [--copies] [--hedges]";
    let matches =
        options.parse(args).map_err(|error| format!("{error}\n{}", options.usage(usage)))?;
    let has_copies = matches.opt_present("copies");
    let has_zones = matches.opt_present("zones") || has_copies;
    let has_floods = matches.opt_present("floods");
    let has_surges = matches.opt_present("surges");
    let cause = if matches.opt_present("parts") { CrashCause::Part } else { CrashCause::Body };
    let has_bursts = matches.opt_present("bursts");
    let kind = if has_copies {
        seeds::RunKind::Copies
    } else if has_zones {
        seeds::RunKind::Zones
    } else if has_bursts {
        seeds::RunKind::Bursts
    } else if matches.opt_present("answers") {
        seeds::RunKind::Answers
    } else if matches.opt_present("cuts") {
        seeds::RunKind::Cuts
    } else if matches.opt_present("hedges") {
        seeds::RunKind::Hedges
    } else if cause == CrashCause::Part {
        seeds::RunKind::Parts
    } else {
        seeds::RunKind::Plain
    };
    let seeds = if matches.opt_present("kept") {
        seeds::kept(kind)
    } else {
        seeds::parse(matches.opt_str("seeds").as_deref())
    };
    let seeds = seeds.ok_or("invalid seeds: expected a number or a range, such as 7 or 1-50")?;
    let (size, default_faults, concurrent_faults) = if has_copies {
        (COPIES_SIZE, ZONED_FAULTS, ZONED_CONCURRENT_FAULTS)
    } else if has_zones {
        (ZONED_SIZE, ZONED_FAULTS, ZONED_CONCURRENT_FAULTS)
    } else if kind == seeds::RunKind::Cuts {
        (CUTS_SIZE, BURSTS_FAULTS, BURSTS_CONCURRENT_FAULTS)
    } else if kind == seeds::RunKind::Hedges {
        (HEDGES_SIZE, BURSTS_FAULTS, BURSTS_CONCURRENT_FAULTS)
    } else if has_bursts || kind == seeds::RunKind::Answers {
        (BURSTS_SIZE, BURSTS_FAULTS, BURSTS_CONCURRENT_FAULTS)
    } else if has_surges {
        (SURGES_SIZE, DEFAULT_FAULTS, SURGES_CONCURRENT_FAULTS)
    } else if matches.opt_present("large") {
        (LARGE_SIZE, DEFAULT_FAULTS, MAX_CONCURRENT_FAULTS)
    } else {
        (DEFAULT_SIZE, DEFAULT_FAULTS, MAX_CONCURRENT_FAULTS)
    };
    let default_faults =
        if has_floods { default_faults.max(FLOODED_FAULTS) } else { default_faults };
    let faults = matches.opt_get_default("faults", default_faults).unwrap_or(default_faults);
    let plan = RunPlan { kind, size, faults, concurrent_faults, cause, has_floods, has_surges };
    Ok((plan, seeds))
}
