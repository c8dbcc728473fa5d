//! Measures the resource usage of one process by deployment size.
//!
//! `cargo run --release -p capacity -- [state|router|agent|relay|streams|requests|status] [--repeats N] [--out NAME]`
//! writes `docs/measurements/NAME.json` and `NAME.svg`. Without a part, all parts are measured.

mod emulate;
mod forward;
mod node;
mod plot;
mod process;
mod requests;
mod size;
mod slope;
mod state;
mod status;

use getopts::Options;
use serde::Serialize;
use slope::Series;
use std::{fs, path::Path, process::ExitCode, time::Duration};

const RESULTS_DIR: &str = "docs/measurements";
/// Measured sizes, in percent of [`size::DESIGN`].
const SIZE_PERCENTS: [usize; 4] = [10, 25, 50, 100];

/// Contents of the JSON result file.
#[derive(Default, Serialize)]
struct Report {
    repeats: usize,
    state: Vec<Vec<state::StateCost>>,
    routers: Vec<Vec<node::NodeCost>>,
    agents: Vec<Vec<node::NodeCost>>,
    relays: Vec<Vec<node::NodeCost>>,
    streams: Vec<Vec<node::NodeCost>>,
    loads: Vec<Vec<requests::LoadCost>>,
    status: Vec<status::StatusCost>,
    series: Vec<Series>,
}

type Measure<T> = (&'static str, fn(&T) -> f64);

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "repeats", "measurements per point (default 3)", "COUNT");
    options.optopt("", "out", "name of the result files (default capacity)", "NAME");
    options.optopt(
        "",
        "one-state",
        "measure the state at a percentage of the design size and print it",
        "PERCENT",
    );
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!(
                "{error}\n{}",
                options.usage("capacity [state|router|agent|relay|streams|requests|status]")
            );
            return ExitCode::from(2);
        }
    };
    if let Some(percent) = matches.opt_str("one-state").and_then(|text| text.parse().ok()) {
        let cost = state::measure(size::DESIGN.scaled_to(percent));
        println!("{}", serde_json::to_string(&cost).expect("a cost can be serialized"));
        return ExitCode::SUCCESS;
    }
    let repeats = matches.opt_str("repeats").and_then(|text| text.parse().ok()).unwrap_or(3);
    let name = matches.opt_str("out").unwrap_or_else(|| "capacity".into());
    let mut report = Report { repeats, ..Report::default() };
    let is_selected =
        |part: &str| matches.free.is_empty() || matches.free.iter().any(|f| f == part);
    if is_selected("state") {
        measure_state(&mut report);
    }
    if is_selected("status") {
        simulate_status(&mut report);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime can be created");
    if is_selected("router") {
        runtime.block_on(measure_routers(&mut report));
    }
    if is_selected("agent") {
        runtime.block_on(measure_agents(&mut report));
    }
    if is_selected("relay") {
        runtime.block_on(measure_relays(&mut report));
    }
    if is_selected("streams") {
        runtime.block_on(measure_streams(&mut report));
    }
    if is_selected("requests") {
        runtime.block_on(measure_requests(&mut report));
    }
    write_results(&name, &report);
    ExitCode::SUCCESS
}

fn measure_state(report: &mut Report) {
    for percent in SIZE_PERCENTS {
        report
            .state
            .push((0..report.repeats).map(|_| measure_state_in_subprocess(percent)).collect());
    }
    let measures: [Measure<state::StateCost>; 9] = [
        ("checkpoint, bytes", |cost| cost.checkpoint_bytes as f64),
        ("state resident, KiB", |cost| cost.state_kib as f64),
        ("view resident, KiB", |cost| cost.view_kib as f64),
        ("fold of a record, ns", |cost| cost.fold_ns),
        ("checkpoint written, ms", |cost| cost.checkpoint_ms),
        ("checkpoint read, ms", |cost| cost.restore_ms),
        ("a change in force, ms", |cost| cost.change_ms),
        ("start from nothing, ms", |cost| cost.start_ms),
        ("clone of the state, us", |cost| cost.clone_us),
    ];
    for (name, measure) in measures {
        let points = SIZE_PERCENTS.iter().zip(&report.state);
        let points = points.map(|(x, costs)| (*x as f64, costs.iter().map(measure).collect()));
        report.series.push(Series::new(name, "percent of the size", points.collect()));
    }
}

fn simulate_status(report: &mut Report) {
    report.status = status::simulate();
    let measures: [Measure<status::StatusCost>; 2] = [
        ("status, middle router, KB/s", |cost| cost.kb_middle),
        ("status, busiest router, KB/s", |cost| cost.kb_busiest),
    ];
    for way in [status::Way::Mesh, status::Way::Hubs] {
        for (name, measure) in measures {
            let costs = report.status.iter().filter(|cost| cost.way == way);
            let points = costs.map(|cost| (cost.routers as f64, vec![measure(cost)]));
            let name = format!("{way:?}: {name}");
            report.series.push(Series::new(&name, "routers", points.collect()));
        }
    }
}

/// Numbers of routers connected to one agent.
const ROUTER_COUNTS: [usize; 3] = [0, 170, 340];
const ROUTER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Numbers of followers that read from one relay.
const FOLLOWER_COUNTS: [usize; 4] = [0, 8, 16, 32];

