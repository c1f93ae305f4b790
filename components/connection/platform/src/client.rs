//! The client: retries and resolution of writes around single attempts.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use types::object::{Condition, ObjectAnswer, ObjectCall, ObjectKey};
use types::prelude::*;

use crate::attempts::{Attempts, Call, ClientConfig, Patience, is_failure, now};
use crate::budget::Rates;
use crate::resolution::{End, Present, Resolution, Step};
use crate::transport::{Answer, Exchange, list_path, object_path};
use crate::{Error, Listing, Object, Watch, WriteOutcome};

/// Field of a value that tells whose write it is.
const NONCE_FIELD: &str = "nonce";

/// Client of the platform for one instance. Clones share connections and budget.
#[derive(Clone)]
pub struct Client {
    attempts: Attempts,
}

#[derive(Deserialize)]
struct ListedObject<T> {
    name: Box<str>,
    version: ObjectVersion,
    value: T,
}

#[derive(Deserialize)]
struct ListAnswer<T> {
    version: ObjectVersion,
    objects: Vec<ListedObject<T>>,
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|e| Error::Malformed(e.to_string().into()))
}

impl Client {
    /// Creates a client; it connects with its first call.
    pub fn new(cfg: &ClientConfig) -> Self {
        Self { attempts: Attempts::new(cfg) }
    }

    /// Changes the call budget, for example with the number of instances.
    pub fn set_rates(&self, rates: Rates) {
        self.attempts.set_rates(rates);
    }

    /// Changes the longest delay between two attempts during an outage.
    pub fn set_longest_delay(&self, delay: Duration) {
        self.attempts.set_longest_delay(delay);
    }

    /// Whether the last attempt to reach the platform failed.
    pub fn is_failing(&self) -> bool {
        self.attempts.is_failing()
    }

    /// Addresses that were tried so far, in order of their numbers, for messages about failures.
    pub fn tried(&self) -> Vec<SocketAddr> {
        self.attempts.tried()
    }

