//! Client of the object API: retries calls and resolves writes whose responses were lost.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use types::object::{Condition, ObjectAnswer, ObjectCall, ObjectKey};
use types::prelude::*;

use crate::attempts::{AttemptSender, AttemptTimeout, Call, ClientConfig, is_failure, now};
use crate::budget::Rates;
use crate::resolution::{CurrentObject, Outcome, Resolution, Step};
use crate::transport::{BufferedResponse, Exchange, list_path, object_path};
use crate::{Error, Listing, Object, Watch, WriteOutcome};

/// Field of a value that identifies the write that stored it.
const NONCE_FIELD: &str = "nonce";

/// Client of the platform for one instance. Clones share connections and call budget.
#[derive(Clone)]
pub struct Client {
    attempts: AttemptSender,
}

#[derive(Deserialize)]
struct ListedObject<T> {
    name: Box<str>,
    version: ObjectVersion,
    value: T,
}

#[derive(Deserialize)]
struct ListResponse<T> {
    version: ObjectVersion,
    objects: Vec<ListedObject<T>>,
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|e| Error::Malformed(e.to_string().into()))
}

impl Client {
    /// Creates a client, which connects when it makes its first call.
    pub fn new(cfg: &ClientConfig) -> Self {
        Self { attempts: AttemptSender::new(cfg) }
    }

    /// Sets the rates of the call budget, for example when the number of instances changes.
    pub fn set_rates(&self, rates: Rates) {
        self.attempts.set_rates(rates);
    }

    /// Sets the longest delay between two attempts during an outage.
    pub fn set_max_backoff(&self, delay: Duration) {
        self.attempts.set_max_backoff(delay);
    }

    /// Returns true if the last attempt to reach the platform failed.
    pub fn is_failing(&self) -> bool {
        self.attempts.is_failing()
    }

    /// Returns the addresses that the client has attempted to reach, in ascending order, for error
    /// messages.
    pub fn attempted_addresses(&self) -> Vec<SocketAddr> {
        self.attempts.attempted_addresses()
    }

