//! Changes of the configuration version.

use std::rc::Rc;

use routes::Deployment;

use crate::process::Entry;

/// Puts a configuration into force if it is newer than the present one. Requests that were
/// admitted under a former version keep it.
pub(crate) fn take(cx: &Entry, deployment: Deployment, revision: u64) {
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
