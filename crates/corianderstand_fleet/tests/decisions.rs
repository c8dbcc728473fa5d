//! Routes, targets, budgets, patience and steps.

mod common;

use common::id;
use corianderstand_fleet::{budget, choose, config, health, patience, reconcile, routes, targets};
use corianderstand_types::names::ModelId;
use rand::RngExt;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use targets::{Change, Entry, Holdings, Load, Ongoing, Report, Resident, Targets};

fn table(prefixes: &[&str]) -> routes::Table {
    let routes = prefixes.iter().map(|prefix| {
        Arc::new(config::Route {
            name: (*prefix).into(),
            host: "desk.example".into(),
            prefix: (*prefix).into(),
            ..Default::default()
        })
    });
    routes::Table::new(Arc::new(config::Config { routes: routes.collect(), ..Default::default() }))
}

#[rstest::rstest]
#[case("desk.example", "/a/b/c", Some("/a/b/"))]
#[case("desk.example:8080", "/a/x", Some("/a/"))]
#[case("DESK.example", "/a/b", Some("/a/"))]
#[case("desk.example", "/ab/", None)]
#[case("other.example", "/a/", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] wanted: Option<&str>,
) {
    let table = table(&["/a/", "/a/b/"]);
    let found = table.find(host, path).map(|route| route.prefix.as_str());
    assert_eq!(found, wanted);
}

#[test]
fn a_split_route_gives_each_service_its_share() {
    let services = vec![("one".into(), 90), ("two".into(), 10)];
    let route = config::Route { services, ..Default::default() };
    let two = (0..1_000).filter(|&hash| route.service(hash).unwrap().as_str() == "two").count();
    assert_eq!(two, 100);
}

/// An address for each name, on a host of its own.
fn address(name: &str) -> SocketAddr {
    let host = name.bytes().fold(0_u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    SocketAddr::from(([127, 0, 1, host], 1))
}

fn entry(name: &str) -> Entry {
    Entry {
        id: id(name),
        born: 10,
        renewals: 5,
        service: "models".into(),
        addr: address(name),
        zone: "here".into(),
        slots: 4,
        draining: false,
        leaves_in: None,
        holdings: holdings(&["m"]),
    }
}

fn holdings(models: &[&str]) -> Holdings {
    let resident = models.iter().map(|model| Resident { model: (*model).into(), adapters: vec![] });
    Holdings { resident: resident.collect(), ..Default::default() }
}

/// Requests are sent to engines that have ended although others at their addresses have registered.
#[test]
fn an_engine_that_registers_at_an_address_ends_the_one_before() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("before"));
    targets.register(now, entry("other"));
    let after = Entry { addr: address("before"), ..entry("after") };
    assert_eq!(targets.register(now, after), Change::New);
    assert!(targets.key(&id("before")).is_none(), "requests would be refused there");
    assert!(targets.key(&id("after")).is_some() && targets.key(&id("other")).is_some());
}

/// A router that starts knows only engines that have ended, and its callers are refused.
#[test]
fn an_engine_is_known_by_its_agent_s_word_before_it_registers() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("before"));
    let host = address("before").ip();
    assert!(!targets.introduce(now, &id("after"), 0, host, |_| false), "a plain service's target");
    assert!(targets.introduce(now, &id("after"), 0, host, |_| true));
    let known = targets.get(targets.key(&id("after")).unwrap()).unwrap();
    assert_eq!(known.entry.addr, address("before"));
    assert!(!targets.introduce(now, &id("before"), 0, host, |_| true), "its word came late");
    assert_eq!(targets.register(now, entry("before")), Change::New, "it lives after all");
    assert!(targets.key(&id("after")).is_none(), "only one can live at an address");
    assert!(!targets.introduce(now, &id("stranger"), 0, address("nobody").ip(), |_| true));
}

/// The store returns an entry that was written before the newest one. Taken, requests would go to an
/// engine that is leaving.
#[test]
fn an_entry_from_before_is_left_out() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let draining = Entry { renewals: 6, draining: true, ..entry("e") };
    assert_eq!(targets.register(now, draining), Change::Draining);
    assert_eq!(targets.register(now, entry("e")), Change::Stale);
    let key = targets.key(&id("e")).unwrap();
    assert!(!targets.get(key).unwrap().takes_work(now));
    targets.remove(now, &id("e"), false);
    assert_eq!(targets.register(now, entry("e")), Change::Stale, "it has left for good");
}

