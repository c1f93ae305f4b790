//! Requests of callers, sent with an ordinary HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Response};
use serde_json::{Value, json};
use stand_ins::engine::{chat_prompt, expected_text};

use crate::deployment::Deployment;

/// Result of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete answer to this request.
    Complete,
    /// A refusal with its verdict and reason.
    Refused { verdict: String, reason: String },
    /// Anything else: a broken connection, a partial answer or the answer to another request.
    Invalid(String),
}

/// A completion request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chat {
    pub(crate) target: &'static str,
    pub(crate) key: &'static str,
    pub(crate) tokens: u64,
    pub(crate) stream: bool,
    pub(crate) number: u64,
    pub(crate) class: Option<&'static str>,
    /// Whether the request is a text completion instead of a chat completion.
    pub(crate) is_text: bool,
}

impl Chat {
    /// Creates a request of the foremen for a short answer.
    pub(crate) fn new(target: &'static str, number: u64) -> Self {
        Self {
            target,
            key: "demo-foremen",
            tokens: 8,
            stream: false,
            number,
            class: None,
            is_text: false,
        }
    }

    /// Creates a request for an answer of `tokens` tokens as a stream.
    pub(crate) fn streamed(target: &'static str, number: u64, tokens: u64) -> Self {
        Self { tokens, stream: true, ..Self::new(target, number) }
    }

    /// Moves the request to the batch class, which waits longer.
    pub(crate) fn with_batch_class(self) -> Self {
        Self { class: Some("batch"), ..self }
    }

    /// Authenticates the request with the key of the repair counter.
    pub(crate) fn with_counter_key(self) -> Self {
        Self { key: "demo-counter", ..self }
    }

    /// Sends the request and checks the answer against the expected text.
    pub(crate) async fn send(self, address: SocketAddr) -> Outcome {
        self.send_with_deadline(address, None).await
    }

    fn content(self) -> String {
        format!("request {} for {}", self.number, self.target)
    }

    fn messages(self) -> Value {
        json!([{ "role": "user", "content": self.content() }])
    }

    /// The prompt that the engine receives.
    pub(crate) fn prompt(self) -> String {
        if self.is_text { self.content() } else { chat_prompt(&self.messages()) }
    }

    async fn send_with_deadline(self, address: SocketAddr, deadline_ms: Option<u64>) -> Outcome {
        let expected = expected_text(self.target, &self.prompt(), self.tokens);
        let mut body = json!({ "model": self.target, "stream": self.stream,
            "max_tokens": self.tokens });
        let path = if self.is_text {
            body["prompt"] = self.content().into();
            "completions"
        } else {
            body["messages"] = self.messages();
            "chat/completions"
        };
        let mut req =
            client().post(format!("http://{address}/v1/{path}")).bearer_auth(self.key).json(&body);
        if let Some(class) = self.class {
            req = req.header("x-class", class);
        }
        if let Some(ms) = deadline_ms {
            req = req.header("x-deadline-ms", ms);
        }
        let res = match req.send().await {
            Ok(res) => res,
            Err(e) => return Outcome::Invalid(e.to_string()),
        };
        let text = match self.stream && res.status().is_success() {
            true => stream_text(res).await,
            false => response_text(res).await,
        };
        match text {
            Ok(text) if text == expected => Outcome::Complete,
            Ok(text) => Outcome::Invalid(format!("expected {expected}, got {text}")),
            Err(outcome) => outcome,
        }
    }
}

/// Sends a request with a deadline for the complete answer.
pub(crate) async fn send_chat_with_deadline(address: SocketAddr, chat: Chat, ms: u64) -> Outcome {
    chat.send_with_deadline(address, Some(ms)).await
}

/// Books a withdrawal of 2 units, with `id` also as the idempotency key.
pub(crate) async fn withdraw(address: SocketAddr, id: &str) -> Outcome {
    withdraw_amount(address, id, 2).await
}

/// Books a withdrawal of `amount` units, with `id` also as the idempotency key.
pub(crate) async fn withdraw_amount(address: SocketAddr, id: &str, amount: i64) -> Outcome {
    let withdrawal = Withdrawal { id: id.into(), has_key: true, amount, deadline_ms: None };
    withdrawal.send(address).await
}

