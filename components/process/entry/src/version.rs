//! Changes of the configuration version.

use std::rc::Rc;

use routes::Deployment;

use crate::process::Entry;

/// Applies a configuration if it is newer than the current one. Requests that were admitted under
/// an earlier version keep using that version.
pub(crate) fn apply(cx: &Entry, deployment: Deployment, revision: u64) {
    let former = cx.deployment.borrow().as_ref().map(|d| d.version);
    if former.is_some_and(|former| former >= deployment.version) {
        return;
    }
    tracing::info!(
        version = deployment.version,
        ?former,
        revision,
        routes = deployment.route_count(),
        services = deployment.services.len(),
        "configuration: in force"
    );
    cx.metrics.configuration_version.set(deployment.version.cast_signed());
    *cx.deployment.borrow_mut() = Some(Rc::new(deployment));
    cx.servers_changed.notify_waiters();
    cx.plan_due.notify_one();
}
