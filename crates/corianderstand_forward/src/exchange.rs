//! One request from its arrival to its answer.
//!
//! A request is sent to one target at a time. It is sent to a second one only if the first did not
//! run it, as the target itself says or because nothing was written to it, or if it may run more
//! than once; and only while the route's number of targets and the budget allow it. What became of
//! a request that was written and not answered is not known, so it is never refused as "not run".

use crate::{body::AnswerBody, dialect, pool, router, stream};
use bytes::Bytes;
use corianderstand_fleet::{choose, config, patience, prefixes, targets};
use corianderstand_types::names;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smol_str::SmolStr;
use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use xxhash_rust::xxh3;

/// An answer or a connection that ends without being whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug, displaydoc::Display)]
pub enum Broken {
    /// the target broke off in the middle of its answer
    ByTarget,
    /// the route's time is over
    TimeOver,
    /// the caller broke off in the middle of its request
    ByCaller,
}

impl std::error::Error for Broken {}

/// Deadline of requests whose route and caller name none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The target is given this much less than is left, so that its own answer to an expired request
/// arrives before ours is due.
const ANSWER_WAY: Duration = Duration::from_millis(25);
/// Largest answer that is read whole before it is passed on; plain services answer with some KB.
const MOST_ANSWER_BYTES: usize = 8 << 20;
/// A target that has said nothing for this many times the route's aim is given up for another, if
/// the request may be repeated. At twice the aim it is late already, and three targets in four
/// answer within one.
const SILENT_AIMS: u32 = 2;
/// Least time before a silent target is given up: work that takes five times as long as usual (0.3
/// s) is slow, not lost.
const LEAST_SILENCE: Duration = Duration::from_millis(600);
/// Time after which an adapter is asked for again: the datagram or its answer was lost.
const ASK_AGAIN: Duration = Duration::from_millis(60);
/// Time after which a request that waits looks again although nobody woke it.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// Time to come back while no configuration is known, or from a router that ends: a process that
/// starts learns the configuration within half a second of reaching the store, and a new connection
/// leads to another router.
const STARTING_RETURN: Duration = Duration::from_millis(700);
/// Time to come back after a target refused and no other may be tried.
const REFUSED_RETURN: Duration = Duration::from_millis(200);
/// Callers leave a stream that has said nothing for this long, or for this many of the route's aims
/// or pauses, whichever is longest.
const LEFT_AFTER: Duration = Duration::from_secs(2);
const LEFT_AFTER_AIMS: u32 = 4;
const LEFT_AFTER_PAUSES: u32 = 8;
/// Tokens of an answer whose length nobody guesses.
const USUAL_OUTPUT: u64 = 300;
/// Most targets that did not run a request that it is offered to; each costs a way there and back.
const MOST_OFFERS: u32 = 4;

/// A request that was read and is to be answered.
pub struct Job {
    /// What its headers say.
    pub call: dialect::Call,
    /// The route that it took.
    pub route: Arc<config::Route>,
    /// The service that it goes to.
    pub service: names::ServiceId,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller or its route gives up.
    pub latest: Instant,
    /// Since when its caller has heard nothing: its arrival, or a stream's last event.
    pub silent_since: Instant,
    /// Hash of its id.
    pub hash: u64,
    /// Its prompt's parts.
    pub chain: prefixes::Chain,
    /// Targets that it was sent to.
    pub tried: Vec<targets::TargetKey>,
    /// Targets that said that they did not run it.
    pub offers: u32,
    /// An attempt was written to a target and its fate is not known.
    pub may_have_run: bool,
    /// When it was last sent.
    pub sent: Option<Instant>,
    /// The target that it was last sent to, for the log.
    pub last_target: names::TargetId,
    /// Why it was last not answered.
    pub last_trouble: &'static str,
}

impl Job {
    /// Tokens that it is expected to need.
    pub fn tokens(&self) -> u64 {
        if self.call.wanted.is_none() {
            return 0;
        }
        let most = match self.call.most_output_tokens {
            0 => u64::MAX,
            most => most,
        };
        self.call.prompt_tokens + self.call.output_hint.unwrap_or(USUAL_OUTPUT).min(most)
    }