/// An engine starts again under its name and has forgotten its models. Requests for these would be
/// refused there.
#[test]
fn a_new_start_under_the_same_name_holds_nothing_of_before() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let again = Entry { born: 20, renewals: 1, holdings: holdings(&[]), ..entry("e") };
    assert_eq!(targets.register(now, again), Change::New);
    let key = targets.key(&id("e")).unwrap();
    assert!(!targets.get(key).unwrap().serves(now, &"m".into()));
}

/// The store was away and has forgotten an engine that lives. It is back in the store within two
/// seconds; until then it goes on serving.
#[test]
fn an_entry_that_lapsed_has_time_to_return() {
    let now = Instant::now();
    let grace = Duration::from_secs(2);
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    targets.register(now, entry("f"));
    targets.remove(now, &id("e"), true);
    targets.remove(now, &id("f"), true);
    assert!(targets.expire(now + grace / 2, grace).is_empty());
    targets.register(now + grace / 2, Entry { renewals: 6, ..entry("e") });
    assert_eq!(targets.expire(now + grace, grace), [id("f")]);
    assert!(targets.key(&id("e")).is_some());
}

/// An agent reports from beside its engine; the entry in the store lags behind it by a second.
#[test]
fn what_the_agent_says_goes_before_the_entry() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let report = Report {
        id: id("e"),
        born: 10,
        holdings: Holdings { orders: 2, ..holdings(&["n"]) },
        copies_told: true,
        ongoing: None,
        load: Load::default(),
    };
    assert!(targets.report(now, report.clone()));
    targets.register(now, Entry { renewals: 6, ..entry("e") });
    let key = targets.key(&id("e")).unwrap();
    assert!(targets.get(key).unwrap().serves(now, &"n".into()));
    let older = Report { holdings: Holdings { orders: 1, ..holdings(&["m"]) }, ..report };
    assert!(!targets.report(now, older), "datagrams overtake each other");
}

fn ask<'a>(
    wanted: &'a choose::Wanted,
    service: &'a corianderstand_types::names::ServiceId,
    zone: &'a corianderstand_types::names::AvailabilityZoneId,
) -> choose::Ask<'a> {
    choose::Ask {
        service,
        wanted: Some(wanted),
        tokens: 1_000,
        cache_tokens: 10_000,
        adapter_places: 2,
        zone,
        tried: &[],
        hash: 7,
        read_before: None,
    }
}

fn wanted() -> choose::Wanted {
    choose::Wanted { model: "m".into(), adapter: None }
}

#[test]
fn only_an_engine_that_holds_the_model_gets_the_request() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, Entry { holdings: holdings(&["n"]), ..entry("e") });
    let (wanted, service, zone) = (wanted(), "models".into(), "here".into());
    let ask = ask(&wanted, &service, &zone);
    assert_eq!(choose::choose(now, &targets, &ask), choose::Choice::Cold);
    targets.register(now, entry("f"));
    let key = targets.key(&id("f")).unwrap();
    assert_eq!(choose::choose(now, &targets, &ask), choose::Choice::Send(key));
    targets.get_mut(key).unwrap().note_absent(now, &ModelId::from("m"));
    assert_eq!(choose::choose(now, &targets, &ask), choose::Choice::Cold, "it said it has it not");
}

/// An engine's process ends, and its entry stays in the store for some seconds. Requests for its
/// models are sent to an address where nobody listens and refused, again and again, while another
/// engine could have loaded them. What its agent says of its end holds until it has started again.
#[test]
fn an_engine_whose_process_has_ended_counts_for_nothing() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let (wanted, service, zone) = (wanted(), "models".into(), "here".into());
    let ask = ask(&wanted, &service, &zone);
    let key = targets.key(&id("e")).unwrap();
    targets.get_mut(key).unwrap().note_nobody(now);
    assert_eq!(choose::choose(now, &targets, &ask), choose::Choice::NoTarget);
    let later = now + Duration::from_secs(1);
    assert_eq!(choose::choose(later, &targets, &ask), choose::Choice::Send(key), "tried again");
    assert!(targets.note_gone(later, &id("e"), 10));
    assert_eq!(choose::choose(later, &targets, &ask), choose::Choice::NoTarget);
    targets.register(later, Entry { born: 20, renewals: 1, ..entry("e") });
    let key = targets.key(&id("e")).unwrap();
    assert_eq!(choose::choose(later, &targets, &ask), choose::Choice::Send(key));
    assert!(!targets.note_gone(later, &id("e"), 10), "said of the start before");
    assert_eq!(choose::choose(later, &targets, &ask), choose::Choice::Send(key));
}