    /// Makes one attempt of a call with a path and body that the caller encodes, for callers that
    /// use another encoding of the object API.
    ///
    /// # Errors
    ///
    /// Fails if the call budget admits no attempt before the deadline.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        call: Call,
    ) -> Result<Exchange<BufferedResponse>, Error> {
        self.attempts.attempt(method, path, None, body, call, AttemptTimeout::Full).await
    }

    /// Makes one attempt of a call, for components that resolve lost responses themselves.
    pub async fn call(&self, request: &ObjectCall, call: Call) -> ObjectAnswer {
        let path = object_path(request.key());
        let (method, condition, body) = match request {
            ObjectCall::Read { .. } => (Method::GET, None, Bytes::new()),
            ObjectCall::ReadIfChanged { known, .. } => {
                (Method::GET, Some(Condition::Version(*known)), Bytes::new())
            }
            ObjectCall::Write { condition, value, .. } => {
                (Method::PUT, Some(*condition), Bytes::copy_from_slice(value))
            }
        };
        let is_write = method == Method::PUT;
        match self
            .attempts
            .attempt(method, &path, condition, body, call, AttemptTimeout::Full)
            .await
        {
            Ok(Exchange::Answered(response)) => object_answer(response, is_write),
            Ok(Exchange::ResponseLost) if is_write => ObjectAnswer::Lost,
            Ok(Exchange::ResponseLost | Exchange::NotSent) | Err(_) => ObjectAnswer::Failed,
        }
    }

    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be read before the deadline or the value cannot be decoded.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &ObjectKey,
        call: Call,
    ) -> Result<Option<Object<T>>, Error> {
        let response = self.read(&object_path(key), call).await?;
        match (response.status, response.version) {
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (StatusCode::OK, Some(version)) => {
                let value = decode(&response.body)?;
                Ok(Some(Object { name: key.name.clone(), version, value }))
            }
            (StatusCode::OK, None) => Err(Error::Malformed("response without a version".into())),
            (status, _) => Err(Error::Refused(status.as_u16())),
        }
    }

    /// Lists the objects of `kind` whose names begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be read before the deadline or a value cannot be decoded.
    pub async fn list<T: DeserializeOwned>(
        &self,
        kind: &str,
        prefix: &str,
        call: Call,
    ) -> Result<Listing<T>, Error> {
        let response: ListResponse<T> = self.read_json(&list_path(kind, prefix), call).await?;
        let object = |ListedObject { name, version, value }| Object { name, version, value };
        let objects = response.objects.into_iter().map(object).collect();
        Ok(Listing { version: response.version, objects })
    }

    /// Reads the list of instances and backend servers, which may lag behind the actual state.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be read before the deadline.
    pub async fn instances(&self, call: Call) -> Result<Vec<ListedInstance>, Error> {
        self.read_json("/instances", call).await
    }

    /// Watches the changes after version `after` of the objects of `kind` whose names begin with
    /// `prefix`. The watch ends at the deadline.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached, or with [`Error::TooOld`].
    pub async fn watch<T: DeserializeOwned>(
        &self,
        kind: &str,
        prefix: &str,
        after: ObjectVersion,
        call: Call,
    ) -> Result<Watch<T>, Error> {
        let path = format!("{}&watch={after}", list_path(kind, prefix));
        loop {
            let Exchange::Answered(response) =
                self.attempts.attempt_streamed_read(&path, call).await?
            else {
                continue;
            };
            if is_failure(response.status()) {
                continue;
            }
            return match response.status() {
                StatusCode::OK => Ok(Watch::new(response.into_body(), call.deadline)),
                StatusCode::GONE => Err(Error::TooOld),
                status => Err(Error::Refused(status.as_u16())),
            };
        }
    }

    /// Writes `value` if `condition` holds. If a response is lost, reads the object back to find
    /// out whether the write took effect.
    ///
    /// The client recognises its write by the field `nonce` of the value, which must be generated
    /// for this write. It compares values without this field as a whole, which suits objects whose
    /// names are derived from their content.
    pub async fn write<T: Serialize + DeserializeOwned>(
        &self,
        key: &ObjectKey,
        condition: Condition,
        value: &T,
        call: Call,
    ) -> WriteOutcome<T> {
        match serde_json::to_value(value) {
            Ok(value) => self.resolve(key, condition, Some(value), call).await,
            Err(e) => {
                tracing::error!(
                    "platform: value of {}/{} cannot be encoded and was not written: {e}",
                    key.kind,
                    key.name
                );
                WriteOutcome::NotWritten
            }
        }
    }

    /// Deletes an object if its version is `version`. If a response is lost, reads the object back
    /// to find out whether the delete took effect.
    pub async fn delete<T: DeserializeOwned>(
        &self,
        key: &ObjectKey,
        version: ObjectVersion,
        call: Call,
    ) -> WriteOutcome<T> {
        self.resolve(key, Condition::Version(version), None, call).await
    }

    async fn resolve<T: DeserializeOwned>(
        &self,
        key: &ObjectKey,
        condition: Condition,
        value: Option<Value>,
        call: Call,
    ) -> WriteOutcome<T> {
        let path = object_path(key);
        let mut resolution = Resolution::new(condition, value.is_none());
        let mut step = Step::Send;
        let mut current: Option<Object<Value>> = None;
        loop {
            step = match step {
                Step::Send if now() >= call.deadline => Step::Done(resolution.on_deadline()),
                Step::Send => self.send(&path, condition, &value, call, &mut resolution).await,
                Step::Read => match self.get::<Value>(key, call).await {
                    Ok(read) => {
                        let object = read.as_ref().map(|object| CurrentObject {
                            version: object.version,
                            is_ours: value
                                .as_ref()
                                .is_some_and(|v| is_same_write(v, &object.value)),
                        });
                        current = read;
                        resolution.on_read(object)
                    }
                    Err(_) => Step::Done(resolution.on_deadline()),
                },
                Step::Done(outcome) => return write_outcome(outcome, current),
            };
        }
    }

    async fn send(
        &self,
        path: &str,
        condition: Condition,
        value: &Option<Value>,
        call: Call,
        resolution: &mut Resolution,
    ) -> Step {
        let (method, body) = match value {
            Some(value) => (Method::PUT, value.to_string().into()),
            None => (Method::DELETE, Bytes::new()),
        };
        match self
            .attempts
            .attempt(method, path, Some(condition), body, call, AttemptTimeout::Half)
            .await
        {
            Err(_) => Step::Done(resolution.on_deadline()),
            Ok(Exchange::NotSent) => resolution.on_not_sent(),
            Ok(Exchange::ResponseLost) => resolution.on_response_lost(),
            Ok(Exchange::Answered(response)) => match response.status {
                StatusCode::OK | StatusCode::CREATED => match response.version {
                    Some(version) => resolution.on_written(version),
                    None => resolution.on_response_lost(),
                },
                StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => resolution.on_refused(),
                StatusCode::TOO_MANY_REQUESTS => resolution.on_not_sent(),
                status if status.is_server_error() => resolution.on_response_lost(),
                _ => Step::Done(resolution.on_deadline()),
            },
        }
    }

    /// Retries a read until the platform responds or the deadline passes.
    async fn read(&self, path: &str, call: Call) -> Result<BufferedResponse, Error> {
        loop {
            let attempt = self.attempts.attempt(
                Method::GET,
                path,
                None,
                Bytes::new(),
                call,
                AttemptTimeout::Half,
            );
            match attempt.await? {
                Exchange::Answered(response) if !is_failure(response.status) => {
                    return Ok(response);
                }
                Exchange::Answered(_) | Exchange::NotSent | Exchange::ResponseLost => {}
            }
        }
    }

    async fn read_json<T: DeserializeOwned>(&self, path: &str, call: Call) -> Result<T, Error> {
        let response = self.read(path, call).await?;
        match response.status {
            StatusCode::OK => decode(&response.body),
            status => Err(Error::Refused(status.as_u16())),
        }
    }
}

