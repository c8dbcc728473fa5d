//! Parses and validates the body of a model request.
//!
//! Engines receive the body unchanged. Fields that would change the format of the answer are
//! rejected. A null field counts as absent.

use crate::problem::Problem;
use corianderstand_decide::request;
use serde::{Deserialize, de::IgnoredAny};
use serde_json::Value;
use std::ops::RangeInclusive;

const MAX_STOP_SEQUENCES: usize = 16;
/// Requests must set `max_tokens` below this limit.
const MAX_TOKENS: u32 = 16 * 1024 * 1024;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "an object with `model` and `prompt` or `messages`")]
pub struct Params {
    pub model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    temperature: Option<f64>,
    top_p: Option<f64>,
    presence_penalty: Option<f64>,
    frequency_penalty: Option<f64>,
    n: Option<u32>,
    best_of: Option<u32>,
    echo: Option<bool>,
    logprobs: Option<Logprobs>,
    stop: Option<Stop>,
    #[serde(rename = "seed")]
    _seed: Option<i64>,
    #[serde(rename = "user")]
    _user: Option<String>,
    #[serde(rename = "metadata")]
    _metadata: Option<IgnoredAny>,
    #[serde(rename = "response_format")]
    _response_format: Option<ResponseFormat>,
    suffix: Option<IgnoredAny>,
    logit_bias: Option<IgnoredAny>,
    top_logprobs: Option<IgnoredAny>,
    tools: Option<IgnoredAny>,
    tool_choice: Option<IgnoredAny>,
    parallel_tool_calls: Option<IgnoredAny>,
    functions: Option<IgnoredAny>,
    function_call: Option<IgnoredAny>,
    modalities: Option<IgnoredAny>,
    audio: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(rename = "role")]
    _role: String,
    content: Option<Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StreamOptions {
    include_usage: Option<bool>,
}

#[derive(Deserialize)]
struct ResponseFormat {
    #[serde(rename = "type")]
    _kind: String,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "true, false or a number")]
enum Logprobs {
    Enabled(bool),
    Count(u32),
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "a string or an array of strings")]
enum Stop {
    One(#[allow(dead_code, reason = "only its type is checked")] String),
    Many(Vec<String>),
}

impl Params {
    pub fn read(body: &[u8], chat: bool) -> Result<Self, Problem> {
        let mut json = serde_json::Deserializer::from_slice(body);
        let params: Self = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let path = error.path().to_string();
            invalid(&path, &format!("is invalid: {}", error.into_inner()))
        })?;
        json.end().map_err(|error| invalid("the body", &format!("has trailing data: {error}")))?;
        params.check(chat)?;
        Ok(params)
    }

    pub fn is_streamed(&self) -> bool {
        self.stream.unwrap_or(false)
    }

    pub fn includes_usage(&self) -> bool {
        let options = self.stream_options.as_ref();
        options.and_then(|options| options.include_usage).unwrap_or(false)
    }

    /// Returns the output limit and the prompt's prefix, by which a session finds its cached prompt.
    pub fn shape(&self, chat: bool) -> request::RequestShape {
        let message = |index: usize| self.messages.as_ref().and_then(|all| all.get(index));
        let content = |index: usize| message(index)?.content.as_ref()?.as_str();
        let text = |index: usize| content(index).unwrap_or_default();
        let prefix = format!("{}\n{}", text(0), text(1));
        let tokens = self.max_completion_tokens.or(self.max_tokens).map(u64::from);
        request::RequestShape::of(tokens, chat, prefix.as_bytes())
    }

    fn check(&self, chat: bool) -> Result<(), Problem> {
        match (chat, &self.messages, &self.prompt) {
            (true, Some(messages), None) if !messages.is_empty() => {}
            (false, None, Some(_)) => {}
            (true, ..) => return Err(invalid("messages", "needs at least one, and no `prompt`")),
            (false, ..) => return Err(invalid("prompt", "must be one string, without `messages`")),
        }
        if self.stream_options.is_some() && !self.is_streamed() {
            return Err(invalid("stream_options", "requires `stream`: true"));
        }
        self.check_ranges()?;
        self.check_unsupported()
    }

    fn check_ranges(&self) -> Result<(), Problem> {
        check_count("max_tokens", self.max_tokens)?;
        check_count("max_completion_tokens", self.max_completion_tokens)?;
        check_range("temperature", self.temperature, 0.0..=2.0)?;
        check_range("top_p", self.top_p, 0.0..=1.0)?;
        check_range("presence_penalty", self.presence_penalty, -2.0..=2.0)?;
        check_range("frequency_penalty", self.frequency_penalty, -2.0..=2.0)?;
        match &self.stop {
            Some(Stop::Many(stops)) if stops.len() > MAX_STOP_SEQUENCES => {
                Err(invalid("stop", &format!("allows at most {MAX_STOP_SEQUENCES} sequences")))
            }
            _ => Ok(()),
        }
    }

    fn check_unsupported(&self) -> Result<(), Problem> {
        if self.n.is_some_and(|n| n != 1) {
            return Err(invalid("n", "must be 1: send one request for each answer"));
        }
        if self.best_of.is_some_and(|n| n != 1) {
            return Err(invalid("best_of", "must be 1: send one request for each answer"));
        }
        let logprobs = !matches!(
            self.logprobs,
            None | Some(Logprobs::Enabled(false)) | Some(Logprobs::Count(0))
        );
        let unsupported = [
            ("echo", self.echo == Some(true)),
            ("logprobs", logprobs),
            ("suffix", self.suffix.is_some()),
            ("logit_bias", self.logit_bias.is_some()),
            ("top_logprobs", self.top_logprobs.is_some()),
            ("tools", self.tools.is_some()),
            ("tool_choice", self.tool_choice.is_some()),
            ("parallel_tool_calls", self.parallel_tool_calls.is_some()),
            ("functions", self.functions.is_some()),
            ("function_call", self.function_call.is_some()),
            ("modalities", self.modalities.is_some()),
            ("audio", self.audio.is_some()),
        ];
        match unsupported.iter().find(|(_, present)| *present) {
            Some((field, _)) => Err(invalid(field, "is not supported: leave it out")),
            None => Ok(()),
        }
    }
}

fn invalid(field: &str, message: &str) -> Problem {
    Problem::Invalid(format!("`{field}` {message}"))
}

fn check_count(field: &str, value: Option<u32>) -> Result<(), Problem> {
    match value {
        Some(0) | Some(MAX_TOKENS..) => {
            Err(invalid(field, &format!("must be a whole number from 1 to {}", MAX_TOKENS - 1)))
        }
        _ => Ok(()),
    }
}

fn check_range(field: &str, value: Option<f64>, range: RangeInclusive<f64>) -> Result<(), Problem> {
    match value {
        Some(value) if !range.contains(&value) => {
            Err(invalid(field, &format!("must be from {} to {}", range.start(), range.end())))
        }
        _ => Ok(()),
    }
}