/// All hosts lose their power. An engine is back under a new name, and registers it up to two seconds
/// later; until then nobody orders it anything, and callers of its models wait. Its agent knows it.
#[test]
fn an_engine_that_is_back_under_another_name_is_known_before_it_registers() {
    let now = Instant::now();
    let grace = Duration::from_secs(2);
    let mut targets = Targets::default();
    let on_disk = Holdings { on_disk: vec!["m".into()], ..holdings(&["m"]) };
    targets.register(now, Entry { holdings: on_disk, ..entry("e") });
    targets.remove(now, &id("e"), false);
    let replaced = targets::Replaced { id: id("f"), born: 20, before: id("e") };
    assert!(targets.replace(now, &replaced));
    let found = |targets: &Targets| targets.get(targets.key(&id("f")).unwrap()).unwrap().clone();
    assert_eq!(found(&targets).entry.addr, entry("e").addr);
    assert_eq!(found(&targets).entry.holdings.on_disk, [ModelId::from("m")], "a disk stays");
    assert!(!found(&targets).serves(now, &"m".into()), "it starts empty");
    assert!(!targets.replace(now, &replaced), "said again");
    assert_eq!(targets.register(now, entry("e")), Change::Stale, "the old name is over");
    targets.register(now, Entry { born: 20, renewals: 1, ..entry("f") });
    assert!(targets.expire(now + grace, grace).is_empty(), "it has registered");
    targets.remove(now, &id("f"), false);
    assert!(
        !targets.replace(now, &replaced),
        "of a name that has ended, nothing is known any more"
    );
}

/// The agent's word stands in for an entry that never comes: it is over when the agent falls silent.
#[test]
fn an_engine_that_never_registers_is_forgotten_when_its_agent_falls_silent() {
    let now = Instant::now();
    let grace = Duration::from_secs(2);
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    assert!(targets.replace(now, &targets::Replaced { id: id("f"), born: 20, before: id("e") }));
    let report = Report {
        id: id("f"),
        born: 20,
        holdings: Holdings::default(),
        copies_told: false,
        ongoing: None,
        load: Load::default(),
    };
    assert!(targets.report(now + grace / 2, report));
    assert!(targets.expire(now + grace, grace).is_empty(), "its agent spoke a second ago");
    assert_eq!(targets.expire(now + grace * 2, grace), [id("f")]);
}

/// One engine fails every other request while it says that it is well. Callers must not go on
/// meeting it, and it must not be left out for ever.
#[test]
fn a_target_that_fails_gets_little_and_is_tried_again_later() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    targets.register(now, entry("f"));
    let bad = targets.key(&id("e")).unwrap();
    let health = &mut targets.get_mut(bad).unwrap().health;
    for _ in 0..3 {
        health.failed(now);
    }
    assert!(health.trouble(now) > health::OUT);
    let (wanted, service, zone) = (wanted(), "models".into(), "here".into());
    let sent = |now: Instant, targets: &Targets| {
        let mut rng = common::rng(1);
        let hits = (0..100).filter(|_| {
            let ask = choose::Ask { hash: rng.random(), ..ask(&wanted, &service, &zone) };
            choose::choose(now, targets, &ask) == choose::Choice::Send(bad)
        });
        hits.count()
    };
    assert_eq!(sent(now, &targets), 0);
    assert!(sent(now + Duration::from_secs(60), &targets) > 20);
}