/// A request to the ledger service that books a withdrawal.
#[derive(Clone, Debug)]
pub(crate) struct Withdrawal {
    pub(crate) id: String,
    /// Whether the id is also sent as the idempotency key.
    pub(crate) has_key: bool,
    pub(crate) amount: i64,
    pub(crate) deadline_ms: Option<u64>,
}

impl Withdrawal {
    /// Sends the withdrawal and checks that the answer belongs to it.
    pub(crate) async fn send(&self, address: SocketAddr) -> Outcome {
        let body = json!({ "id": self.id, "barn": "kalloni", "amount": self.amount });
        let mut req = client()
            .post(format!("http://{address}/services/ledger/withdrawals"))
            .bearer_auth("demo-foremen")
            .json(&body);
        if self.has_key {
            req = req.header("idempotency-key", &self.id);
        }
        if let Some(ms) = self.deadline_ms {
            req = req.header("x-deadline-ms", ms);
        }
        match req.send().await {
            Ok(res) if res.status().is_success() => match res.json::<Value>().await {
                Ok(answer) if answer["id"] == body["id"] && answer["amount"] == body["amount"] => {
                    Outcome::Complete
                }
                Ok(answer) => Outcome::Invalid(format!("answer of another withdrawal: {answer}")),
                Err(e) => Outcome::Invalid(e.to_string()),
            },
            Ok(res) => read_problem(res).await,
            Err(e) => Outcome::Invalid(e.to_string()),
        }
    }
}

/// Sends a request until it gets a complete answer. Refusals are retried; anything else panics.
pub(crate) async fn retry_until_served(deployment: &Deployment, instance: usize, chat: Chat) {
    let address = deployment.instances[instance].callers;
    deployment
        .wait_for("a request is served", async |_| match chat.send(address).await {
            Outcome::Complete => true,
            Outcome::Refused { .. } => false,
            Outcome::Invalid(what) => panic!("{what}"),
        })
        .await;
}

fn client() -> Client {
    Client::builder().timeout(Duration::from_secs(40)).build().expect("a client")
}

async fn response_text(res: Response) -> Result<String, Outcome> {
    if !res.status().is_success() {
        return Err(read_problem(res).await);
    }
    let body: Value = res.json().await.map_err(|e| Outcome::Invalid(e.to_string()))?;
    Ok(choice_text(&body, "message"))
}

async fn read_problem(res: Response) -> Outcome {
    let status = res.status();
    match res.json::<Value>().await {
        Ok(document) => parse_refusal(&document),
        Err(e) => Outcome::Invalid(format!("{status}: {e}")),
    }
}

fn parse_refusal(document: &Value) -> Outcome {
    match (document["verdict"].as_str(), document["reason"].as_str()) {
        (Some(verdict), Some(reason)) => {
            Outcome::Refused { verdict: verdict.to_owned(), reason: reason.to_owned() }
        }
        _ => Outcome::Invalid(format!("no problem document: {document}")),
    }
}

/// Text of the first choice: of a chat's `part`, or of a text completion.
fn choice_text(body: &Value, part: &str) -> String {
    let choice = &body["choices"][0];
    let text = choice[part]["content"].as_str().or(choice["text"].as_str());
    text.unwrap_or_default().to_owned()
}

/// Joins the text of a stream. The stream must end once, with the end marker or an error event.
async fn stream_text(res: Response) -> Result<String, Outcome> {
    let body = res.text().await.map_err(|e| Outcome::Invalid(e.to_string()))?;
    let mut text = String::new();
    let mut events = body.split("\n\n").filter(|event| !event.is_empty());
    let end = loop {
        let Some(event) = events.next() else {
            break Err(Outcome::Invalid("stream without end marker".into()));
        };
        if let Some(data) = event.strip_prefix("event: error\ndata: ") {
            break Err(parse_refusal(&serde_json::from_str(data).unwrap_or_default()));
        }
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            continue;
        };
        if data == "[DONE]" {
            break Ok(text);
        }
        text += &choice_text(&serde_json::from_str(data).unwrap_or_default(), "delta");
    };
    match events.next() {
        Some(event) => Err(Outcome::Invalid(format!("event after the end of the stream: {event}"))),
        None => end,
    }
}
