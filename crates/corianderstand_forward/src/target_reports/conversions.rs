//! Conversions between reports and their form on the wire.

use super::Report;
use corianderstand_fleet::{
    crashes,
    fingerprint::{Feature, Fingerprint, PartId},
    targets,
};
use corianderstand_schema::peers as wire;
use smol_str::SmolStr;
use std::time::{Duration, Instant};

/// The message with some reports.
pub fn to_update(now: Instant, reports: &[Report]) -> wire::TargetReports {
    let mut update =
        wire::TargetReports { crashes: Vec::new(), successes: Vec::new(), limits: Vec::new() };
    for report in reports {
        match report {
            Report::Crash(crash) => update.crashes.push(to_wire(now, crash, true)),
            Report::Suspicion(crash) => update.crashes.push(to_wire(now, crash, false)),
            Report::Success(success) => update.successes.push(wire::FeatureSuccess {
                feature: from_feature(success.feature),
                ago_ms: to_millis(now.saturating_duration_since(success.at)),
            }),
            Report::Limit(target, limit) => update.limits.push(wire::TargetLimit {
                target: target.clone(),
                limited: limit.is_some(),
                per_1000_s: limit.map_or(0, |per_s| (per_s * 1_000.0) as u32),
            }),
        }
    }
    update
}

fn to_wire(now: Instant, crash: &crashes::Crash, confirmed: bool) -> wire::TargetCrash {
    let part = |accused: &crashes::AccusedPart| wire::AccusedPart {
        part: accused.part.0,
        position: accused.position,
    };
    wire::TargetCrash {
        request: from_fingerprint(crash.fingerprint),
        parts: crash.parts.iter().map(part).collect(),
        target: crash.target.id.clone(),
        born: crash.target.started_at_ms,
        ran_ms: to_millis(crash.ended_at.saturating_duration_since(crash.sent_at)),
        ended_ms: to_millis(now.saturating_duration_since(crash.ended_at)),
        survived_ms: to_millis(crash.survived),
        observer: crash.observer.as_str().into(),
        confirmed,
    }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// None if the end is too long ago to be represented.
pub fn to_crash(now: Instant, crash: wire::TargetCrash) -> Option<crashes::Crash> {
    let ended_at = now.checked_sub(Duration::from_millis(u64::from(crash.ended_ms)))?;
    let sent_at = ended_at.checked_sub(Duration::from_millis(u64::from(crash.ran_ms)))?;
    let part = |accused: &wire::AccusedPart| crashes::AccusedPart {
        part: PartId(accused.part),
        position: accused.position,
    };
    Some(crashes::Crash {
        fingerprint: to_fingerprint(&crash.request),
        parts: crash.parts.iter().map(part).collect(),
        target: targets::Incarnation { id: crash.target, started_at_ms: crash.born },
        sent_at,
        ended_at,
        survived: Duration::from_millis(u64::from(crash.survived_ms)),
        observer: SmolStr::new(crash.observer.as_str()),
    })
}

/// None if the success is too long ago to be represented.
pub fn to_success(now: Instant, success: &wire::FeatureSuccess) -> Option<crashes::Success> {
    let at = now.checked_sub(Duration::from_millis(u64::from(success.ago_ms)))?;
    let feature = match &success.feature {
        wire::Feature::Request(fingerprint) => Feature::Request(to_fingerprint(fingerprint)),
        wire::Feature::Part(part) => Feature::Part(PartId(*part)),
    };
    Some(crashes::Success { feature, at })
}

const fn from_feature(feature: Feature) -> wire::Feature {
    match feature {
        Feature::Request(fingerprint) => wire::Feature::Request(from_fingerprint(fingerprint)),
        Feature::Part(part) => wire::Feature::Part(part.0),
    }
}

const fn from_fingerprint(fingerprint: Fingerprint) -> wire::RequestFingerprint {
    wire::RequestFingerprint { high: (fingerprint.0 >> 64) as u64, low: fingerprint.0 as u64 }
}

fn to_fingerprint(fingerprint: &wire::RequestFingerprint) -> Fingerprint {
    let (high, low) = (u128::from(fingerprint.high), u128::from(fingerprint.low));
    Fingerprint(high << 64 | low)
}
