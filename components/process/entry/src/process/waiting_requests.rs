//! Requests of this instance that wait for a model to be loaded.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::waiting::{AccountTag, WaitingGroup};
use routes::ServiceName;
use tokio::task::spawn_local;
use xxhash_rust::xxh3::xxh3_64;

use super::{Entry, ModelKey};
use crate::request::Job;

/// Interval of checks whether a model is loaded for a caller that was refused and may retry.
const LOADED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of waiting requests by service and model or adapter.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    models: HashMap<(ServiceName, ModelKey), BTreeMap<GroupKey, u32>>,
}

/// Rank of requests, and the tag of their client account if they have one.
type GroupKey = (u8, Option<AccountTag>);

/// The tag of an account in messages.
pub(crate) fn account_tag(name: &str) -> AccountTag {
    xxh3_64(name.as_bytes()) as AccountTag
}

impl WaitingRequests {
    /// Yields service, model and number of requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ModelKey, u32)> {
        self.models.iter().map(|((service, key), groups)| (service, key, groups.values().sum()))
    }

    /// Yields service, model and the requests by rank and account, in the order of [`Self::iter`].
    pub(crate) fn groups(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, &ModelKey, impl Iterator<Item = WaitingGroup>)> {
        self.models.iter().map(|((service, key), groups)| {
            let groups = groups.iter().map(|((rank, account), count)| WaitingGroup {
                rank: *rank,
                account: *account,
                accounts: 1,
                count: *count,
            });
            (service, key, groups)
        })
    }

    /// Returns whether it is the first request for its model.
    fn add(&mut self, model: &(ServiceName, ModelKey), group: GroupKey) -> bool {
        let is_first = !self.models.contains_key(model);
        let groups = self.models.entry(model.clone()).or_default();
        *groups.entry(group).or_default() += 1;
        is_first
    }

    fn remove(&mut self, model: &(ServiceName, ModelKey), group: GroupKey) {
        let Some(groups) = self.models.get_mut(model) else { return };
        if let Some(count) = groups.get_mut(&group) {
            *count -= 1;
            if *count == 0 {
                groups.remove(&group);
            }
        }
        if groups.is_empty() {
            self.models.remove(model);
        }
    }
}

/// Counts a request as waiting for a model until this value is dropped.
pub(crate) struct WaitingRequest {
    cx: Rc<Entry>,
    key: (ServiceName, ModelKey),
    group: GroupKey,
}

impl WaitingRequest {
    /// Counts a request as waiting for its model. Returns `None` if it is for no model.
    pub(crate) fn for_job(cx: &Rc<Entry>, job: &Job) -> Option<Self> {
        let prompt = job.prompt()?;
        let key = ModelKey { model: prompt.model.clone(), adapter: prompt.adapter.clone() };
        let group = (job.rank(), job.caller.name().map(account_tag));
        Some(Self::new(cx, &job.service, key, group))
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

    fn new(cx: &Rc<Entry>, service: &str, key: ModelKey, group: GroupKey) -> Self {
        let key = (ServiceName::from(service), key);
        if cx.waiting_requests.borrow_mut().add(&key, group) {
            cx.waiting_changed.notify_one();
        }
        Self { cx: cx.clone(), key, group }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.cx.waiting_requests.borrow_mut().remove(&self.key, self.group);
    }
}
