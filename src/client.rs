//! Asks instances over their operators' addresses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use crate::failure::Failure;

/// Time for the whole answer of one instance.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// Longest answer: a burn state with the largest number of series takes about 10 MiB.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Answers of several instances, in the order of their addresses.
pub(crate) type Answers<T> = Vec<(SocketAddr, Result<T, Failure>)>;

/// Gets `path` as JSON from all addresses at one time.
pub(crate) async fn get_all<T>(addresses: &[SocketAddr], path: &'static str) -> Answers<T>
where
    T: DeserializeOwned + Send + 'static,
{
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut calls = JoinSet::new();
    for (n, address) in addresses.iter().copied().enumerate() {
        let client = client.clone();
        calls.spawn(async move { (n, address, get(&client, address, path).await) });
    }
    let mut answers: Vec<_> = calls.join_all().await;
    answers.sort_by_key(|(n, ..)| *n);
    answers.into_iter().map(|(_, address, answer)| (address, answer)).collect()
}

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

async fn get<T: DeserializeOwned>(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Result<T, Failure> {
    let fail = |message: String| Failure::Instance(address, message);
    let uri = format!("http://{address}{path}").parse().map_err(|e| fail(format!("{e}")))?;
    let answer = async {
        let res = client.get(uri).await.map_err(|e| fail(reason(&e)))?;
        if !res.status().is_success() {
            return Err(fail(format!("GET {path} is answered with {}", res.status())));
        }
        let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES).collect().await;
        body.map(|body| body.to_bytes()).map_err(|e| fail(format!("the answer breaks off: {e}")))
    };
    let late = |_| fail(format!("no answer within {} s", ANSWER_TIME.as_secs()));
    let body = tokio::time::timeout(ANSWER_TIME, answer).await.map_err(late)??;
    serde_json::from_slice(&body)
        .map_err(|e| fail(format!("GET {path} has an unexpected body: {e}")))
}

/// The innermost cause, which names the system's error.
fn reason(e: &(dyn std::error::Error + 'static)) -> String {
    let mut cause = e;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
