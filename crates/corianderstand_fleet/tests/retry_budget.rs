//! Retries of several routers, counted over all of them as they reach the targets.

use corianderstand_fleet::budget;
use std::{
    ops::Range,
    time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(10);
const ALLOWANCE: budget::Allowance = budget::Allowance { ratio: 0.2, fixed: 56.0, window: WINDOW };
const ROUTERS: usize = 5;
const REQUESTS_PER_S: u32 = 7;
const TICK: Duration = Duration::from_millis(20);
/// Retries that a router attempts in a tick while all targets fail.
const ATTEMPTS_PER_TICK: usize = 3;

/// A router, and which others it hears.
struct Router {
    budget: budget::Budget,
    share: budget::FixedShare,
    known: usize,
    heard: usize,
    /// Retries that were granted and wait for a target.
    waiting: usize,
}

impl Router {
    fn start(now: Instant, known: usize, heard: usize, is_first: bool) -> Self {
        let share = budget::FixedShare::new(now, is_first);
        Self { budget: budget::Budget::default(), share, known, heard, waiting: 0 }
    }

    /// Reserves a retry, if the budget allows one.
    fn reserves(&mut self, now: Instant) -> bool {
        let seen = budget::RoutersSeen { known: Some(self.known), heard: 1 + self.heard };
        self.share.observe(now, seen, &ALLOWANCE);
        self.budget.reserve(now, &ALLOWANCE, self.share.retries(now, &ALLOWANCE))
    }
}

/// All routers of a deployment, and what reached its targets.
struct Deployment {
    started_at: Instant,
    now: Instant,
    routers: Vec<Router>,
    requests: Vec<Instant>,
    repeats: Vec<Instant>,
    /// Whether retries that are granted wait before they are sent.
    delays_sending: bool,
    requests_per_tick: u32,
    /// The routers that callers send to.
    called: Range<usize>,
}

impl Deployment {
    /// Routers that have run for longer than a window.
    fn running(routers: usize) -> Self {
        let mut deployment = Self::starting(routers);
        deployment.run(WINDOW * 2, false);
        deployment
    }

    /// Routers that start for the first time.
    fn starting(routers: usize) -> Self {
        let started_at = Instant::now();
        Self {
            started_at,
            now: started_at,
            routers: (0..routers)
                .map(|_| Router::start(started_at, routers, routers - 1, true))
                .collect(),
            requests: Vec::new(),
            repeats: Vec::new(),
            delays_sending: false,
            requests_per_tick: 1,
            called: 0..usize::MAX,
        }
    }

    /// Passes requests on for a time; if all targets fail, each router sends as many once more as it may.
    fn run(&mut self, time: Duration, is_failing: bool) {
        let end = self.now + time;
        let ticks_per_request = 1_000 / (REQUESTS_PER_S * TICK.as_millis() as u32);
        while self.now < end {
            self.now += TICK;
            let tick = ((self.now - self.started_at).as_millis() / TICK.as_millis()) as u32;
            for (index, router) in self.routers.iter_mut().enumerate() {
                let is_called =
                    tick.is_multiple_of(ticks_per_request) && self.called.contains(&index);
                let requests = if is_called { self.requests_per_tick } else { 0 };
                for _ in 0..requests {
                    router.budget.earn(self.now, &ALLOWANCE);
                    self.requests.push(self.now);
                }
                let attempts = if is_failing { ATTEMPTS_PER_TICK } else { 0 };
                for _ in 0..attempts {
                    router.waiting += usize::from(router.reserves(self.now));
                }
                if !self.delays_sending {
                    let sent = std::mem::take(&mut router.waiting);
                    (0..sent).for_each(|_| router.budget.record_sent(self.now));
                    self.repeats.extend(std::iter::repeat_n(self.now, sent));
                }
            }
        }
    }

    /// Ends some routers and starts them again: they know nothing and hear all others.
    fn restart(&mut self, count: usize) {
        let (now, known) = (self.now, self.routers.len());
        let restarted = self.routers.iter_mut().take(count);
        restarted.for_each(|router| *router = Router::start(now, known, known - 1, false));
    }

    /// Adds routers that start later; each of the others learns of them.
    fn add(&mut self, count: usize) {
        let known = self.routers.len() + count;
        let added = (0..count).map(|_| Router::start(self.now, known, known - 1, false));
        self.routers.extend(added);
        self.routers.iter_mut().for_each(|router| router.known = known);
        self.set_heard(known - 1);
    }

    /// Replaces a router by one of another name. The entry of the one that ended stays known.
    fn replace(&mut self, index: usize) {
        let known = self.routers[index].known + 1;
        self.routers[index] = Router::start(self.now, known, self.routers.len() - 1, false);
        self.routers.iter_mut().for_each(|router| router.known = known);
    }

    /// Sets whether retries that are granted wait before they are sent.
    fn delay_sending(&mut self, delays_sending: bool) {
        self.delays_sending = delays_sending;
    }

    /// Cuts all routers off from one another, or from nobody.
    fn set_heard(&mut self, heard: usize) {
        self.routers.iter_mut().for_each(|router| router.heard = heard);
    }

    /// The most repeats in a window, and what was allowed in it.
    fn worst_window(&self) -> (usize, f64) {
        let count = |events: &[Instant], end: Instant| {
            events.iter().filter(|at| **at <= end && **at + WINDOW > end).count()
        };
        let later = (0..5).map(|step| WINDOW / 5 * step);
        let ends = self.repeats.iter().flat_map(|at| later.clone().map(|later| *at + later));
        let windows = ends.map(|end| {
            let ends = [end, end - WINDOW / 2, end - WINDOW];
            let requests = ends.into_iter().map(|end| count(&self.requests, end)).max();
            let allowed = requests.unwrap_or(0) as f64 * ALLOWANCE.ratio + ALLOWANCE.fixed;
            (count(&self.repeats, end), allowed)
        });
        windows.max_by(|a, b| (a.0 as f64 / a.1).total_cmp(&(b.0 as f64 / b.1))).unwrap_or((0, 0.0))
    }

    fn assert_within_allowance(&self) {
        let (repeats, allowed) = self.worst_window();
        assert!(
            repeats as f64 <= allowed,
            "{repeats} repeats in {WINDOW:?}, {allowed} are allowed"
        );
    }
}

/// Guards against a burst of retries that is forgotten before it is a window old.
#[rstest::rstest]
fn bursts_of_failures_stay_within_the_allowance(
    #[values(8_500, 9_000, 9_300, 9_600, 9_900)] apart_ms: u64,
    #[values(300, 1_400, 2_600)] lasting_ms: u64,
) {
    let lasting = Duration::from_millis(lasting_ms);
    let mut deployment = Deployment::running(ROUTERS);
    for _ in 0..4 {
        deployment.run(lasting, true);
        deployment.run(Duration::from_millis(apart_ms) - lasting, false);
    }
    deployment.assert_within_allowance();
}

/// Guards against a fixed part that is spent once by each router that hears no other.
#[rstest::rstest]
#[case::cut_off(Duration::from_secs(20))]
#[case::thawed(Duration::from_secs(1))]
fn routers_that_hear_none_dont_each_spend_the_whole(#[case] time: Duration) {
    let mut deployment = Deployment::running(ROUTERS);
    deployment.set_heard(0);
    deployment.run(time, true);
    deployment.set_heard(ROUTERS - 1);
    deployment.run(Duration::from_secs(5), true);
    deployment.assert_within_allowance();
}

/// Guards against routers that spend again, after a start, what they had spent before.
#[rstest::rstest]
#[case::some(3)]
#[case::all(ROUTERS)]
fn routers_that_start_again_spend_nothing_twice(#[case] count: usize) {
    let mut deployment = Deployment::running(ROUTERS);
    for _ in 0..3 {
        deployment.run(Duration::from_secs(3), true);
        deployment.restart(count);
    }
    deployment.run(Duration::from_secs(3), true);
    deployment.assert_within_allowance();
}

/// Guards against routers that start again and hear none of the others.
#[test]
fn routers_that_start_while_they_are_cut_off_stay_within_the_allowance() {
    let mut deployment = Deployment::running(ROUTERS);
    deployment.set_heard(0);
    deployment.run(Duration::from_secs(2), true);
    deployment.restart(ROUTERS);
    deployment.set_heard(0);
    deployment.run(Duration::from_secs(25), true);
    deployment.assert_within_allowance();
}

/// Guards against routers that divide by a number from before others were added.
#[rstest::rstest]
fn routers_that_are_added_within_a_window_share_the_allowance(
    #[values(0, 3, 8)] failing_before_s: u64,
    #[values(0, 2, 8)] failing_between_s: u64,
) {
    let mut deployment = Deployment::running(3);
    deployment.run(Duration::from_secs(failing_before_s), true);
    deployment.add(3);
    deployment.run(Duration::from_secs(failing_between_s), true);
    deployment.add(3);
    deployment.run(Duration::from_secs(25), true);
    deployment.assert_within_allowance();
}

/// Guards against routers that spend anew under another name what they had spent before.
#[rstest::rstest]
fn routers_that_are_replaced_one_by_one_stay_within_the_allowance(
    #[values(500, 2_000)] apart_ms: u64,
) {
    let mut deployment = Deployment::running(ROUTERS);
    for index in 0..ROUTERS {
        deployment.run(Duration::from_millis(apart_ms), true);
        deployment.replace(index);
    }
    deployment.run(Duration::from_secs(25), true);
    deployment.assert_within_allowance();
}

/// Guards against two parts of the routers that each take the whole, during a cut and just after it.
#[rstest::rstest]
#[case::halves(6, 2)]
#[case::halves_of_four(4, 1)]
#[case::pairs(6, 1)]
fn routers_cut_into_parts_stay_within_the_allowance(
    #[case] routers: usize,
    #[case] heard: usize,
    #[values(2, 11, 40)] cut_s: u64,
) {
    let mut deployment = Deployment::running(routers);
    deployment.run(Duration::from_secs(2), true);
    deployment.set_heard(heard);
    deployment.run(Duration::from_secs(cut_s), true);
    deployment.set_heard(routers - 1);
    deployment.run(Duration::from_secs(12), true);
    deployment.assert_within_allowance();
}

/// Guards against an allowance that many routers exceed, as each rounds its part up.
#[test]
fn a_hundred_routers_stay_within_the_allowance() {
    let mut deployment = Deployment::running(100);
    deployment.run(Duration::from_secs(3), true);
    deployment.restart(50);
    deployment.set_heard(20);
    deployment.run(Duration::from_secs(12), true);
    deployment.assert_within_allowance();
}

/// Guards against retries that wait for a target after they were granted, and arrive together with later ones.
#[test]
fn retries_that_were_sent_late_stay_within_the_allowance() {
    let mut deployment = Deployment::running(ROUTERS);
    deployment.delay_sending(true);
    deployment.run(Duration::from_secs(8), true);
    deployment.delay_sending(false);
    deployment.run(Duration::from_secs(9), true);
    deployment.assert_within_allowance();
}

/// Guards against retries by requests of a time that lies before all windows that count.
#[rstest::rstest]
fn retries_after_a_burst_of_requests_stay_within_the_allowance(
    #[values(1_000, 3_000, 10_000)] lasting_ms: u64,
    #[values(0, 1_500, 2_500, 5_000)] later_ms: u64,
) {
    let mut deployment = Deployment::running(ROUTERS);
    deployment.requests_per_tick = 3;
    deployment.run(Duration::from_millis(lasting_ms), false);
    deployment.requests_per_tick = 0;
    deployment.run(Duration::from_millis(later_ms), false);
    deployment.run(Duration::from_secs(12), true);
    deployment.assert_within_allowance();
}

/// Guards against requests of several windows that allow retries in one, as callers went to other routers meanwhile.
#[rstest::rstest]
fn callers_that_go_to_other_routers_stay_within_the_allowance(
    #[values(2_000, 5_000, 10_000)] apart_ms: u64,
) {
    let mut deployment = Deployment::running(ROUTERS);
    deployment.requests_per_tick = 12;
    for called in [0..2, 2..4, 4..5] {
        deployment.called = called;
        deployment.run(Duration::from_millis(apart_ms), false);
    }
    deployment.run(WINDOW, true);
    deployment.assert_within_allowance();
}

/// Guards against the same just after the first start, when most routers stand still while the targets fail.
#[rstest::rstest]
fn routers_that_stand_still_after_the_first_start_stay_within_the_allowance(
    #[values(500, 1_500)] before_ms: u64,
    #[values(3_000, 9_000)] lasting_ms: u64,
) {
    let mut deployment = Deployment::starting(ROUTERS);
    deployment.requests_per_tick = 12;
    deployment.run(Duration::from_millis(before_ms), true);
    deployment.called = 1..2;
    deployment.run(Duration::from_millis(lasting_ms), true);
    deployment.called = 2..ROUTERS;
    deployment.run(WINDOW * 2, true);
    deployment.assert_within_allowance();
}

/// Guards against a denial that gives back what was reserved for another request, which waits for its target.
#[test]
fn a_denied_retry_leaves_the_reserved_ones() {
    let now = Instant::now();
    let budget = budget::Shared::default();
    let reserve = || budget::Reservation::new(&budget, now, &ALLOWANCE, Some(2.0));
    let reserved = [reserve().unwrap(), reserve().unwrap()];
    assert!((0..4).all(|_| reserve().is_none()), "two are allowed");
    drop(reserved);
    assert!(reserve().is_some(), "they are given back unused");
}

/// Guards against a budget that is hardly used while nothing but the targets fails.
#[test]
fn most_of_the_allowance_can_be_used() {
    let mut deployment = Deployment::running(ROUTERS);
    deployment.run(Duration::from_secs(15), true);
    let (repeats, allowed) = deployment.worst_window();
    assert!(repeats as f64 >= allowed * 0.75, "{repeats} repeats, {allowed} are allowed");
}

const fn seen(known: usize, heard: usize) -> budget::RoutersSeen {
    budget::RoutersSeen { known: Some(known), heard }
}

/// Guards against a router that retries nothing during a cut although its part is free.
#[rstest::rstest]
#[case::a_minority((5, 2))]
#[case::half((4, 2))]
fn a_router_keeps_its_part_for_the_time_of_a_cut(#[case] (routers, heard): (usize, usize)) {
    let mut share = budget::FixedShare::new(Instant::now(), false);
    let mut now = Instant::now() + WINDOW * 2;
    share.observe(now, seen(routers, routers), &ALLOWANCE);
    for _ in 0..48 {
        now += Duration::from_millis(250);
        share.observe(now, seen(routers, heard), &ALLOWANCE);
        assert_eq!(share.retries(now, &ALLOWANCE), Some(56.0 / routers as f64));
    }
}

/// Guards against a divisor that falls while another part of the routers may still divide by the larger one.
#[rstest::rstest]
#[case::one_is_gone_for_good((5, 5), (4, 4), Some(14.0))]
#[case::no_majority_is_heard((5, 5), (2, 2), Some(0.0))]
#[case::half_are_heard((4, 4), (4, 2), Some(0.0))]
#[case::the_other_of_two_is_not_heard((2, 2), (2, 1), Some(28.0))]
#[case::the_only_other_one_is_gone((2, 2), (1, 1), Some(28.0))]
fn the_fixed_number_is_shared_by_the_routers_that_may_use_it(
    #[case] before: (usize, usize),
    #[case] after: (usize, usize),
    #[case] expected: Option<f64>,
) {
    let mut share = budget::FixedShare::new(Instant::now(), false);
    let started_at = Instant::now() + WINDOW * 2;
    share.observe(started_at, seen(before.0, before.1), &ALLOWANCE);
    assert_eq!(share.retries(started_at, &ALLOWANCE), Some(56.0 / before.0 as f64));
    let mut now = started_at;
    for _ in 0..100 {
        now += Duration::from_millis(250);
        share.observe(now, seen(after.0, after.1), &ALLOWANCE);
        let is_within_a_window = now < started_at + WINDOW;
        let largest = Some(56.0 / before.0 as f64);
        assert!(!is_within_a_window || share.retries(now, &ALLOWANCE) <= largest);
    }
    assert_eq!(share.retries(now, &ALLOWANCE), expected);
}

/// Guards against routers that start together and each take the fixed number, as they know of no other yet.
#[test]
fn routers_that_start_for_the_first_time_retry_by_their_requests_only() {
    let started_at = Instant::now();
    let mut share = budget::FixedShare::new(started_at, true);
    share.observe(started_at, seen(1, 1), &ALLOWANCE);
    assert_eq!(share.retries(started_at, &ALLOWANCE), Some(0.0));
    let now = started_at + WINDOW * 2;
    share.observe(now, seen(ROUTERS, ROUTERS), &ALLOWANCE);
    assert_eq!(share.retries(now, &ALLOWANCE), Some(ALLOWANCE.fixed / ROUTERS as f64));
}
