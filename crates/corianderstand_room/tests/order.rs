//! The order of requests that wait.

use corianderstand_room::order::{Claim, Turns};
use std::time::{Duration, Instant};

fn claim(now: Instant, rank: u8, cost: u64, patience: Duration) -> Claim {
    Claim {
        rank,
        cost,
        arrived_at: now,
        objective_at: now + patience,
        expires_at: now + 4 * patience,
    }
}

/// Guards against a request of a lower rank that is served first, and one that is late already.
#[test]
fn ranks_come_first_then_the_time_left() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let claims = [claim(now, 1, 1, second), claim(now, 0, 1, 5 * second), claim(now, 0, 1, second)];
    assert_eq!(Turns::default().next(now, claims.iter()), Some(2));
    let later = now + 2 * second;
    assert_eq!(Turns::default().next(later, claims.iter()), Some(1), "the others are late");
    assert_eq!(Turns::default().next(now, [].iter()), None);
}

/// Guards against a rank whose requests starve, as there are always more of a higher one.
#[test]
fn a_low_rank_gets_its_share() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let low = claim(now, 9, 100, 10 * second);
    let (mut turns, mut low_cost, mut total) = (Turns::default(), 0, 0);
    for step in 0..1_000 {
        let at = now + Duration::from_millis(step);
        let claims = [claim(at, 0, 100, second), low];
        let chosen = turns.next(at, claims.iter()).unwrap();
        turns.record(claims[chosen].cost, chosen == 1);
        total += claims[chosen].cost;
        low_cost += if chosen == 1 { claims[chosen].cost } else { 0 };
    }
    let share = low_cost as f64 / total as f64;
    assert!((0.2..=0.3).contains(&share), "{share:.3} of what was granted");
}