    /// Makes one attempt of a call in another encoding of the object API, which its caller speaks.
    ///
    /// # Errors
    ///
    /// Fails if the call budget allows no attempt before the deadline.
    pub async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        call: Call,
    ) -> Result<Exchange<Answer>, Error> {
        self.attempts.attempt(method, path, None, body, call, Patience::Whole).await
    }

    /// Makes one attempt of a call for a component that resolves lost answers itself.
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
        match self.attempts.attempt(method, &path, condition, body, call, Patience::Whole).await {
            Ok(Exchange::Answered(answer)) => object_answer(answer, is_write),
            Ok(Exchange::Lost) if is_write => ObjectAnswer::Lost,
            Ok(Exchange::Lost | Exchange::NotSent) | Err(_) => ObjectAnswer::Failed,
        }
    }

    /// Reads an object; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be read before the deadline or the value has another form.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &ObjectKey,
        call: Call,
    ) -> Result<Option<Object<T>>, Error> {
        let answer = self.read(&object_path(key), call).await?;
        match (answer.status, answer.version) {
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (StatusCode::OK, Some(version)) => {
                let value = decode(&answer.body)?;
                Ok(Some(Object { name: key.name.clone(), version, value }))
            }
            (StatusCode::OK, None) => Err(Error::Malformed("answer without a version".into())),
            (status, _) => Err(Error::Refused(status.as_u16())),
        }
    }

    /// Lists the objects of `kind` whose names begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be read before the deadline or a value has another form.
    pub async fn list<T: DeserializeOwned>(
        &self,
        kind: &str,
        prefix: &str,
        call: Call,
    ) -> Result<Listing<T>, Error> {
        let answer: ListAnswer<T> = self.read_json(&list_path(kind, prefix), call).await?;
        let object = |ListedObject { name, version, value }| Object { name, version, value };
        let objects = answer.objects.into_iter().map(object).collect();
        Ok(Listing { version: answer.version, objects })
    }

    /// Reads the lagging list of instances and backend servers.
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
            let Exchange::Answered(answer) = self.attempts.open(&path, call).await? else {
                continue;
            };
            if is_failure(answer.status()) {
                continue;
            }
            return match answer.status() {
                StatusCode::OK => Ok(Watch::new(answer.into_body(), call.deadline)),
                StatusCode::GONE => Err(Error::TooOld),
                status => Err(Error::Refused(status.as_u16())),
            };
        }
    }

    /// Writes `value` if `condition` holds and resolves lost answers by reading back.
    ///
    /// A write is recognised by the field `nonce` of its value, which must be drawn for this
    /// write. A value without this field is recognised by its whole content, which suits objects
    /// that are named by their content.
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
                tracing::error!("platform: value of {}/{} not written: {e}", key.kind, key.name);
                WriteOutcome::NotWritten
            }
        }
    }

    /// Deletes an object that has `version` and resolves lost answers by reading back.
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
                        let present = read.as_ref().map(|object| Present {
                            version: object.version,
                            is_ours: value.as_ref().is_some_and(|v| same_write(v, &object.value)),
                        });
                        current = read;
                        resolution.on_read(present)
                    }
                    Err(_) => Step::Done(resolution.on_deadline()),
                },
                Step::Done(end) => return outcome(end, current),
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
        match self.attempts.attempt(method, path, Some(condition), body, call, Patience::Half).await
        {
            Err(_) => Step::Done(resolution.on_deadline()),
            Ok(Exchange::NotSent) => resolution.on_not_sent(),
            Ok(Exchange::Lost) => resolution.on_lost(),
            Ok(Exchange::Answered(answer)) => match answer.status {
                StatusCode::OK | StatusCode::CREATED => match answer.version {
                    Some(version) => resolution.on_written(version),
                    None => resolution.on_lost(),
                },
                StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => resolution.on_refused(),
                StatusCode::TOO_MANY_REQUESTS => resolution.on_not_sent(),
                status if status.is_server_error() => resolution.on_lost(),
                _ => Step::Done(resolution.on_deadline()),
            },
        }
    }

    /// Repeats a read until it is answered or the deadline passes.
    async fn read(&self, path: &str, call: Call) -> Result<Answer, Error> {
        loop {
            let attempt =
                self.attempts.attempt(Method::GET, path, None, Bytes::new(), call, Patience::Half);
            match attempt.await? {
                Exchange::Answered(answer) if !is_failure(answer.status) => return Ok(answer),
                Exchange::Answered(_) | Exchange::NotSent | Exchange::Lost => {}
            }
        }
    }

    async fn read_json<T: DeserializeOwned>(&self, path: &str, call: Call) -> Result<T, Error> {
        let answer = self.read(path, call).await?;
        match answer.status {
            StatusCode::OK => decode(&answer.body),
            status => Err(Error::Refused(status.as_u16())),
        }
    }
}

fn same_write(ours: &Value, read: &Value) -> bool {
    match ours.get(NONCE_FIELD) {
        Some(nonce) => read.get(NONCE_FIELD) == Some(nonce),
        None => ours == read,
    }
}

fn object_answer(answer: Answer, is_write: bool) -> ObjectAnswer {
    match (answer.status, answer.version) {
        (StatusCode::OK | StatusCode::CREATED, Some(version)) if is_write => {
            ObjectAnswer::Written { version }
        }
        (StatusCode::OK, Some(version)) => {
            ObjectAnswer::Found { version, value: answer.body.to_vec() }
        }
        (StatusCode::NOT_MODIFIED, _) if !is_write => ObjectAnswer::Unchanged,
        (StatusCode::NOT_FOUND, _) if !is_write => ObjectAnswer::Missing,
        (StatusCode::PRECONDITION_FAILED, _) => ObjectAnswer::Conflict,
        (status, _) if is_write && !status.is_client_error() => ObjectAnswer::Lost,
        _ => ObjectAnswer::Failed,
    }
}

fn outcome<T: DeserializeOwned>(end: End, current: Option<Object<Value>>) -> WriteOutcome<T> {
    match end {
        End::Written(version) => WriteOutcome::Written { version },
        End::Conflict { may_have_been_written } => {
            let current = current.and_then(decode_object);
            WriteOutcome::Conflict { current, may_have_been_written }
        }
        End::NotWritten => WriteOutcome::NotWritten,
        End::Unknown => WriteOutcome::Unknown,
    }
}

fn decode_object<T: DeserializeOwned>(object: Object<Value>) -> Option<Object<T>> {
    let Object { name, version, value } = object;
    match serde_json::from_value(value) {
        Ok(value) => Some(Object { name, version, value }),
        Err(e) => {
            tracing::warn!("platform: value of object {name} has another form: {e}");
            None
        }
    }
}
