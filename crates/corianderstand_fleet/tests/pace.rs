//! What is learned of a target's pace, and what of it is kept apart.

mod common;

use common::{entries::entry, id};
use corianderstand_fleet::{
    pace::{EventSize, Pace, batch_growth},
    predict,
    targets::{Entry, Load, RegistrationChange, Targets},
};
use std::time::{Duration, Instant};

const SLOTS: u32 = 32;
const EVENT: Duration = Duration::from_millis(40);

fn stated(percent: u32) -> Load {
    Load { running: 1, slowdown_percent: Some(percent), ..Load::default() }
}

/// Records events of streams in batches of changing size, each as long as the slowdown stated before makes it.
fn observe(pace: &mut Pace, start: Instant, event: Duration, slowdowns: &[u32]) -> Instant {
    let mut now = start;
    for step in 0..400_u32 {
        let percent = slowdowns[step as usize % slowdowns.len()];
        pace.record_stated(now, percent);
        let requests = 1 + step % 20;
        let slowdown = f64::from(percent) / 100.0;
        let interval = event.mul_f64(slowdown * batch_growth(requests, SLOTS));
        now += interval;
        pace.record_stated(now, percent);
        pace.record_event_interval(now, interval, requests, SLOTS);
    }
    now
}

fn assert_near(value: f64, expected: f64) {
    assert!((value / expected - 1.0).abs() < 0.1, "{value} in place of {expected}");
}

/// Guards against a target that counts as slow as its host has other work half of the time.
#[test]
fn a_targets_own_speed_is_learned_apart_from_its_hosts_other_work() {
    let start = Instant::now();
    let (mut disturbed, mut calm) = (Pace::default(), Pace::default());
    observe(&mut disturbed, start, EVENT, &[250, 100]);
    observe(&mut calm, start, EVENT, &[100]);
    let relative = disturbed.usual_times().relative_to(&calm.usual_times()).unwrap();
    assert_near(relative, 1.0);
    assert_near(calm.usual_times().event_s.unwrap(), EVENT.as_secs_f64());
}

/// Guards against a slow target that counts as usual as its slowness is taken for a moment.
#[test]
fn targets_of_three_speeds_are_told_apart() {
    let start = Instant::now();
    let mut targets = Targets::default();
    for (name, speed) in [("slow", 0.6), ("usual", 1.0), ("fast", 1.6)] {
        targets.register(start, entry(name));
        let target = targets.get_mut(targets.key(&id(name)).unwrap()).unwrap();
        observe(&mut target.pace, start, EVENT.div_f64(speed), &[100, 100, 250]);
    }
    let usual = predict::ServicePace::of(&targets, &"models".into());
    for (name, speed) in [("slow", 0.6), ("usual", 1.0), ("fast", 1.6)] {
        let target = targets.get(targets.key(&id(name)).unwrap()).unwrap();
        assert_near(usual.speed(&target.pace), speed);
    }
}

/// Guards against single long intervals, as of a stream that stood still, that end the use of a target.
#[test]
fn single_outliers_do_not_change_a_speed() {
    let mut pace = Pace::default();
    let now = observe(&mut pace, Instant::now(), EVENT, &[100]);
    for _ in 0..3 {
        pace.record_event_interval(now, Duration::from_secs(60), 1, SLOTS);
    }
    assert_near(pace.usual_times().event_s.unwrap(), EVENT.as_secs_f64());
}

/// Guards against a speed that stays as it was learned although the target has changed.
#[test]
fn a_lasting_change_is_followed() {
    let mut pace = Pace::default();
    let now = observe(&mut pace, Instant::now(), EVENT, &[100]);
    observe(&mut pace, now, EVENT * 2, &[100]);
    assert_near(pace.usual_times().event_s.unwrap(), 2.0 * EVENT.as_secs_f64());
}

/// Guards against targets that state no slowdown and count as slow or as unknown.
#[test]
fn without_a_stated_slowdown_the_speed_is_learned_all_the_same() {
    let now = Instant::now();
    let mut pace = Pace::default();
    for _ in 0..20 {
        pace.record_event_interval(now, EVENT, 1, SLOTS);
    }
    assert!(!pace.is_stated());
    assert_near(pace.slowdown(now), 1.0);
    assert_near(pace.slow_moment(1.0), 1.0);
    assert_near(pace.usual_times().event_s.unwrap(), EVENT.as_secs_f64());
}

/// Guards against a mistaken figure that ends the use of a target, or draws all requests to it.
#[rstest::rstest]
#[case::zero(0)]
#[case::far_too_small(9)]
#[case::far_too_large(10_001)]
#[case::of_another_unit(u32::MAX)]
fn an_absurd_figure_counts_as_none(#[case] percent: u32) {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let target = targets.get_mut(targets.key(&id("e")).unwrap()).unwrap();
    target.record_load(now, stated(percent));
    assert!(!target.pace.is_stated());
    assert_near(target.pace.slowdown(now), 1.0);
    for _ in 0..20 {
        target.record_load(now, stated(100));
    }
    target.record_load(now, stated(250));
    target.record_load(now, stated(percent));
    assert_near(target.pace.slowdown(now), 2.5);
}

