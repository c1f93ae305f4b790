//! Tells operators for which models no server has a copy.

use routes::ModelName;

use super::leader::Leader;
use crate::metrics::ServiceLabel;
use crate::process::Entry;

/// Most models that a line names.
const MAX_NAMED: usize = 8;

/// Publishes how many models of a service have no copy left, and logs which ones changed.
pub(super) fn record_without_copy(
    cx: &Entry,
    leader: &mut Leader,
    service: &str,
    models: Box<[ModelName]>,
) {
    let label = ServiceLabel { service: service.into() };
    cx.metrics.models_without_copy.get_or_create(&label).set(models.len() as i64);
    let former = leader.without_copy.get(service).map_or(&[][..], |former| &**former);
    if former == &*models {
        return;
    }
    let lost = missing_in(former, &models);
    let regained = missing_in(&models, former);
    tracing::info!(service, models = models.len(), lost = lost.len(), regained = regained.len(),
        lost_names = ?&lost[..lost.len().min(MAX_NAMED)],
        regained_names = ?&regained[..regained.len().min(MAX_NAMED)],
        "orders: models without a copy changed");
    leader.without_copy.insert(service.into(), models);
}

/// Models of `names` that `former` lacks. Both are sorted.
fn missing_in<'a>(former: &[ModelName], names: &'a [ModelName]) -> Vec<&'a ModelName> {
    names.iter().filter(|name| former.binary_search(name).is_err()).collect()
}
