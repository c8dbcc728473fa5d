//! Runs scenarios scripted in [rhai] against a deployment of real processes.
//!
//! A scenario starts a deployment with `deploy(#{…})`, sends requests, injects faults, waits for
//! states with `wait_until` and asserts results with `check`. `scenarios/README.md` lists the
//! functions.

use crate::{
    Deployment, Plan,
    caller::{self, Answer, Request},
    plan::{HINOKUNI_KEY, VIDRIO_KEY},
    process::STATE_TIMEOUT,
};
use nix::sys::signal::Signal;
use rhai::{
    Array, Dynamic, Engine, EvalAltResult, FnPtr, Map, NativeCallContext, serde as rhai_serde,
};
use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::{runtime::Runtime, task::JoinHandle, time};

type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

struct ScriptContext {
    runtime: Runtime,
    state: Mutex<ScriptState>,
}

#[derive(Default)]
struct ScriptState {
    deployment: Option<Deployment>,
    pending_requests: BTreeMap<i64, JoinHandle<Answer>>,
    last_request_number: i64,
}

type SharedContext = Arc<ScriptContext>;

impl ScriptContext {
    fn lock(&self) -> MutexGuard<'_, ScriptState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn with_deployment<T>(
        &self,
        operation: impl FnOnce(&mut Deployment, &Runtime) -> T,
    ) -> ScriptResult<T> {
        let mut state = self.lock();
        let deployment = state.deployment.as_mut();
        let deployment = deployment.ok_or("call `deploy` first")?;
        Ok(operation(deployment, &self.runtime))
    }
}

/// Runs a scenario file.
///
/// # Errors
///
/// Returns the error of the script, such as a failed `check` or a timeout in `wait_until`.
pub fn run(path: &Path) -> Result<(), String> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build();
    let runtime = runtime.expect("the runtime can be created");
    let context = Arc::new(ScriptContext { runtime, state: Mutex::default() });
    let mut engine = Engine::new();
    engine.set_max_expr_depths(0, 0);
    register_processes(&mut engine, &context);
    register_calls(&mut engine, &context);
    register_states(&mut engine, &context);
    let result = engine.run_file(path.to_owned()).map_err(|error| error.to_string());
    if result.is_err() {
        keep_logs(&context);
    }
    // The deployment uses the runtime, so it is dropped first.
    drop(context.lock().deployment.take());
    result
}

fn keep_logs(context: &ScriptContext) {
    if let Some(deployment) = context.lock().deployment.as_mut() {
        eprintln!("logs are in {}", deployment.keep_files().display());
    }
}

fn parse_plan(options: &Map) -> ScriptResult<Plan> {
    let mut plan = Plan::default();
    for (name, value) in options {
        let count = || value.as_int().map(|n| n as usize);
        match name.as_str() {
            "routers" => plan.routers = count()?,
            "engines" => plan.engines = count()?,
            "services" => plan.services = count()?,
            "relays" => plan.use_relays = value.as_bool()?,
            "engine_options" => plan.engine_options = strings(value)?,
            "log_options" => plan.log_options = strings(value)?,
            "hosts_options" => plan.host_list_options = strings(value)?,
            "timing" => {
                for (field, value) in to_json(value)?.as_object().into_iter().flatten() {
                    plan.timing[field] = value.clone();
                }
            }
            "documents" => {
                for (path, value) in to_json(value)?.as_object().into_iter().flatten() {
                    plan.documents.retain(|(known, _)| known != path);
                    plan.documents.push((path.clone(), value.clone()));
                }
            }
            other => return Err(format!("deploy: unknown option `{other}`").into()),
        }
    }
    Ok(plan)
}

fn strings(value: &Dynamic) -> ScriptResult<Vec<String>> {
    let array = value.clone().try_cast::<Array>().ok_or("expected an array of strings")?;
    Ok(array.into_iter().map(|text| text.to_string()).collect())
}

fn to_json(value: &Dynamic) -> ScriptResult<serde_json::Value> {
    rhai_serde::from_dynamic(value)
}

fn to_dynamic(value: &impl serde::Serialize) -> ScriptResult<Dynamic> {
    rhai_serde::to_dynamic(value)
}

