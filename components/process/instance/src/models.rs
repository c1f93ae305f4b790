//! Lists the models that a client account may use.

use front::{Problem, Reply};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::Serialize;
use types::prelude::*;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: Box<str>,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the models and adapters of a client account in the format that client libraries of callers
/// expect.
pub(crate) fn list(cfg: &Configuration, client_account: &str) -> Reply {
    let Some(contract) = cfg.contracts.get(client_account) else {
        let refusal = Refusal::not_run(Reason::UnknownKey);
        return Reply::Refused(Problem::new(refusal, "the contract has ended"));
    };
    let models = contract.models.iter().cloned();
    let adapters = contract.adapters.iter().flat_map(|(model, adapters)| {
        adapters.iter().map(move |adapter| format!("{model}:{adapter}").into())
    });
    let entry = |id| ModelEntry { id, object: "model", owned_by: "sequoiawell" };
    let list = ModelList { object: "list", data: models.chain(adapters).map(entry).collect() };
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let body = serde_json::to_vec(&list).unwrap_or_default().into();
    Reply::Complete { status: StatusCode::OK, headers, body }
}