#[test]
fn a_full_engine_gets_no_more() {
    let now = Instant::now();
    let mut targets = Targets::default();
    targets.register(now, entry("e"));
    let key = targets.key(&id("e")).unwrap();
    let (wanted, service, zone) = (wanted(), "models".into(), "here".into());
    let ask = ask(&wanted, &service, &zone);
    targets.get_mut(key).unwrap().note_load(Load { running: 4, waiting: 0, cache_used: None });
    assert_eq!(choose::choose(now, &targets, &ask), choose::Choice::Full);
    let load = Load { running: 1, waiting: 0, cache_used: Some(9_500) };
    targets.get_mut(key).unwrap().note_load(load);
    assert_eq!(choose::choose(now, &targets, &ask), choose::Choice::Full, "its memory is full");
}

#[test]
fn adapters_go_where_they_are_then_where_there_is_a_place() {
    let now = Instant::now();
    let mut targets = Targets::default();
    let with = |adapters: &[&str]| Holdings {
        resident: vec![Resident {
            model: "m".into(),
            adapters: adapters.iter().map(|name| (*name).into()).collect(),
        }],
        ..Default::default()
    };
    targets.register(now, Entry { holdings: with(&["a", "b"]), ..entry("full") });
    targets.register(now, Entry { holdings: with(&["c"]), ..entry("free") });
    let (service, zone) = ("models".into(), "here".into());
    let choose = |adapter: &str| {
        let wanted = choose::Wanted { model: "m".into(), adapter: Some(adapter.into()) };
        choose::choose(now, &targets, &ask(&wanted, &service, &zone))
    };
    let key = |name: &str| targets.key(&id(name)).unwrap();
    assert_eq!(choose("a"), choose::Choice::Send(key("full")));
    assert_eq!(choose("d"), choose::Choice::LoadAdapter(key("free")));
}

/// A caller waits for an adapter until its engine has loaded somebody else's model.
#[test]
fn an_adapter_is_not_asked_of_an_engine_that_is_busy_with_an_order() {
    let now = Instant::now();
    let names = ["one", "two", "three"];
    let mut targets = Targets::default();
    for name in names {
        targets.register(now, entry(name));
    }
    let (service, zone) = ("models".into(), "here".into());
    let wanted = choose::Wanted { model: "m".into(), adapter: Some("a".into()) };
    let home = |targets: &Targets| {
        let choice = choose::choose(now, targets, &ask(&wanted, &service, &zone));
        let choose::Choice::LoadAdapter(key) = choice else { panic!("nobody has it: {choice:?}") };
        key
    };
    let usual = home(&targets);
    let ready_at = now + Duration::from_secs(1);
    let loading = Ongoing::Loading { model: "n".into(), ready_at, from_store: false };
    targets.get_mut(usual).unwrap().ongoing = Some(loading.clone());
    assert_ne!(home(&targets), usual);
    for name in names {
        let key = targets.key(&id(name)).unwrap();
        targets.get_mut(key).unwrap().ongoing = Some(loading.clone());
    }
    assert_eq!(home(&targets), usual, "all are busy alike");
}

/// All targets fail at once. Each second attempt adds load to what is left; beyond the allowance
/// there are none, and two routers together stay within it too.
#[test]
fn second_attempts_stay_within_the_shared_allowance() {
    let now = Instant::now();
    let window = Duration::from_secs(10);
    let allowance = budget::Allowance { ratio: 0.2, fixed: 50.0, window };
    let mut spent = 0;
    for _ in 0..2 {
        let mut budget = budget::Budget::default();
        for step in 0..200 {
            let at = now + window / 200 * step;
            budget.earn(at, &allowance);
            spent += u32::from(budget.spend(at, &allowance, 2));
        }
    }
    assert!(spent <= 130 && spent > 100, "{spent} of 0.2 x 400 + 50");
}

#[rstest::rstest]
#[case(patience::Expected::Takes(Duration::from_millis(800)), true)]
#[case(patience::Expected::Takes(Duration::from_secs(6)), false)]
#[case(patience::Expected::Room, true)]
#[case(patience::Expected::Unknown, false)]
fn a_request_is_held_only_if_its_model_can_be_there(
    #[case] expected: patience::Expected,
    #[case] held: bool,
) {
    let now = Instant::now();
    let verdict = patience::judge(now, now + Duration::from_secs(2), expected, 0.5);
    assert_eq!(matches!(verdict, patience::Verdict::Hold { .. }), held, "{verdict:?}");
    if let patience::Verdict::Refuse { after } = verdict {
        assert!(after >= Duration::from_secs(1), "it says when the model is there: {after:?}");
    }
}

