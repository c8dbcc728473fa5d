//! An HTTP client that records everything a caller sees of a response.

use serde_json::Value;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// Target URL.
    pub url: String,
    /// Bearer token of the team.
    pub bearer_token: String,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// JSON body.
    pub body: Value,
}

/// A response as the caller receives it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Answer {
    /// HTTP status; 0 without a response.
    pub status: i64,
    /// Error code, if any.
    pub code: String,
    /// Outcome of a call: `ran`, `not-run`, `unknown` or empty.
    pub outcome: String,
    /// `Retry-After` in seconds; 0 if none.
    pub retry_after: i64,
    /// Generated text, else the body or the transport error.
    pub text: String,
    /// Whether the response is complete: status 200, or a stream with its end marker.
    pub whole: bool,
    /// Raw body.
    pub body: String,
    /// Duration in milliseconds.
    pub took_ms: i64,
}

impl Request {
    /// Creates a POST request without a body.
    pub fn post(url: String, bearer_token: &str) -> Self {
        Self { url, bearer_token: bearer_token.to_owned(), headers: Vec::new(), body: Value::Null }
    }

    /// Adds a header.
    pub fn header(&mut self, name: &str, value: &str) {
        self.headers.push((name.to_owned(), value.to_owned()));
    }
}

/// Sends a request and reads the response to its end.
pub async fn send(client: &reqwest::Client, request: &Request) -> Answer {
    let started_at = std::time::Instant::now();
    let mut req = client.post(&request.url).bearer_auth(&request.bearer_token).json(&request.body);
    for (name, value) in &request.headers {
        req = req.header(name, value);
    }
    let mut answer = match req.send().await {
        Ok(response) => read(response).await,
        Err(error) => Answer { text: error.to_string(), ..Answer::default() },
    };
    answer.took_ms = started_at.elapsed().as_millis() as i64;
    answer
}

async fn read(response: reqwest::Response) -> Answer {
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let mut answer = Answer {
        status: i64::from(response.status().as_u16()),
        outcome: header("x-corianderstand-outcome"),
        retry_after: header("retry-after").parse().unwrap_or_default(),
        ..Answer::default()
    };
    let streamed = header("content-type").starts_with("text/event-stream");
    match response.text().await {
        Ok(body) if streamed => read_events(&mut answer, &body),
        Ok(body) => read_document(&mut answer, &body),
        Err(error) => answer.text = error.to_string(),
    }
    answer
}

fn read_document(answer: &mut Answer, body: &str) {
    body.clone_into(&mut answer.body);
    let value: Value = serde_json::from_str(body).unwrap_or_default();
    answer.code = value["error"]["code"].as_str().unwrap_or_default().to_owned();
    let text = value["choices"][0]["text"].as_str();
    text.unwrap_or(body).clone_into(&mut answer.text);
    answer.whole = answer.status == 200;
}

fn read_events(answer: &mut Answer, body: &str) {
    body.clone_into(&mut answer.body);
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            answer.whole = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(code) = value["error"]["code"].as_str() {
            code.clone_into(&mut answer.code);
        }
        answer.text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
}
