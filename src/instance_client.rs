//! An HTTP client for the operators' addresses of instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use crate::error::CommandError;

/// Time limit for the complete response of one instance.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a response. A burn state with the largest number of series takes about 10 MiB.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Results of one request to several instances, in the order of their addresses.
pub(crate) type Responses<T> = Vec<(SocketAddr, Result<T, CommandError>)>;

/// Sends a GET request for `path` to all addresses concurrently and decodes the JSON responses.
pub(crate) async fn get_all<T>(addresses: &[SocketAddr], path: &'static str) -> Responses<T>
where
    T: DeserializeOwned + Send + 'static,
{
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut calls = JoinSet::new();
    for (n, address) in addresses.iter().copied().enumerate() {
        let client = client.clone();
        calls.spawn(async move { (n, address, get(&client, address, path).await) });
    }
    let mut responses: Vec<_> = calls.join_all().await;
    responses.sort_by_key(|(n, ..)| *n);
    responses.into_iter().map(|(_, address, response)| (address, response)).collect()
}

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

async fn get<T: DeserializeOwned>(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Result<T, CommandError> {
    let error = |message: String| CommandError::Instance(address, message);
    let uri = format!("http://{address}{path}").parse().map_err(|e| error(format!("{e}")))?;
    let response = async {
        let res = client.get(uri).await.map_err(|e| error(root_cause(&e)))?;
        if !res.status().is_success() {
            return Err(error(format!("GET {path} returned {}", res.status())));
        }
        let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES).collect().await;
        body.map(|body| body.to_bytes())
            .map_err(|e| error(format!("the response body cannot be read: {e}")))
    };
    let timed_out = |_| error(format!("no response within {} s", RESPONSE_TIMEOUT.as_secs()));
    let body = tokio::time::timeout(RESPONSE_TIMEOUT, response).await.map_err(timed_out)??;
    serde_json::from_slice(&body)
        .map_err(|e| error(format!("GET {path} returned an unexpected body: {e}")))
}

/// Returns the message of the innermost cause, which is usually an error of the operating system.
fn root_cause(e: &(dyn std::error::Error + 'static)) -> String {
    let mut cause = e;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