    /// When a request that got nothing yet is of no more use: its caller leaves a stream that says
    /// nothing for too long.
    pub fn held_until(&self) -> Instant {
        if !self.route.streams {
            return self.latest;
        }
        let pause = self.route.pause_aim.unwrap_or_default() * LEFT_AFTER_PAUSES;
        let silence = LEFT_AFTER.max(self.route.aim * LEFT_AFTER_AIMS).max(pause);
        self.latest.min(self.silent_since + silence)
    }

    /// A number between 0 and 1 that spreads requests.
    pub fn spread(&self) -> f64 {
        (self.hash >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// The model that it wants.
    pub fn model(&self) -> Option<&names::ModelId> {
        self.call.wanted.as_ref().map(|wanted| &wanted.model)
    }
}

/// A request that is at a target; counts there until it is dropped.
pub struct Flight<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    key: targets::TargetKey,
    wanted: Option<choose::Wanted>,
    tokens: u64,
}

impl<P: router::Platform> Flight<P> {
    /// Counts a request at a target.
    pub fn begin(shared: &Rc<router::Shared<P>>, key: targets::TargetKey, job: &Job) -> Self {
        let wanted = job.call.wanted.clone();
        let flight = Self { shared: shared.clone(), key, wanted, tokens: job.tokens() };
        let mut view = shared.view.borrow_mut();
        if let Some(target) = view.targets.get_mut(key) {
            target.ours += 1;
            target.our_tokens += flight.tokens;
            if let Some(wanted) = &flight.wanted {
                *target.in_flight.entry(wanted.clone()).or_default() += 1;
            }
        }
        view.prefixes.note(&job.chain, key);
        drop(view);
        flight
    }

    /// The target.
    pub const fn key(&self) -> targets::TargetKey {
        self.key
    }
}

impl<P: router::Platform> Drop for Flight<P> {
    fn drop(&mut self) {
        let mut view = self.shared.view.borrow_mut();
        let Some(target) = view.targets.get_mut(self.key) else { return };
        target.ours = target.ours.saturating_sub(1);
        target.our_tokens = target.our_tokens.saturating_sub(self.tokens);
        let Some(wanted) = &self.wanted else { return };
        if let Some(count) = target.in_flight.get_mut(wanted) {
            *count -= 1;
            if *count == 0 {
                target.in_flight.remove(wanted);
            }
        }
        view.wake(&wanted.model);
    }
}

/// Counts a request among those that wait for a model until it is dropped.
struct Waiting<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    model: names::ModelId,
}

impl<P: router::Platform> Waiting<P> {
    fn begin(shared: &Rc<router::Shared<P>>, model: &names::ModelId) -> Self {
        let mut view = shared.view.borrow_mut();
        *view.waiting.entry(model.clone()).or_default() += 1;
        drop(view);
        shared.tell_planner.notify_one();
        Self { shared: shared.clone(), model: model.clone() }
    }
}

impl<P: router::Platform> Drop for Waiting<P> {
    fn drop(&mut self) {
        let mut view = self.shared.view.borrow_mut();
        if let Some(count) = view.waiting.get_mut(&self.model) {
            *count -= 1;
            if *count == 0 {
                view.waiting.remove(&self.model);
            }
        }
    }
}

