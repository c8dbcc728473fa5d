//! Seeds of runs: those named by the user, and those of past failures.

/// Seeds of past failures, each with its cause.
const KEPT: &str = include_str!("../kept.txt");

/// Kind of the runs that a seed is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RunKind {
    /// One zone.
    Plain,
    /// Several zones.
    Zones,
    /// A part of prompts ends engines, and routers are flooded.
    Parts,
    /// All engines turn requests away beside faults of the routers.
    Bursts,
    /// Targets say in their answers that they leave or ask for rest.
    Answers,
    /// As with bursts, beside datagrams between routers that are lost.
    Cuts,
    /// Several zones, and a store that goes back to older copies.
    Copies,
    /// Second requests are sent, beside targets that are slow or send bytes without end.
    Hedges,
}

impl RunKind {
    /// What the lines of its seeds begin with.
    const fn prefix(self) -> &'static str {
        match self {
            Self::Plain => "",
            Self::Zones => "zones ",
            Self::Parts => "parts ",
            Self::Bursts => "bursts ",
            Self::Answers => "answers ",
            Self::Cuts => "cuts ",
            Self::Copies => "copies ",
            Self::Hedges => "hedges ",
        }
    }

    fn of_line(line: &str) -> Self {
        use RunKind::{Answers, Bursts, Copies, Cuts, Hedges, Parts, Zones};
        let prefixed = [Zones, Parts, Bursts, Answers, Cuts, Copies, Hedges];
        prefixed.into_iter().find(|kind| line.starts_with(kind.prefix())).unwrap_or(Self::Plain)
    }
}

/// The seeds of past failures in runs of a kind.
pub fn kept(kind: RunKind) -> Option<Vec<u64>> {
    let lines = KEPT.lines().filter(|line| !line.starts_with('#'));
    let lines = lines.filter(|line| RunKind::of_line(line) == kind);
    let seeds = lines.filter_map(|line| line.strip_prefix(kind.prefix()));
    seeds.map(|line| line.split_whitespace().next()?.parse().ok()).collect()
}

/// Parses a seed or a range of seeds; draws one if there is none.
pub fn parse(text: Option<&str>) -> Option<Vec<u64>> {
    let Some(text) = text else { return Some(vec![rand::random_range(1_000..1_000_000)]) };
    match text.split_once('-') {
        None => Some(vec![text.parse().ok()?]),
        Some((first, last)) => Some((first.parse().ok()?..=last.parse().ok()?).collect()),
    }
}