fn register_processes(engine: &mut Engine, context: &SharedContext) {
    let s = context.clone();
    engine.register_fn("deploy", move |options: Map| -> ScriptResult<()> {
        let plan = parse_plan(&options)?;
        let deployment = s.runtime.block_on(Deployment::start(plan));
        s.lock().deployment = Some(deployment);
        Ok(())
    });
    let mut on_process = |name: &'static str, act: fn(&mut Deployment, &str)| {
        let s = context.clone();
        engine.register_fn(name, move |process: &str| s.with_deployment(|d, _| act(d, process)));
    };
    on_process("kill", |d, name| d.process(name).kill());
    on_process("freeze", |d, name| d.process(name).freeze());
    on_process("thaw", |d, name| d.process(name).signal(Signal::SIGCONT));
    on_process("stop", |d, name| d.process(name).signal(Signal::SIGTERM));
    on_process("start", Deployment::start_process);
    let s = context.clone();
    engine.register_fn("wait_end", move |name: &str| -> ScriptResult<i64> {
        s.with_deployment(|d, _| {
            i64::from(d.process(name).wait_for_exit(STATE_TIMEOUT).unwrap_or(-1))
        })
    });
    let s = context.clone();
    engine.register_fn("is_running", move |name: &str| {
        s.with_deployment(|d, _| d.process(name).is_running())
    });
    let s = context.clone();
    engine.register_fn("fault", move |name: &str, fault: Dynamic| -> ScriptResult<()> {
        let fault = to_json(&fault)?;
        s.with_deployment(|d, runtime| runtime.block_on(d.inject_fault(name, &fault)))
    });
    let s = context.clone();
    engine.register_fn("unlist", move |names: Array| -> ScriptResult<()> {
        let names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        s.with_deployment(|d, runtime| runtime.block_on(d.set_host_list(&[], &names)))
    });
    let s = context.clone();
    engine.register_fn("leaving", move |names: Array| -> ScriptResult<()> {
        let names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        s.with_deployment(|d, runtime| runtime.block_on(d.set_hosts(&names)))
    });
}

fn bearer_token_of(team: &str) -> String {
    match team {
        "vidrio" => VIDRIO_KEY.into(),
        "hinokuni" => HINOKUNI_KEY.into(),
        other => other.into(),
    }
}

fn model_request(
    deployment: &Deployment,
    router: &str,
    team: &str,
    model: &str,
    options: &Map,
) -> ScriptResult<Request> {
    let mut body = serde_json::json!({ "model": model, "prompt": "nine floors" });
    let mut request =
        Request::post(deployment.url(router, "/v1/completions"), &bearer_token_of(team));
    for (name, value) in options {
        match name.as_str() {
            "tokens" => body["max_tokens"] = value.as_int()?.into(),
            "prompt" | "stream" => body[name.as_str()] = to_json(value)?,
            "deadline_ms" => request.header("x-deadline-ms", &value.to_string()),
            "urgency" => request.header("x-urgency", &value.to_string()),
            other => return Err(format!("ask: unknown option `{other}`").into()),
        }
    }
    request.body = body;
    Ok(request)
}

fn booking_request(
    deployment: &Deployment,
    router: &str,
    team: &str,
    key: &str,
    body: &Dynamic,
) -> ScriptResult<Request> {
    let url = deployment.url(router, "/services/agenda/bookings");
    let mut request = Request::post(url, &bearer_token_of(team));
    request.header("idempotency-key", key);
    request.body = to_json(body)?;
    Ok(request)
}

fn begin_request(context: &ScriptContext, request: Request) -> ScriptResult<i64> {
    let client = context.with_deployment(|d, _| d.http.clone())?;
    let task = context.runtime.spawn(async move { caller::send(&client, &request).await });
    let mut state = context.lock();
    state.last_request_number += 1;
    let number = state.last_request_number;
    state.pending_requests.insert(number, task);
    Ok(number)
}

