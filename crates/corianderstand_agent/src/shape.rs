//! Estimates the length of a request from its body.

use corianderstand_decide::request::RequestShape;
use corianderstand_schema::messages::Operation;
use serde::Deserialize;

#[derive(Deserialize)]
struct TokenLimits {
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

/// Returns the shape of a request, without the session prefix, which only routers use.
pub fn request_shape(operation: &Operation, body: &[u8]) -> RequestShape {
    let chat = match operation {
        Operation::Chat { .. } => true,
        Operation::Completion { .. } => false,
        Operation::Call { .. } => return RequestShape::default(),
    };
    let limits: Option<TokenLimits> = serde_json::from_slice(body).ok();
    let tokens = limits.and_then(|limits| limits.max_completion_tokens.or(limits.max_tokens));
    RequestShape { prefix: None, ..RequestShape::of(tokens, chat, b"") }
}