/// How one attempt ended.
enum Attempt<P: router::Platform> {
    /// The head of an answer came.
    Answered(Box<Answered<P>>),
    /// Nothing was written to the target.
    NotSent,
    /// The target says that it did not run the request.
    NotRun,
    /// It may have run.
    Unknown(&'static str),
    /// The request's time is over.
    TimeOver,
}

/// The head of an answer, with what the rest comes over.
pub struct Answered<P: router::Platform> {
    /// Status and headers as the target sent them.
    pub head: http::response::Parts,
    /// What they say.
    pub info: dialect::AnswerHead,
    /// The rest.
    pub body: Incoming,
    /// The connection.
    pub lease: pool::Lease,
    /// Counts the request at the target.
    pub flight: Flight<P>,
}

/// Answers one request.
///
/// # Errors
///
/// [`Broken`] closes the caller's connection without an answer.
pub async fn answer<P: router::Platform>(
    shared: Rc<router::Shared<P>>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Broken> {
    let arrived = shared.clock.now();
    let (parts, body) = req.into_parts();
    let call = shared.platform.read_call(&parts.headers);
    let (route, limit) = match find_route(&shared, &parts) {
        Ok(found) => found,
        Err((status, why)) => {
            shared.log.refused(&call.id, "", status, why, arrived, shared.clock.now());
            let after = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(STARTING_RETURN);
            return Ok(own_answer(status, why, after));
        }
    };
    let patience = call.deadline.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let latest = arrived + patience;
    let read = Limited::new(body, limit).collect();
    let body = match tokio::time::timeout_at(latest.into(), read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Ok(own_answer(StatusCode::PAYLOAD_TOO_LARGE, "body over the limit", None));
        }
        Ok(Err(_)) | Err(_) => return Err(Broken::ByCaller),
    };
    let hash = xxh3::xxh3_64(call.id.as_bytes());
    let Some(service) = route.service(hash).cloned() else {
        return Ok(own_answer(StatusCode::SERVICE_UNAVAILABLE, "route without service", None));
    };
    let model = call.wanted.as_ref().map_or("", |wanted| wanted.model.as_str());
    let chain = prefixes::Chain::new(model, call.parts.iter().map(|part| (part.id, part.tokens)));
    let uri = parts.uri.path_and_query().cloned().map_or_else(|| parts.uri.clone(), Uri::from);
    let job = Job {
        call,
        route,
        service,
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        arrived,
        latest,
        silent_since: arrived,
        hash,
        chain,
        tried: Vec::new(),
        offers: 0,
        may_have_run: false,
        sent: None,
        last_target: names::TargetId::default(),
        last_trouble: "",
    };
    shared.note_arrival(&job);
    let mut open = Open { shared: shared.clone(), id: job.call.id.clone(), over: false };
    let answer = run(shared, job).await;
    open.over = true;
    Ok(answer)
}

/// A request without the head of an answer; says so when the caller leaves.
struct Open<P: router::Platform> {
    shared: Rc<router::Shared<P>>,
    id: SmolStr,
    over: bool,
}

impl<P: router::Platform> Drop for Open<P> {
    fn drop(&mut self) {
        if !self.over {
            self.shared.log.left(&self.id, 0, self.shared.clock.now());
        }
    }
}

fn find_route<P: router::Platform>(
    shared: &router::Shared<P>,
    parts: &http::request::Parts,
) -> Result<(Arc<config::Route>, usize), (StatusCode, &'static str)> {
    if shared.refuses(shared.clock.now()) {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "this router is stopping"));
    }
    let view = shared.view.borrow();
    let Some(table) = &view.table else {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet"));
    };
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = table.find(host, parts.uri.path());
    let route = route.ok_or((StatusCode::NOT_FOUND, "no route for this host and path"))?;
    Ok((route.clone(), table.config().limits.body_bytes))
}

/// Tries targets until one answers or the request is given up.
async fn run<P: router::Platform>(
    shared: Rc<router::Shared<P>>,
    mut job: Job,
) -> Response<AnswerBody> {
    loop {
        let key = match find_target(&shared, &mut job).await {
            Ok(key) => key,
            Err(given_up) => return refuse(&shared, &job, given_up.why, given_up.after),
        };
        job.tried.push(key);
        match attempt(&shared, &mut job, key, None).await {
            Attempt::Answered(answered) => match finish(&shared, job, *answered).await {
                Ok(answer) => return answer,
                Err(again) => job = *again,
            },
            Attempt::NotSent => {
                // Nobody got it, so it does not count as sent.
                job.tried.pop();
                job.offers += 1;
                job.last_trouble = "no connection to the target";
                shared.log.attempt_failed(&job, job.last_trouble, None, shared.clock.now());
                if job.offers > MOST_OFFERS {
                    return refuse(&shared, &job, job.last_trouble, REFUSED_RETURN);
                }
            }
            Attempt::NotRun => {
                // It has run nowhere, so it does not count as one of the route's targets; the
                // target itself is left out for a while, as it does not hold the model.
                job.tried.pop();
                job.offers += 1;
                job.last_trouble = "the target did not run it";
                if !may_try_another(&shared, &job) {
                    return refuse(&shared, &job, job.last_trouble, REFUSED_RETURN);
                }
            }
            Attempt::Unknown(why) => {
                shared.log.attempt_failed(&job, why, None, shared.clock.now());
                job.last_trouble = why;
                job.may_have_run = true;
                if !(job.route.may_repeat() && may_try_another(&shared, &job)) {
                    return fail(&shared, &job, StatusCode::BAD_GATEWAY, why);
                }
            }
            Attempt::TimeOver => {
                return fail(&shared, &job, StatusCode::GATEWAY_TIMEOUT, "the time is over");
            }
        }
    }
}