fn finish_request(context: &ScriptContext, number: i64) -> ScriptResult<Dynamic> {
    let task = context
        .lock()
        .pending_requests
        .remove(&number)
        .ok_or("no pending request with this number")?;
    let answer = context.runtime.block_on(async { time::timeout(STATE_TIMEOUT, task).await });
    match answer {
        Ok(Ok(answer)) => to_dynamic(&answer),
        Ok(Err(error)) => Err(error.to_string().into()),
        Err(_) => Err("timed out waiting for an answer".into()),
    }
}

fn register_calls(engine: &mut Engine, context: &SharedContext) {
    let s = context.clone();
    engine.register_fn("begin", move |router: &str, team: &str, model: &str, options: Map| {
        let request =
            s.with_deployment(|d, _| model_request(d, router, team, model, &options))??;
        begin_request(&s, request)
    });
    let s = context.clone();
    engine.register_fn("ask", move |router: &str, team: &str, model: &str, options: Map| {
        let request =
            s.with_deployment(|d, _| model_request(d, router, team, model, &options))??;
        finish_request(&s, begin_request(&s, request)?)
    });
    let s = context.clone();
    engine.register_fn(
        "begin_booking",
        move |router: &str, team: &str, key: &str, body: Dynamic| {
            let request =
                s.with_deployment(|d, _| booking_request(d, router, team, key, &body))??;
            begin_request(&s, request)
        },
    );
    let s = context.clone();
    engine.register_fn("book", move |router: &str, team: &str, key: &str, body: Dynamic| {
        let request = s.with_deployment(|d, _| booking_request(d, router, team, key, &body))??;
        finish_request(&s, begin_request(&s, request)?)
    });
    let s = context.clone();
    engine.register_fn("finish", move |number: i64| finish_request(&s, number));
    let s = context.clone();
    engine.register_fn("operate", move |router: &str, args: Array| -> ScriptResult<Dynamic> {
        let args: Vec<String> = args.into_iter().map(|arg| arg.to_string()).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let (code, output) = s.with_deployment(|d, _| d.run_operator_command_at(router, &args))?;
        to_dynamic(&serde_json::json!({ "code": code, "output": output }))
    });
    let s = context.clone();
    engine.register_fn("settings_dir", move || {
        s.with_deployment(|d, _| d.settings_folder().display().to_string())
    });
    let s = context.clone();
    engine.register_fn("set_document", move |path: &str, value: Dynamic| -> ScriptResult<()> {
        let value = to_json(&value)?;
        s.with_deployment(|d, _| {
            d.plan.documents.retain(|(known, _)| known != path);
            d.plan.documents.push((path.to_owned(), value));
        })
    });
}

fn register_states(engine: &mut Engine, context: &SharedContext) {
    let s = context.clone();
    engine.register_fn("counters", move |name: &str| -> ScriptResult<Dynamic> {
        to_dynamic(&s.with_deployment(|d, runtime| runtime.block_on(d.counters(name)))?)
    });
    let s = context.clone();
    engine.register_fn("loaded", move |engine: &str| -> ScriptResult<Dynamic> {
        to_dynamic(&s.with_deployment(|d, runtime| runtime.block_on(d.loaded_models(engine)))?)
    });
    let s = context.clone();
    engine.register_fn("status", move |router: &str| -> ScriptResult<Dynamic> {
        to_dynamic(&s.with_deployment(|d, runtime| runtime.block_on(d.status(router)))?)
    });
    let s = context.clone();
    engine.register_fn("logged", move |name: &str, text: &str| {
        s.with_deployment(|d, _| d.log_of(name).contains(text))
    });
    engine.register_fn("pause", |ms: i64| std::thread::sleep(Duration::from_millis(ms as u64)));
    engine.register_fn("check", |holds: bool, what: &str| -> ScriptResult<()> {
        if holds { Ok(()) } else { Err(format!("check failed: {what}").into()) }
    });
    let wait_until =
        |cx: NativeCallContext<'_>, what: &str, condition: FnPtr| -> ScriptResult<()> {
            let started_at = Instant::now();
            while !condition.call_within_context::<bool>(&cx, ())? {
                if started_at.elapsed() > STATE_TIMEOUT {
                    return Err(format!("timed out waiting for: {what}").into());
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            Ok(())
        };
    engine.register_fn("wait_until", wait_until);
}
