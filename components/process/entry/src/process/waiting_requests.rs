//! Requests of this instance that wait for a model to be loaded.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use routes::ServiceName;
use tokio::task::spawn_local;

use super::{Entry, ModelKey};
use crate::request::Job;

/// Interval of checks whether a model is loaded for a caller that was refused and may retry.
const LOADED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of waiting requests by service and model or adapter.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    counts: HashMap<(ServiceName, ModelKey), u32>,
}

impl WaitingRequests {
    /// Yields service, model and number of requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ModelKey, u32)> {
        self.counts.iter().map(|((service, key), count)| (service, key, *count))
    }
}

/// Counts a request as waiting for a model until this value is dropped.
pub(crate) struct WaitingRequest {
    cx: Rc<Entry>,
    key: (ServiceName, ModelKey),
}

impl WaitingRequest {
    /// Counts a request as waiting for its model. Returns `None` if it is for no model.
    pub(crate) fn for_job(cx: &Rc<Entry>, job: &Job) -> Option<Self> {
        let prompt = job.prompt()?;
        let key = ModelKey { model: prompt.model.clone(), adapter: prompt.adapter.clone() };
        Some(Self::new(cx, &job.service, key))
    }

    /// Keeps counting the request as waiting after its refusal, until the model is loaded or the
    /// caller should have retried. A loaded model is not reserved for the caller, because other
    /// requests that wait now would be refused for that.
    pub(crate) fn extend_until(self, until: Instant) {
        spawn_local(async move {
            while Instant::now() < until && !self.is_loaded() {
                tokio::time::sleep(LOADED_POLL_INTERVAL).await;
            }
        });
    }

    fn is_loaded(&self) -> bool {
        let (service, key) = &self.key;
        let directory = self.cx.directory.borrow();
        directory.servers().any(|server| {
            server.entry.service == *service
                && !server.entry.is_draining
                && server.serves(&key.model, key.adapter.as_deref())
        })
    }

    fn new(cx: &Rc<Entry>, service: &str, key: ModelKey) -> Self {
        let key = (ServiceName::from(service), key);
        let mut requests = cx.waiting_requests.borrow_mut();
        let count = requests.counts.entry(key.clone()).or_default();
        *count += 1;
        if *count == 1 {
            cx.waiting_changed.notify_one();
        }
        Self { cx: cx.clone(), key }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let mut requests = self.cx.waiting_requests.borrow_mut();
        if let Some(count) = requests.counts.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                requests.counts.remove(&self.key);
            }
        }
    }
}