async fn measure_routers(report: &mut Report) {
    for percent in SIZE_PERCENTS {
        let mut costs = Vec::new();
        for _ in 0..report.repeats {
            costs.push(node::measure_router(percent).await);
        }
        report.routers.push(costs);
    }
    let costs = report.routers.clone();
    report.add_node_series("router", "percent of the size", &SIZE_PERCENTS, &costs);
}

async fn measure_agents(report: &mut Report) {
    for routers in ROUTER_COUNTS {
        let mut costs = Vec::new();
        for _ in 0..report.repeats {
            costs.push(node::measure_agent(100, routers, ROUTER_HEARTBEAT_INTERVAL).await);
        }
        report.agents.push(costs);
    }
    let costs = report.agents.clone();
    report.add_node_series("agent", "connections", &ROUTER_COUNTS, &costs);
}

async fn measure_relays(report: &mut Report) {
    for followers in FOLLOWER_COUNTS {
        let mut costs = Vec::new();
        for _ in 0..report.repeats {
            costs.push(node::measure_relay(followers).await);
        }
        report.relays.push(costs);
    }
    let costs = report.relays.clone();
    report.add_node_series("relay", "followers", &FOLLOWER_COUNTS, &costs);
}

/// Numbers of streams in flight at one router.
const STREAM_COUNTS: [usize; 3] = [0, 100, 200];
/// Requests per second and tokens per request.
const REQUEST_LOADS: [(u32, u64); 6] = [(10, 1), (40, 1), (80, 1), (20, 1), (20, 25), (20, 100)];

async fn measure_streams(report: &mut Report) {
    for count in STREAM_COUNTS {
        let mut costs = Vec::new();
        for _ in 0..report.repeats {
            costs.push(requests::measure_streams(count).await);
        }
        report.streams.push(costs);
    }
    let costs = report.streams.clone();
    report.add_node_series("router with streams", "streams in flight", &STREAM_COUNTS, &costs);
}

async fn measure_requests(report: &mut Report) {
    for (rate, tokens) in REQUEST_LOADS {
        let mut costs = Vec::new();
        for _ in 0..report.repeats {
            costs.push(requests::measure_load(rate, tokens).await);
        }
        report.loads.push(costs);
    }
    let (by_rate, by_tokens) = report.loads.split_at(3);
    let roles: [Measure<requests::LoadCost>; 2] =
        [("router", |cost| cost.router_percent), ("agent", |cost| cost.agent_percent)];
    let mut series = Vec::new();
    for (role, measure) in roles {
        let points = |costs: &[Vec<requests::LoadCost>], size: fn(&requests::LoadCost) -> f64| {
            let point = |costs: &Vec<requests::LoadCost>| {
                let sizes: Vec<f64> = costs.iter().map(size).collect();
                (slope::median(&sizes), costs.iter().map(measure).collect())
            };
            costs.iter().map(point).collect()
        };
        let name = format!("{role}: processor, % of a core");
        series.push(Series::new(&name, "requests/s of one token", points(by_rate, |c| c.requests)));
        series.push(Series::new(
            &name,
            "tokens/s at 20 requests/s",
            points(by_tokens, |c| c.tokens),
        ));
    }
    report.series.extend(series);
}

impl Report {
    fn add_node_series(
        &mut self,
        role: &str,
        x_label: &str,
        sizes: &[usize],
        costs: &[Vec<node::NodeCost>],
    ) {
        let measures: [Measure<node::NodeCost>; 7] = [
            ("all control, bytes/s", node::NodeCost::bytes_per_s),
            ("log, bytes/s", |cost| cost.log_bytes),
            ("host list, bytes/s", |cost| cost.hosts_bytes),
            ("link, bytes/s", |cost| cost.link_bytes),
            ("processor, % of a core", |cost| cost.cpu_percent),
            ("resident, KiB", |cost| cost.resident_kib),
            ("ready after, ms", |cost| cost.start_ms),
        ];
        for (name, measure) in measures {
            let points = sizes.iter().zip(costs);
            let points = points.map(|(x, costs)| (*x as f64, costs.iter().map(measure).collect()));
            let name = format!("{role}: {name}");
            self.series.push(Series::new(&name, x_label, points.collect()));
        }
    }
}

/// Runs [`state::measure`] in a new process, so that memory of earlier points is not included.
fn measure_state_in_subprocess(percent: usize) -> state::StateCost {
    let exe = std::env::current_exe().expect("the current program has a path");
    let mut command = std::process::Command::new(exe);
    let output = command.args(["--one-state", &percent.to_string()]).output();
    let output = output.expect("this program can be started again");
    serde_json::from_slice(&output.stdout).expect("it prints one cost")
}

fn write_results(name: &str, report: &Report) {
    let dir = Path::new(RESULTS_DIR);
    fs::create_dir_all(dir).expect("the results directory can be created");
    let json = serde_json::to_string_pretty(report).expect("a report can be serialized");
    fs::write(dir.join(format!("{name}.json")), json + "\n").expect("results can be written");
    plot::draw(&dir.join(format!("{name}.svg")), &report.series).expect("plots can be written");
    for series in &report.series {
        let line = series.line;
        println!(
            "{:40} = {:12.3} + {:10.4} x {} (spread {:.0}%)",
            series.measure,
            line.intercept,
            line.slope,
            series.against,
            line.spread * 100.0
        );
    }
}
