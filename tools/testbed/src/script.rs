//! Runs scenarios scripted in [rhai] against a deployment of real processes.
//!
//! A scenario starts a deployment with `deploy(#{…})`, sends requests, injects faults, waits for
//! states with `wait_until` and asserts results with `check`. `scenarios/README.md` lists the
//! functions.

use crate::{
    Deployment, Plan,
    caller::{self, Answer, Question},
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

type Fallible<T> = Result<T, Box<EvalAltResult>>;

/// State shared by the functions of a script.
struct Stage {
    runtime: Runtime,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    deployment: Option<Deployment>,
    asked: BTreeMap<i64, JoinHandle<Answer>>,
    next: i64,
}

type Shared = Arc<Stage>;

impl Stage {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn with<T>(&self, run: impl FnOnce(&mut Deployment, &Runtime) -> T) -> Fallible<T> {
        let mut inner = self.lock();
        let deployment = inner.deployment.as_mut();
        let deployment = deployment.ok_or("call `deploy` first")?;
        Ok(run(deployment, &self.runtime))
    }
}

/// Runs a scenario file.
///
/// # Errors
///
/// Returns the error of the script, such as a failed `check` or a timeout in `wait_until`.
///
/// # Panics
///
/// Panics if the async runtime cannot be created.
pub fn run(path: &Path) -> Result<(), String> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build();
    let runtime = runtime.expect("the system gives a runtime");
    let stage = Arc::new(Stage { runtime, inner: Mutex::default() });
    let mut engine = Engine::new();
    engine.set_max_expr_depths(0, 0);
    register_processes(&mut engine, &stage);
    register_calls(&mut engine, &stage);
    register_states(&mut engine, &stage);
    let result = engine.run_file(path.to_owned()).map_err(|error| error.to_string());
    if result.is_err() {
        keep_logs(&stage);
    }
    // The deployment uses the runtime, so it is dropped first.
    drop(stage.lock().deployment.take());
    result
}

fn keep_logs(stage: &Stage) {
    if let Some(deployment) = stage.lock().deployment.as_mut() {
        eprintln!("logs are in {}", deployment.keep_files().display());
    }
}

fn plan(options: &Map) -> Fallible<Plan> {
    let mut plan = Plan::default();
    for (name, value) in options {
        let count = || value.as_int().map(|n| n as usize);
        match name.as_str() {
            "routers" => plan.routers = count()?,
            "engines" => plan.engines = count()?,
            "services" => plan.services = count()?,
            "relays" => plan.relays = value.as_bool()?,
            "engine_options" => plan.engine_options = texts(value)?,
            "log_options" => plan.log_options = texts(value)?,
            "hosts_options" => plan.hosts_options = texts(value)?,
            "timing" => {
                for (field, value) in json(value)?.as_object().into_iter().flatten() {
                    plan.timing[field] = value.clone();
                }
            }
            "documents" => {
                for (path, value) in json(value)?.as_object().into_iter().flatten() {
                    plan.documents.retain(|(known, _)| known != path);
                    plan.documents.push((path.clone(), value.clone()));
                }
            }
            other => return Err(format!("deploy: there is no option `{other}`").into()),
        }
    }
    Ok(plan)
}

fn texts(value: &Dynamic) -> Fallible<Vec<String>> {
    let array = value.clone().try_cast::<Array>().ok_or("a list of texts is wanted")?;
    Ok(array.into_iter().map(|text| text.to_string()).collect())
}

fn json(value: &Dynamic) -> Fallible<serde_json::Value> {
    rhai_serde::from_dynamic(value)
}

fn dynamic(value: &impl serde::Serialize) -> Fallible<Dynamic> {
    rhai_serde::to_dynamic(value)
}

fn register_processes(engine: &mut Engine, stage: &Shared) {
    let s = stage.clone();
    engine.register_fn("deploy", move |options: Map| -> Fallible<()> {
        let plan = plan(&options)?;
        let deployment = s.runtime.block_on(Deployment::start(plan));
        s.lock().deployment = Some(deployment);
        Ok(())
    });
    let mut on_process = |name: &'static str, act: fn(&mut Deployment, &str)| {
        let s = stage.clone();
        engine.register_fn(name, move |process: &str| s.with(|d, _| act(d, process)));
    };
    on_process("kill", |d, name| d.process(name).kill());
    on_process("freeze", |d, name| d.process(name).freeze());
    on_process("thaw", |d, name| d.process(name).signal(Signal::SIGCONT));
    on_process("stop", |d, name| d.process(name).signal(Signal::SIGTERM));
    on_process("start", Deployment::start_process);
    let s = stage.clone();
    engine.register_fn("wait_end", move |name: &str| -> Fallible<i64> {
        s.with(|d, _| i64::from(d.process(name).wait(STATE_TIMEOUT).unwrap_or(-1)))
    });
    let s = stage.clone();
    engine.register_fn("is_running", move |name: &str| s.with(|d, _| d.process(name).is_running()));
    let s = stage.clone();
    engine.register_fn("fault", move |name: &str, fault: Dynamic| -> Fallible<()> {
        let fault = json(&fault)?;
        s.with(|d, runtime| runtime.block_on(d.inject_fault(name, &fault)))
    });
    let s = stage.clone();
    engine.register_fn("unlist", move |names: Array| -> Fallible<()> {
        let names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        s.with(|d, runtime| runtime.block_on(d.set_host_list(&[], &names)))
    });
    let s = stage.clone();
    engine.register_fn("leaving", move |names: Array| -> Fallible<()> {
        let names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        s.with(|d, runtime| runtime.block_on(d.set_hosts(&names)))
    });
}

