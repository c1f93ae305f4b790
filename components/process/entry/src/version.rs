//! Changes of the configuration version.

use std::rc::Rc;

use platform_adapter::{Decoded, Notice};
use routes::DeploymentVersion;

use crate::process::Entry;

/// Most notices of one version that are logged.
const MAX_LOGGED_NOTICES: usize = 10;

/// Applies a configuration if it is newer than the current one. Requests that were admitted under
/// an earlier version keep using that version.
pub(crate) fn apply(cx: &Entry, decoded: Decoded, revision: u64) {
    let Decoded { deployment, notices } = decoded;
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
        notices = notices.len(),
        "configuration: in force"
    );
    log_notices(deployment.version, &notices);
    cx.metrics.configuration_version.set(deployment.version.cast_signed());
    *cx.deployment.borrow_mut() = Some(Rc::new(deployment));
    cx.servers_changed.notify_waiters();
    cx.plan_due.notify_one();
}

/// Logs what cannot work or works otherwise than written.
fn log_notices(version: DeploymentVersion, notices: &[Notice]) {
    for notice in notices.iter().take(MAX_LOGGED_NOTICES) {
        let (place, message) = (&notice.place, &notice.message);
        tracing::warn!(version, kind = ?notice.kind, %place, %message, "configuration: notice");
    }
}