/// Whether another target may get the request; takes it from the budget.
fn may_try_another<P: router::Platform>(shared: &router::Shared<P>, job: &Job) -> bool {
    (job.tried.len() as u32) < job.route.most_targets
        && job.offers < MOST_OFFERS
        && shared.spend_repeat(&job.service)
}

/// A request that no target can take.
struct GivenUp {
    why: &'static str,
    /// When to come back.
    after: Duration,
}

/// A target for the request, after waiting for one if that is of use.
async fn find_target<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut Job,
) -> Result<targets::TargetKey, GivenUp> {
    let mut waiting = None;
    loop {
        let now = shared.clock.now();
        let waker = shared.view.borrow_mut().waker(job.model());
        // Registered before the look, so that a change between look and wait is not missed.
        let woken = waker.notified();
        tokio::pin!(woken);
        woken.as_mut().enable();
        let choice = shared.choose(now, job);
        let (until, look) = match choice {
            choose::Choice::Send(key) => {
                shared.log.placed(job, &shared.view.borrow(), key, now);
                return Ok(key);
            }
            choose::Choice::LoadAdapter(key) => {
                shared.ask_for_adapter(key, job);
                (shared.latest(job), ASK_AGAIN)
            }
            choose::Choice::Full | choose::Choice::Cold | choose::Choice::NoTarget => {
                let expected = shared.expected(now, job, choice);
                let until = job.held_until().min(shared.latest(job));
                if waiting.is_none() {
                    shared.log.waits(job, reason(choice), expected, now);
                }
                match patience::judge(now, until, expected, job.spread()) {
                    patience::Verdict::Hold { until } => {
                        (until.min(shared.latest(job)), LOOK_AGAIN)
                    }
                    patience::Verdict::Refuse { after } => {
                        return Err(GivenUp { why: reason(choice), after });
                    }
                }
            }
        };
        if now >= until {
            return Err(GivenUp { why: reason(choice), after: REFUSED_RETURN });
        }
        if let (None, Some(model)) = (&waiting, job.model()) {
            waiting = Some(Waiting::begin(shared, model));
        }
        let look = (now + look).min(until);
        tokio::select! {
            () = woken => {}
            () = tokio::time::sleep_until(look.into()) => {}
        }
    }
}

/// Why a request has no target.
const fn reason(choice: choose::Choice) -> &'static str {
    match choice {
        choose::Choice::Full => "all targets are full",
        choose::Choice::Cold => "the model cannot be there in time",
        choose::Choice::NoTarget => "no target can be used",
        choose::Choice::LoadAdapter(_) => "the adapter was not loaded in time",
        choose::Choice::Send(_) => "the time is over",
    }
}