fn key_of(team: &str) -> String {
    match team {
        "vidrio" => VIDRIO_KEY.into(),
        "hinokuni" => HINOKUNI_KEY.into(),
        other => other.into(),
    }
}

fn model_question(
    deployment: &Deployment,
    router: &str,
    team: &str,
    model: &str,
    options: &Map,
) -> Fallible<Question> {
    let mut body = serde_json::json!({ "model": model, "prompt": "nine floors" });
    let mut question = Question::post(deployment.url(router, "/v1/completions"), &key_of(team));
    for (name, value) in options {
        match name.as_str() {
            "tokens" => body["max_tokens"] = value.as_int()?.into(),
            "prompt" | "stream" => body[name.as_str()] = json(value)?,
            "deadline_ms" => question.header("x-deadline-ms", &value.to_string()),
            "urgency" => question.header("x-urgency", &value.to_string()),
            other => return Err(format!("ask: there is no option `{other}`").into()),
        }
    }
    question.body = body;
    Ok(question)
}

fn booking(
    deployment: &Deployment,
    router: &str,
    team: &str,
    key: &str,
    body: &Dynamic,
) -> Fallible<Question> {
    let url = deployment.url(router, "/services/agenda/bookings");
    let mut question = Question::post(url, &key_of(team));
    question.header("idempotency-key", key);
    question.body = json(body)?;
    Ok(question)
}

fn begin(stage: &Stage, question: Question) -> Fallible<i64> {
    let client = stage.with(|d, _| d.http.clone())?;
    let task = stage.runtime.spawn(async move { caller::ask(&client, &question).await });
    let mut inner = stage.lock();
    inner.next += 1;
    let number = inner.next;
    inner.asked.insert(number, task);
    Ok(number)
}

fn finish(stage: &Stage, number: i64) -> Fallible<Dynamic> {
    let task = stage.lock().asked.remove(&number).ok_or("nothing was begun by this number")?;
    let answer = stage.runtime.block_on(async { time::timeout(STATE_TIMEOUT, task).await });
    match answer {
        Ok(Ok(answer)) => dynamic(&answer),
        Ok(Err(error)) => Err(error.to_string().into()),
        Err(_) => Err("no answer at all: the caller was left hanging".into()),
    }
}

fn register_calls(engine: &mut Engine, stage: &Shared) {
    let s = stage.clone();
    engine.register_fn("begin", move |router: &str, team: &str, model: &str, options: Map| {
        let question = s.with(|d, _| model_question(d, router, team, model, &options))??;
        begin(&s, question)
    });
    let s = stage.clone();
    engine.register_fn("ask", move |router: &str, team: &str, model: &str, options: Map| {
        let question = s.with(|d, _| model_question(d, router, team, model, &options))??;
        finish(&s, begin(&s, question)?)
    });
    let s = stage.clone();
    engine.register_fn(
        "begin_booking",
        move |router: &str, team: &str, key: &str, body: Dynamic| {
            let question = s.with(|d, _| booking(d, router, team, key, &body))??;
            begin(&s, question)
        },
    );
    let s = stage.clone();
    engine.register_fn("book", move |router: &str, team: &str, key: &str, body: Dynamic| {
        let question = s.with(|d, _| booking(d, router, team, key, &body))??;
        finish(&s, begin(&s, question)?)
    });
    let s = stage.clone();
    engine.register_fn("finish", move |number: i64| finish(&s, number));
    let s = stage.clone();
    engine.register_fn("operate", move |router: &str, args: Array| -> Fallible<Dynamic> {
        let args: Vec<String> = args.into_iter().map(|arg| arg.to_string()).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let (code, output) = s.with(|d, _| d.command_at(router, &args))?;
        dynamic(&serde_json::json!({ "code": code, "output": output }))
    });
    let s = stage.clone();
    engine.register_fn("settings_dir", move || {
        s.with(|d, _| d.settings_folder().display().to_string())
    });
    let s = stage.clone();
    engine.register_fn("set_document", move |path: &str, value: Dynamic| -> Fallible<()> {
        let value = json(&value)?;
        s.with(|d, _| {
            d.plan.documents.retain(|(known, _)| known != path);
            d.plan.documents.push((path.to_owned(), value));
        })
    });
}

fn register_states(engine: &mut Engine, stage: &Shared) {
    let s = stage.clone();
    engine.register_fn("counters", move |name: &str| -> Fallible<Dynamic> {
        dynamic(&s.with(|d, runtime| runtime.block_on(d.counters(name)))?)
    });
    let s = stage.clone();
    engine.register_fn("loaded", move |engine: &str| -> Fallible<Dynamic> {
        dynamic(&s.with(|d, runtime| runtime.block_on(d.loaded_models(engine)))?)
    });
    let s = stage.clone();
    engine.register_fn("status", move |router: &str| -> Fallible<Dynamic> {
        dynamic(&s.with(|d, runtime| runtime.block_on(d.status(router)))?)
    });
    let s = stage.clone();
    engine.register_fn("logged", move |name: &str, text: &str| {
        s.with(|d, _| d.log_of(name).contains(text))
    });
    engine.register_fn("pause", |ms: i64| std::thread::sleep(Duration::from_millis(ms as u64)));
    engine.register_fn("check", |holds: bool, what: &str| -> Fallible<()> {
        if holds { Ok(()) } else { Err(format!("does not hold: {what}").into()) }
    });
    let wait_until = |cx: NativeCallContext<'_>, what: &str, condition: FnPtr| -> Fallible<()> {
        let began = Instant::now();
        while !condition.call_within_context::<bool>(&cx, ())? {
            if began.elapsed() > STATE_TIMEOUT {
                return Err(format!("not reached: {what}").into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    };
    engine.register_fn("wait_until", wait_until);
}
