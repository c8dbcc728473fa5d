use super::{Length, Queue, QueueDiscipline, QueuedRequest};
use crate::request::RequestKey;
use corianderstand_types::clock::{Clock, ManualClock};
use rstest::rstest;
use slotmap::SlotMap;
use std::time::{Duration, Instant};

struct Keys(SlotMap<RequestKey, ()>);

impl Keys {
    fn push(
        &mut self,
        queue: &mut Queue,
        team: &str,
        urgency: u8,
        deadline: Instant,
    ) -> RequestKey {
        let key = self.0.insert(());
        let length = Length::Short;
        let waiting =
            QueuedRequest { team: team.into(), length, urgency, deadline, missing_weights: None };
        queue.push(key, 100, waiting);
        key
    }
}

#[rstest]
fn within_a_team_urgency_precedes_deadline() {
    let now = ManualClock::default().now();
    let mut keys = Keys(SlotMap::with_key());
    let mut queue = Queue::new(3, QueueDiscipline::Fair);
    let late = keys.push(&mut queue, "crew", 1, now + Duration::from_secs(60));
    let soon = keys.push(&mut queue, "crew", 1, now + Duration::from_secs(10));
    let urgent = keys.push(&mut queue, "crew", 2, now + Duration::from_secs(90));
    let order = [queue.pop(), queue.pop(), queue.pop()];
    assert_eq!(order, [Some(urgent), Some(soon), Some(late)]);
}

#[rstest]
fn fifo_dequeues_in_order_of_arrival() {
    let now = ManualClock::default().now();
    let mut keys = Keys(SlotMap::with_key());
    let mut queue = Queue::new(2, QueueDiscipline::Fifo);
    let first = keys.push(&mut queue, "crew", 0, now + Duration::from_secs(90));
    let second = keys.push(&mut queue, "coach", 2, now + Duration::from_secs(10));
    assert_eq!([queue.pop(), queue.pop()], [Some(first), Some(second)]);
}

/// Guards against refusing an urgent request because of queued requests that it would precede.
#[rstest]
fn expected_wait_depends_on_the_queue_position() {
    let now = ManualClock::default().now();
    let mut keys = Keys(SlotMap::with_key());
    let mut queue = Queue::new(2, QueueDiscipline::Fair);
    for _ in 0..22 {
        keys.push(&mut queue, "crew", 1, now + Duration::from_secs(600));
    }
    while queue.pop().is_some() {}
    let wait = |urgency, seconds| {
        let deadline = now + Duration::from_secs(seconds);
        let (team, length) = ("coach".into(), Length::Short);
        let request = QueuedRequest { team, length, urgency, deadline, missing_weights: None };
        queue.expected_wait(&request, 100, Duration::from_secs(1))
    };
    assert!(wait(2, 600) <= Duration::from_secs(1));
    assert!(wait(1, 60) <= Duration::from_secs(1));
    assert!(wait(1, 900) >= Duration::from_secs(10));
}