fn is_same_write(ours: &Value, read: &Value) -> bool {
    match ours.get(NONCE_FIELD) {
        Some(nonce) => read.get(NONCE_FIELD) == Some(nonce),
        None => ours == read,
    }
}

fn object_answer(response: BufferedResponse, is_write: bool) -> ObjectAnswer {
    match (response.status, response.version) {
        (StatusCode::OK | StatusCode::CREATED, Some(version)) if is_write => {
            ObjectAnswer::Written { version }
        }
        (StatusCode::OK, Some(version)) => {
            ObjectAnswer::Found { version, value: response.body.to_vec() }
        }
        (StatusCode::NOT_MODIFIED, _) if !is_write => ObjectAnswer::Unchanged,
        (StatusCode::NOT_FOUND, _) if !is_write => ObjectAnswer::Missing,
        (StatusCode::PRECONDITION_FAILED, _) => ObjectAnswer::Conflict,
        (status, _) if is_write && !status.is_client_error() => ObjectAnswer::Lost,
        _ => ObjectAnswer::Failed,
    }
}

fn write_outcome<T: DeserializeOwned>(
    outcome: Outcome,
    current: Option<Object<Value>>,
) -> WriteOutcome<T> {
    match outcome {
        Outcome::Written(version) => WriteOutcome::Written { version },
        Outcome::Conflict { may_have_been_written } => {
            let current = current.and_then(decode_object);
            WriteOutcome::Conflict { current, may_have_been_written }
        }
        Outcome::NotWritten => WriteOutcome::NotWritten,
        Outcome::Unknown => WriteOutcome::Unknown,
    }
}

fn decode_object<T: DeserializeOwned>(object: Object<Value>) -> Option<Object<T>> {
    let Object { name, version, value } = object;
    match serde_json::from_value(value) {
        Ok(value) => Some(Object { name, version, value }),
        Err(e) => {
            tracing::warn!("platform: value of object {name} cannot be decoded: {e}");
            None
        }
    }
}
