//! The queue of a keeper: bounds, absurd input, and what a choice costs.

use corianderstand_fleet::quota::{
    Claim, ClaimSource, Ordered, Part, Tolerance, Waiter,
    lanes::{Kind, Lanes, Place},
    ledger::{Ledger, Terms},
};
use corianderstand_fleet::workspaces::{CostUnit, Quota};
use corianderstand_room::order;
use rstest::rstest;
use std::time::{Duration, Instant};

/// The whole of a quota.
const fn whole<'a>(quota: &'a Quota, tolerance: &'a Tolerance) -> Terms<'a> {
    Terms { quota, tolerance, part: Part::WHOLE }
}

fn waiter(id: u64, cost: u64) -> Waiter {
    Waiter {
        id,
        cost,
        rank: (id % 256) as u8,
        objective: Duration::from_millis(id * 7 % 5_000),
        expiry: Duration::from_millis(u32::MAX.into()),
        key: id,
    }
}

fn claim(waiters: Vec<Waiter>) -> Claim {
    let ordered = Ordered { is_asking: true, waiters, ..Ordered::default() };
    Claim {
        workspace: "w".into(),
        spent: 0,
        held: 0,
        first: 0,
        needed: 0,
        ahead: 0,
        per_s: 0,
        ordered,
    }
}

/// Guards against a quota or a cost that stops the keeper: zero, absurd, or no number.
#[rstest]
fn absurd_figures_stop_nothing(
    #[values(0.0, -1.0, 1.0, 1e300, f64::INFINITY, f64::NAN)] per_s: f64,
    #[values(0.0, -1.0, 1.0, 1e300, f64::INFINITY, f64::NAN)] burst: f64,
) {
    let start = Instant::now();
    let quota = Quota { per_s, burst, unit: CostUnit::Request };
    let tolerance = Tolerance::default();
    let mut ledger = Ledger::default();
    for (sequence, cost) in [0, 1, 1_000, u64::MAX, u64::MAX].into_iter().enumerate() {
        let now = start + Duration::from_secs(5 + 2 * sequence as u64);
        let sequence = sequence as u64 + 1;
        let source = ClaimSource { router: "r".into(), incarnation: 1, sequence };
        let waiters = (0..8).map(|id| waiter(sequence * 8 + id, cost)).collect();
        let grant =
            ledger.claim(now, start, &whole(&quota, &tolerance), &source, &claim(waiters)).unwrap();
        if !(per_s > 0.0 || burst > 0.0) {
            assert!(grant.granted == 0, "{grant:?}");
        }
    }
}

/// Guards against a choice that takes longer the more requests wait.
#[test]
fn a_choice_from_many_costs_as_much_as_one_from_few() {
    const CHOICES: u32 = 20_000;
    let now = Instant::now();
    let time_of_choice = |waiting: u64| {
        let mut lanes = Lanes::default();
        let place = |number: u64| {
            let patience = Duration::from_millis([100, 850, 4_850][(number % 3) as usize]);
            let claim = order::Claim {
                rank: (number % 3) as u8,
                cost: 1_000,
                arrived_at: now,
                objective_at: now + patience + Duration::from_micros(number),
                expires_at: now + 4 * patience,
            };
            Place::new(Kind::new(claim.rank, patience), &claim, None, number)
        };
        for number in 0..waiting {
            lanes.record_demand(now, place(number).kind, 1_000);
            lanes.insert(now, place(number), 1_000);
        }
        let began = Instant::now();
        for number in waiting..waiting + u64::from(CHOICES) {
            let chosen = lanes.next(now, true).unwrap();
            lanes.record_granted(now, place(chosen), 1_000);
            lanes.remove(place(chosen));
            lanes.insert(now, place(number), 1_000);
        }
        began.elapsed() / CHOICES
    };
    let fastest = |waiting| (0..5).map(|_| time_of_choice(waiting)).min().unwrap();
    let (few, many) = (fastest(100), fastest(10_000));
    println!("{few:?} from 100, {many:?} from 10,000");
    let limit = if cfg!(debug_assertions) { 50 } else { 5 };
    assert!(many <= Duration::from_micros(limit), "{many:?}");
    assert!(many <= 3 * few + Duration::from_micros(1), "{few:?} from 100, {many:?} from 10,000");
}

/// Guards against memory that grows with what routers name.
#[test]
fn what_waits_is_bounded() {
    let start = Instant::now();
    let quota = Quota { per_s: 1e9, burst: 1.0, unit: CostUnit::Request };
    let mut ledger = Ledger::default();
    let now = start + Duration::from_secs(5);
    let source = |sequence| ClaimSource { router: "r".into(), incarnation: 1, sequence };
    let waiters =
        (0..30_000).map(|id| Waiter { objective: Duration::from_secs(60), ..waiter(id, 1) });
    let claim = claim(waiters.collect());
    let grant = ledger
        .claim(now, start, &whole(&quota, &Tolerance::default()), &source(1), &claim)
        .unwrap();
    assert!(grant.answers.len() <= 100, "{} answers in one datagram", grant.answers.len());
}