/// Guards against a target that is avoided long after a slow moment, as it is sent nothing that would show its end.
#[test]
fn a_stated_slowdown_gives_way_to_the_mean_and_is_forgotten() {
    let start = Instant::now();
    let mut pace = Pace::default();
    let now = observe(&mut pace, start, EVENT, &[100]);
    pace.record_stated(now, 250);
    assert_near(pace.slowdown(now), 2.5);
    assert!(pace.slowdown(now + Duration::from_millis(150)) < 1.8);
    assert!(pace.slowdown(now + Duration::from_secs(1)) < 1.2, "the usual one counts again");
    assert_near(pace.slowdown(now + Duration::from_secs(90)), 1.0);
    assert_eq!(pace.stated_age(now + Duration::from_secs(90)), Some(Duration::from_secs(90)));
}

/// Guards against a slowdown of long ago by which a later observation is divided.
#[test]
fn an_outdated_slowdown_does_not_distort_what_is_observed() {
    let start = Instant::now();
    let mut pace = Pace::default();
    for figure in [100, 100, 1_000] {
        pace.record_stated(start, figure);
    }
    let later = start + Duration::from_secs(2);
    for _ in 0..20 {
        pace.record_event_interval(later, EVENT, 1, SLOTS);
    }
    assert_near(pace.usual_times().event_s.unwrap(), EVENT.as_secs_f64());
}

/// Guards against a restarted target, maybe on another host, that is judged by the speed of the one before.
#[test]
fn a_new_incarnation_starts_unknown() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let target = targets.get_mut(targets.key(&id("e")).unwrap()).unwrap();
    target.record_load(now, stated(250));
    observe(&mut target.pace, now, EVENT, &[250]);
    let again = Entry { started_at_ms: 20, renewals: 1, ..entry("e") };
    assert_eq!(targets.register(now, again), RegistrationChange::New);
    let target = targets.get(targets.key(&id("e")).unwrap()).unwrap();
    assert!(!target.pace.is_stated());
    assert_eq!(target.pace.usual_times(), Default::default());
    assert_eq!(target.pace.observed_age(now), None);
}

/// Guards against new targets that get nothing, or everything, until their speed is known.
#[test]
fn an_unknown_speed_is_the_median() {
    let start = Instant::now();
    let mut targets = Targets::default();
    for (name, speed) in [("a", 0.6), ("b", 0.6), ("c", 1.6)] {
        targets.register(start, entry(name));
        let target = targets.get_mut(targets.key(&id(name)).unwrap()).unwrap();
        observe(&mut target.pace, start, EVENT.div_f64(speed), &[100]);
    }
    targets.register(start, entry("new"));
    let usual = predict::ServicePace::of(&targets, &"models".into());
    let pace = |name| &targets.get(targets.key(&id(name)).unwrap()).unwrap().pace;
    assert_near(usual.speed(pace("new")), 1.0);
    assert_near(usual.speed(pace("a")), 1.0);
    assert_near(usual.speed(pace("c")), 1.6 / 0.6);
}

/// Guards against targets that state their own speed in each figure, where a fast one counts twice as fast as it is.
#[test]
fn a_figure_that_includes_the_own_speed_counts_once() {
    let start = Instant::now();
    let mut targets = Targets::default();
    for (name, time) in [("slow", 1.6), ("usual", 1.0), ("fast", 0.6)] {
        targets.register(start, entry(name));
        let target = targets.get_mut(targets.key(&id(name)).unwrap()).unwrap();
        let figure = (time * 100.0) as u32;
        let mut now = start;
        for step in 0..300 {
            let slowdown = if step % 4 == 0 { 2.5 } else { 1.0 };
            now += EVENT;
            target.pace.record_stated(now, (f64::from(figure) * slowdown) as u32);
            target.pace.record_event_interval(now, EVENT.mul_f64(time * slowdown), 1, SLOTS);
        }
        target.pace.record_stated(now, figure);
        assert_near(target.pace.slowdown(now), 1.0);
        assert_near(target.pace.usual_times().event_s.unwrap(), EVENT.as_secs_f64() * time);
    }
    // Has answered once, and no stream has shown its speed yet.
    targets.register(start, entry("new"));
    let new = targets.get_mut(targets.key(&id("new")).unwrap()).unwrap();
    new.pace.record_stated(start, 160);
    let usual = predict::ServicePace::of(&targets, &"models".into());
    for (name, time) in [("slow", 1.6), ("usual", 1.0), ("fast", 0.6), ("new", 1.6)] {
        let target = targets.get(targets.key(&id(name)).unwrap()).unwrap();
        assert_near(usual.relative_time(&target.pace), time);
    }
}

