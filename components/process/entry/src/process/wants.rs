//! Models that requests of this instance wait for.

use routes::ServiceName;
use std::collections::HashMap;
use std::rc::Rc;

use super::{Entry, ModelKey};

/// Models and adapters that are waited for, by service.
#[derive(Debug, Default)]
pub(crate) struct Wants {
    waiting: HashMap<(ServiceName, ModelKey), u32>,
}

impl Wants {
    /// Service, model and number of requests.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ModelKey, u32)> {
        self.waiting.iter().map(|((service, key), count)| (service, key, *count))
    }
}

/// A request that waits for a model until it is dropped.
pub(crate) struct Want {
    cx: Rc<Entry>,
    key: (ServiceName, ModelKey),
}

impl Want {
    pub(crate) fn new(cx: &Rc<Entry>, service: &str, key: ModelKey) -> Self {
        let key = (ServiceName::from(service), key);
        let mut wants = cx.wants.borrow_mut();
        let count = wants.waiting.entry(key.clone()).or_default();
        *count += 1;
        if *count == 1 {
            cx.wants_changed.notify_one();
        }
        Self { cx: cx.clone(), key }
    }
}

impl Drop for Want {
    fn drop(&mut self) {
        let mut wants = self.cx.wants.borrow_mut();
        if let Some(count) = wants.waiting.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                wants.waiting.remove(&self.key);
            }
        }
    }
}