fn parts(models: &[(&str, bool)]) -> Vec<reconcile::EngineModel> {
    let parts = models.iter().map(|(model, wanted)| reconcile::EngineModel {
        model: (*model).into(),
        weights_mb: 70,
        adapter_mb: 5,
        desired: *wanted,
    });
    parts.collect()
}

const ROOM: reconcile::Capacity = reconcile::Capacity { weights_mb: 150, adapter_slots: 2 };

#[test]
fn what_is_not_wanted_goes_before_what_is_wanted_comes() {
    let parts = parts(&[("new", true), ("keep", true), ("old", false)]);
    let order = reconcile::next_model_command(ROOM, &parts, &holdings(&["keep", "old"]));
    assert_eq!(order, Some(reconcile::Command::Unload("old".into())));
    let order = reconcile::next_model_command(ROOM, &parts, &holdings(&["keep"]));
    assert_eq!(order, Some(reconcile::Command::Load("new".into())));
    assert_eq!(reconcile::next_model_command(ROOM, &parts, &holdings(&["keep", "new"])), None);
}

/// The plan is older than what the engine holds: the size of a model that it holds is not in it. An
/// engine that is ordered to hold too much crashes.
#[test]
fn nothing_is_loaded_beside_a_model_of_unknown_size() {
    let parts = parts(&[("new", true)]);
    assert_eq!(reconcile::next_model_command(ROOM, &parts, &holdings(&["stranger"])), None);
}

#[test]
fn an_adapter_takes_the_place_of_the_one_not_asked_for_the_longest() {
    let now = Instant::now();
    let parts = parts(&[("m", true)]);
    let asked = |name: &str, ago: u64| reconcile::AdapterRequest {
        model: "m".into(),
        adapter: name.into(),
        requested_at: now - Duration::from_millis(ago),
    };
    let held = Holdings {
        resident: vec![Resident { model: "m".into(), adapters: vec!["a".into(), "b".into()] }],
        ..Default::default()
    };
    let next = |asked: &[reconcile::AdapterRequest]| {
        reconcile::next_adapter_command(now, ROOM, &parts, &held, 0, asked)
    };
    let order = next(&[asked("c", 0), asked("a", 5_000), asked("b", 10)]);
    assert_eq!(order, Some(reconcile::Command::UnloadAdapter("m".into(), "a".into())));
    let order = next(&[asked("c", 0), asked("a", 100), asked("b", 10)]);
    assert_eq!(order, None, "both are in use: routers have just named them");
}

/// An engine has room for fewer adapters than were asked for within some seconds. One whose request
/// has long gone takes the place of one asked for since, that one takes it back, and so on: thirty
/// orders a second, and callers whose adapter goes before their request arrives.
#[test]
fn an_adapter_asked_for_earlier_does_not_push_out_a_later_one() {
    let now = Instant::now();
    let parts = parts(&[("m", true)]);
    let asked = |name: &str, ago: u64| reconcile::AdapterRequest {
        model: "m".into(),
        adapter: name.into(),
        requested_at: now - Duration::from_millis(ago),
    };
    let asked = [asked("b", 900), asked("a", 1_000), asked("c", 2_000)];
    let mut held = Holdings {
        resident: vec![Resident { model: "m".into(), adapters: vec!["a".into(), "b".into()] }],
        ..Default::default()
    };
    let mut orders = 0;
    while let Some(order) = reconcile::next_adapter_command(now, ROOM, &parts, &held, 0, &asked) {
        let adapters = &mut held.resident[0].adapters;
        match order {
            reconcile::Command::LoadAdapter(_, adapter) => adapters.push(adapter),
            reconcile::Command::UnloadAdapter(_, adapter) => adapters.retain(|own| *own != adapter),
            other => panic!("{other:?} is no order for an adapter"),
        }
        orders += 1;
        assert!(orders < 10, "adapters take turns");
    }
    assert_eq!(held.resident[0].adapters, ["a".into(), "b".into()]);
}
