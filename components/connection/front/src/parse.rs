//! Parsing of callers' requests.

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use serde::Deserialize;
use serde::de::IgnoredAny;
use types::prelude::*;

use crate::{Call, Problem};

/// Length of the prompt prefix that is used for prefix affinity.
const MAX_PROMPT_PREFIX_BYTES: usize = 4096;
/// Longest model name, including the adapter.
const MAX_MODEL_NAME_BYTES: usize = 256;
/// Longest idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Longest deadline that a caller can set; a batch request may wait overnight.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// Header with the time left until the deadline of the complete response, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the urgency class.
pub const CLASS_HEADER: &str = "x-class";
/// Header with the name of the instance that forwarded a request from another data centre.
pub const FORWARDED_HEADER: &str = "x-forwarded-by";
/// Header with the idempotency key.
pub(crate) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Route of a request, determined from method and path before the body is read.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Route {
    Models,
    Completion(&'static str),
    Service { service: ServiceId, path: Box<str> },
}

#[derive(Deserialize)]
struct CompletionBody<'a> {
    #[serde(borrow)]
    model: std::borrow::Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    messages: Option<Vec<Message<'a>>>,
    #[serde(default, borrow)]
    prompt: Option<Content<'a>>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: std::borrow::Cow<'a, str>,
    #[serde(default, borrow)]
    content: Content<'a>,
}

/// Content of a message: text, or structured parts, which are ignored for prefix affinity.
#[derive(Default, Deserialize)]
#[serde(untagged)]
enum Content<'a> {
    Text(#[serde(borrow)] std::borrow::Cow<'a, str>),
    Other(IgnoredAny),
    #[default]
    Missing,
}

fn bad_request(detail: impl Into<Box<str>>) -> Problem {
    Problem::new(Refusal::not_run(Reason::BadRequest), detail)
}

/// Determines the route of a request.
pub(crate) fn route(method: &Method, uri: &Uri) -> Result<Route, Problem> {
    let not_found = || {
        let detail = format!("there is nothing at {method} {}", uri.path());
        Problem::new(Refusal::not_run(Reason::UnknownModel), detail)
    };
    match (method, uri.path()) {
        (&Method::GET, "/v1/models") => Ok(Route::Models),
        (&Method::POST, "/v1/chat/completions") => Ok(Route::Completion("/v1/chat/completions")),
        (&Method::POST, "/v1/completions") => Ok(Route::Completion("/v1/completions")),
        (_, path) => {
            let rest = path.strip_prefix("/services/").ok_or_else(not_found)?;
            let name = rest.split('/').next().unwrap_or_default();
            if name.is_empty() {
                return Err(not_found());
            }
            let below = &rest[name.len()..];
            let below = if below.is_empty() { "/" } else { below };
            let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
            Ok(Route::Service { service: name.into(), path: format!("{below}{query}").into() })
        }
    }
}

/// Parses the body of a completion request.
pub(crate) fn completion(path: &'static str, body: Bytes) -> Result<Call, Problem> {
    let parsed: CompletionBody<'_> = serde_json::from_slice(&body)
        .map_err(|e| bad_request(format!("the body is not a completion request: {e}")))?;
    if parsed.model.is_empty() || parsed.model.len() > MAX_MODEL_NAME_BYTES {
        return Err(bad_request(format!(
            "`model` must have 1 to {MAX_MODEL_NAME_BYTES} bytes, as MODEL or MODEL:ADAPTER"
        )));
    }
    if parsed.messages.as_ref().is_none_or(Vec::is_empty) && parsed.prompt.is_none() {
        return Err(bad_request("the body has neither `messages` nor `prompt`"));
    }
    let target = Target::parse(&parsed.model);
    let (stream, prompt) = (parsed.stream, prompt_prefix(&parsed));
    drop(parsed);
    Ok(Call::Completion { path, target, stream, prompt, body })
}

/// Returns the first bytes of the prompt text in the format that engines hash: one line
/// `ROLE: CONTENT` per message.
fn prompt_prefix(body: &CompletionBody<'_>) -> Box<[u8]> {
    let mut text = Vec::new();
    for message in body.messages.iter().flatten() {
        text.extend_from_slice(message.role.as_bytes());
        text.extend_from_slice(b": ");
        if let Content::Text(content) = &message.content {
            text.extend_from_slice(content.as_bytes());
        }
        text.push(b'\n');
        if text.len() >= MAX_PROMPT_PREFIX_BYTES {
            break;
        }
    }
    if let Some(Content::Text(prompt)) = &body.prompt {
        text.extend_from_slice(prompt.as_bytes());
    }
    text.truncate(MAX_PROMPT_PREFIX_BYTES);
    text.into()
}

/// Returns the bearer key, if there is one.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// Returns the deadline that the caller set.
pub(crate) fn deadline(headers: &HeaderMap, now: Instant) -> Result<Option<Instant>, Problem> {
    let Some(text) = single_header(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let ms: u64 = text.parse().map_err(|_| {
        bad_request(format!("`{DEADLINE_HEADER}` must be a whole number of milliseconds"))
    })?;
    Ok(Some(now + Duration::from_millis(ms).min(MAX_DEADLINE)))
}

/// Returns the urgency class that the caller requested.
pub(crate) fn class(headers: &HeaderMap) -> Result<Option<ClassId>, Problem> {
    Ok(single_header(headers, CLASS_HEADER)?.map(Into::into))
}

/// Returns the idempotency key that the caller set.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, Problem> {
    match single_header(headers, IDEMPOTENCY_HEADER)? {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => Err(bad_request(
            format!("`{IDEMPOTENCY_HEADER}` must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"),
        )),
        key => Ok(key.map(Into::into)),
    }
}

fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(format!("`{name}` is given more than once")));
    }
    let text = value.to_str().map_err(|_| bad_request(format!("`{name}` is not plain text")))?;
    Ok(Some(text))
}