/// Sends the request to a target and waits for the head of its answer.
async fn attempt<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut Job,
    key: targets::TargetKey,
    last_event: Option<u64>,
) -> Attempt<P> {
    let now = shared.clock.now();
    let Some((addr, id)) = shared.address(key) else { return Attempt::NotSent };
    job.last_target = id.clone();
    job.sent = Some(now);
    let left = job.latest.saturating_duration_since(now).saturating_sub(ANSWER_WAY);
    if left.is_zero() {
        return Attempt::TimeOver;
    }
    let flight = Flight::begin(shared, key, job);
    let passing = dialect::Passing {
        target: &id,
        time_left: left,
        priority: job.call.wanted.is_some().then_some(job.route.priority),
        last_event,
    };
    let req = request(shared, job, &passing);
    let mut lease = match shared.pool.lease(now, addr).await {
        Ok(lease) => lease,
        Err(error) => {
            shared.target_failed(key, "no connection");
            tracing::debug!(%addr, %error, "no connection to the target");
            return Attempt::NotSent;
        }
    };
    let mut unsent = Some(req);
    loop {
        let Some(req) = unsent.take() else { return Attempt::NotSent };
        let sending = lease.sender.try_send_request(req);
        let answer = match wait_for_head(shared, job, key, sending).await {
            Head::Came(answer) => answer,
            Head::Unsent(req) if lease.used => {
                // The target had closed the connection before anything was written.
                match shared.pool.open(addr).await {
                    Ok(new) => lease = new,
                    Err(_) => {
                        shared.target_failed(key, "no connection");
                        return Attempt::NotSent;
                    }
                }
                unsent = Some(*req);
                continue;
            }
            Head::Unsent(_) => {
                shared.target_failed(key, "connection closed at once");
                return Attempt::NotSent;
            }
            Head::Lost => {
                shared.target_failed(key, "connection lost");
                return Attempt::Unknown("the target's connection was lost");
            }
            Head::Silent => {
                shared.target_failed(key, "silent");
                return Attempt::Unknown("the target was silent");
            }
            Head::TimeOver => {
                shared.target_failed(key, "time over");
                return Attempt::TimeOver;
            }
        };
        return judge_head(shared, job, lease, flight, answer);
    }
}

fn judge_head<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &Job,
    lease: pool::Lease,
    flight: Flight<P>,
    answer: Response<Incoming>,
) -> Attempt<P> {
    let key = flight.key();
    let (head, body) = answer.into_parts();
    let info = shared.platform.read_answer(head.status, &head.headers);
    if info.request.as_ref().is_some_and(|id| *id != job.call.id) {
        shared.target_failed(key, "answer to another request");
        return Attempt::Unknown("the answer was to another request");
    }
    if let Some(load) = info.load {
        shared.note_load(key, load);
    }
    if info.not_run {
        shared.not_run(key, job, head.status, info.target.as_ref());
        // Its short answer is not waited for; the connection is closed.
        return Attempt::NotRun;
    }
    if !info.signed {
        shared.target_failed(key, "answer without signature");
        return Attempt::Unknown("the answer was not the target's");
    }
    Attempt::Answered(Box::new(Answered { head, info, body, lease, flight }))
}

/// What came of waiting for the head of an answer.
enum Head {
    Came(Response<Incoming>),
    Unsent(Box<Request<pool::Body>>),
    Lost,
    Silent,
    TimeOver,
}

async fn wait_for_head<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &Job,
    key: targets::TargetKey,
    sending: impl Future<
        Output = Result<Response<Incoming>, hyper::client::conn::TrySendError<Request<pool::Body>>>,
    >,
) -> Head {
    tokio::pin!(sending);
    let silence = (job.route.aim * SILENT_AIMS).max(LEAST_SILENCE);
    let mut look = (shared.clock.now() + silence).min(shared.latest(job));
    loop {
        tokio::select! {
            sent = &mut sending => {
                return match sent {
                    Ok(answer) => Head::Came(answer),
                    Err(mut error) => match error.take_message() {
                        Some(req) => Head::Unsent(Box::new(req)),
                        None => Head::Lost,
                    },
                };
            }
            () = tokio::time::sleep_until(look.into()) => {}
        }
        let now = shared.clock.now();
        if now >= shared.latest(job) {
            return Head::TimeOver;
        }
        if job.route.may_repeat() && shared.has_alternative(now, job, key) {
            return Head::Silent;
        }
        look = (now + silence).min(shared.latest(job));
    }
}

/// The request as the target gets it.
fn request<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &Job,
    passing: &dialect::Passing,
) -> Request<pool::Body> {
    let mut headers = job.headers.clone();
    shared.platform.pass_on(&mut headers, passing);
    if !job.body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(job.body.len()));
    }
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = headers;
    req
}

