//! Ways to choose other than the product's.

use super::{Play, Rule, SLOTS};
use corianderstand_fleet::{
    choose::{self, by_time},
    predict, targets,
};
use std::time::Instant;

impl Play<'_> {
    pub(super) fn choose_otherwise(
        &self,
        at: Instant,
        known: &targets::Targets,
        query: &choose::Query,
        work: &predict::Work,
    ) -> Option<targets::TargetKey> {
        let requested = query.requested.unwrap();
        let holders: Vec<choose::Holder> = known
            .iter()
            .filter(|(_, target)| {
                target.serves(at, &requested.model) && target.estimated_requests(at) < SLOTS
            })
            .collect();
        let candidates = by_time::candidates(at, &holders, query, work);
        let best = candidates.iter().map(|candidate| candidate.grade).min()?;
        let mut of_grade: Vec<_> =
            candidates.iter().filter(|candidate| candidate.grade == best).collect();
        of_grade.sort_by(|a, b| a.position().total_cmp(&b.position()));
        let cost = |candidate: &&&by_time::Candidate| candidate.cost();
        let by_cost =
            |a: &&&by_time::Candidate, b: &&&by_time::Candidate| cost(a).total_cmp(&cost(b));
        let by_load = |a: &&&by_time::Candidate, b: &&&by_time::Candidate| {
            (a.load + a.penalty).total_cmp(&(b.load + b.penalty))
        };
        let chosen = match self.rule {
            Rule::LeastTime => of_grade.iter().min_by(by_cost),
            Rule::TwoByTime => of_grade.iter().take(2).min_by(by_cost),
            Rule::TwoByLoad => of_grade.iter().take(2).min_by(by_load),
            _ => of_grade.first(),
        };
        chosen.map(|candidate| candidate.key)
    }
}