/// Guards against prompts of a slow engine whose agent is told the reading time of a fast one.
#[test]
fn reading_is_known_of_each_target_and_else_follows_from_its_speed() {
    let start = Instant::now();
    let mut targets = Targets::default();
    let reading_s = 30e-6;
    for (name, speed) in [("slow", 0.5), ("usual", 1.0), ("fast", 2.0), ("unread", 0.5)] {
        targets.register(start, entry(name));
        let target = targets.get_mut(targets.key(&id(name)).unwrap()).unwrap();
        let event = EVENT.div_f64(speed);
        let now = observe(&mut target.pace, start, event, &[100]);
        if name == "unread" {
            continue;
        }
        for _ in 0..40 {
            let queued = Duration::from_millis(20);
            let reading = Duration::from_secs_f64(1_000.0 * reading_s / speed);
            let round_trip = Duration::from_millis(3);
            let elapsed = queued + reading + event + round_trip;
            target.pace.record_first_event(now, elapsed, queued, 1_000);
            // Tells nothing, as it is short.
            target.pace.record_first_event(now, Duration::from_secs(1), queued, 10);
        }
    }
    let usual = predict::ServicePace::of(&targets, &"models".into());
    let known = [("slow", 0.5), ("usual", 1.0), ("fast", 2.0), ("unread", 0.5)];
    for (name, speed) in known {
        let pace = &targets.get(targets.key(&id(name)).unwrap()).unwrap().pace;
        assert_near(usual.reading_s_per_token(pace).unwrap(), reading_s / speed);
    }
}

/// Guards against services without models whose targets count as equally fast.
#[test]
fn targets_of_services_without_models_are_told_apart_by_their_response_times() {
    let now = Instant::now();
    let mut targets = Targets::default();
    for (name, speed) in [("slow", 0.6), ("usual", 1.0), ("fast", 1.6)] {
        targets.register(now, entry(name));
        let target = targets.get_mut(targets.key(&id(name)).unwrap()).unwrap();
        for step in 0..60 {
            let percent = if step % 3 == 0 { 250 } else { 100 };
            target.pace.record_stated(now, percent);
            let work = Duration::from_millis(60).mul_f64(f64::from(percent) / 100.0 / speed);
            target.pace.record_response(now, work + Duration::from_millis(3));
        }
    }
    let usual = predict::ServicePace::of(&targets, &"models".into());
    for (name, speed) in [("slow", 0.6), ("usual", 1.0), ("fast", 1.6)] {
        let target = targets.get(targets.key(&id(name)).unwrap()).unwrap();
        assert_near(usual.speed(&target.pace), speed);
    }
}

/// Guards against streams whose length is overrated as an event holds several tokens.
#[test]
fn the_tokens_of_an_event_are_learned() {
    let mut size = EventSize::default();
    assert_near(size.events(280), 280.0);
    for step in 0..100 {
        size.record(if step % 2 == 0 { 260 } else { 300 }, 35);
    }
    assert_near(size.events(280), 35.0);
    size.record(0, 0);
    assert!(size.events(0) >= 1.0);
}

/// Load: 47 targets of three speeds, of which a router sees five prompts each. Most are read between the events of other
/// streams. Guards against permits that count these events as reading, three to four times of what it takes.
#[test]
fn pure_reading_is_learned_apart_from_the_events_in_between() {
    const READING_S: f64 = 26e-6;
    const PROMPT: u64 = 700;
    let now = Instant::now();
    let mut targets = Targets::default();
    for index in 0..47 {
        let name = format!("target-{index}");
        let speed = [0.6, 1.0, 1.6][index % 3];
        targets.register(now, entry(&name));
        let target = targets.get_mut(targets.key(&id(&name)).unwrap()).unwrap();
        let now = observe(&mut target.pace, now, EVENT.div_f64(speed), &[100]);
        for prompt in 0..5 {
            let growth = 1.0 + [0.1, 2.0, 3.0, 2.5, 1.5][(prompt + index) % 5];
            let reading = READING_S * PROMPT as f64 * growth / speed;
            let elapsed = Duration::from_secs_f64(reading) + EVENT.div_f64(speed);
            target.pace.record_first_event(now, elapsed, Duration::ZERO, PROMPT);
        }
    }
    let usual = predict::ServicePace::of(&targets, &"models".into());
    for (index, speed) in [(0, 0.6), (1, 1.0), (2, 1.6)] {
        let target = targets.get(targets.key(&id(&format!("target-{index}"))).unwrap()).unwrap();
        let ratio = usual.pure_reading_s_per_token(&target.pace) * speed / READING_S;
        assert!((0.8..1.5).contains(&ratio), "{ratio} of the pure time");
        let until_read = usual.reading_s_per_token(&target.pace).unwrap() * speed / READING_S;
        assert!(until_read > ratio * 1.3, "{until_read}, {ratio}: with the events in between");
    }
}