/// Passes the answer on; gives the job back if it failed and another target is to be tried.
async fn finish<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: Job,
    answered: Answered<P>,
) -> Result<Response<AnswerBody>, Box<Job>> {
    let key = answered.flight.key();
    if job.route.streams && answered.head.status.is_success() {
        return match stream::first(shared, job, answered).await {
            Ok(answer) => Ok(answer),
            Err((job, why)) => again_or_fail(shared, *job, key, why),
        };
    }
    let Answered { mut head, info, body, lease, flight } = answered;
    let reading = Limited::new(body, MOST_ANSWER_BYTES).collect();
    let body = match tokio::time::timeout_at(shared.latest(&job).into(), reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return again_or_fail(shared, job, key, "the target broke off its answer"),
        Err(_) => return Ok(fail(shared, &job, StatusCode::GATEWAY_TIMEOUT, "the time is over")),
    };
    let keep = if info.closes { Some(Duration::ZERO) } else { info.keep_for };
    shared.pool.give_back(shared.clock.now(), lease, keep);
    drop(flight);
    if head.status.is_server_error() {
        shared.target_failed(key, "error of the target");
        if job.route.may_repeat() && may_try_another(shared, &job) {
            return Err(Box::new(job));
        }
    } else {
        shared.target_succeeded(key);
    }
    shared.platform.hand_back(&mut head.headers);
    shared.log.answered(&job, head.status, "whole", shared.clock.now());
    Ok(Response::from_parts(head, AnswerBody::whole(body)))
}

/// After an answer that broke off: the job, if another target may be tried, else the failure.
fn again_or_fail<P: router::Platform>(
    shared: &router::Shared<P>,
    mut job: Job,
    key: targets::TargetKey,
    why: &'static str,
) -> Result<Response<AnswerBody>, Box<Job>> {
    shared.target_failed(key, why);
    shared.log.attempt_failed(&job, why, None, shared.clock.now());
    job.last_trouble = why;
    job.may_have_run = true;
    if job.route.may_repeat() && may_try_another(shared, &job) {
        return Err(Box::new(job));
    }
    Ok(fail(shared, &job, StatusCode::BAD_GATEWAY, why))
}

/// Refuses a request that has not run. One whose attempt may have run is not told so.
fn refuse<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &Job,
    why: &'static str,
    after: Duration,
) -> Response<AnswerBody> {
    if job.may_have_run {
        return fail(shared, job, StatusCode::BAD_GATEWAY, why);
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    shared.log.refused(&job.call.id, &job.route.name, status, why, job.arrived, shared.clock.now());
    own_answer(status, why, Some(patience::return_after(after, job.spread())))
}

/// Ends a request whose fate is not known, or that ran and failed.
fn fail<P: router::Platform>(
    shared: &router::Shared<P>,
    job: &Job,
    status: StatusCode,
    why: &'static str,
) -> Response<AnswerBody> {
    shared.log.answered(job, status, why, shared.clock.now());
    own_answer(status, why, None)
}

/// An answer of the router's own.
pub fn own_answer(
    status: StatusCode,
    why: &'static str,
    after: Option<Duration>,
) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(Bytes::from_static(why.as_bytes())));
    *answer.status_mut() = status;
    if let Some(after) = after {
        let text = SmolStr::from(format!("{:.3}", after.as_secs_f64()));
        if let Ok(value) = HeaderValue::from_str(&text) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}

/// One attempt at another target for the rest of a stream.
pub async fn resume<P: router::Platform>(
    shared: &Rc<router::Shared<P>>,
    job: &mut Job,
    last_event: Option<u64>,
) -> Result<Answered<P>, &'static str> {
    if !may_try_another(shared, job) {
        return Err("no further target is allowed");
    }
    let key = find_target(shared, job).await.map_err(|given_up| given_up.why)?;
    job.tried.push(key);
    match attempt(shared, job, key, last_event).await {
        Attempt::Answered(answered) if answered.head.status.is_success() => Ok(*answered),
        Attempt::Answered(_) => Err("the other target failed"),
        Attempt::NotSent | Attempt::NotRun => Err("the other target did not take it"),
        Attempt::Unknown(why) => Err(why),
        Attempt::TimeOver => Err("the time is over"),
    }
}
