//! Takes the tokens of a request out of the quota of its account.

use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::quota::QuotaUse;
use http::{Response, StatusCode};
use routes::ClientAccount;

use super::failure::refusal_response;
use crate::connection::Body;
use crate::process::Entry;

/// Reason in the responses, log lines and metrics of refused requests.
pub(super) const QUOTA_REACHED: &str = "quota_reached";
/// `Retry-After` of a request that its quota can never admit.
const NEVER_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Tokens of a request. They are put back when this is dropped, unless a server may have run the
/// request.
#[derive(Default)]
pub(crate) struct QuotaHold {
    used: Option<(Rc<Entry>, QuotaUse)>,
    /// Whether a server may have run the request.
    may_have_run: bool,
}

impl QuotaHold {
    pub(crate) fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for QuotaHold {
    fn drop(&mut self) {
        if let Some((cx, used)) = self.used.take_if(|_| !self.may_have_run) {
            cx.quotas.put_back(used);
        }
    }
}

/// The quota of an account has no tokens for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaRefusal {
    retry_after: Duration,
}

impl QuotaRefusal {
    /// A refusal that promises that the request was not run.
    pub(crate) fn response(self) -> Response<Body> {
        refusal_response(StatusCode::TOO_MANY_REQUESTS, QUOTA_REACHED, self.retry_after)
    }
}

/// Takes the tokens of a request out of the quota of its account, if that has one. `tokens` is the
/// number that the request states, and `give_up_at` the end of the wait for the holder of the quota.
pub(crate) async fn admit_quota(
    cx: &Rc<Entry>,
    account: &ClientAccount,
    tokens: Option<u64>,
    give_up_at: Instant,
) -> Result<QuotaHold, QuotaRefusal> {
    let Some(quota) = &account.quota else { return Ok(QuotaHold::default()) };
    let cost = quota.cost(tokens);
    let latest = cx.quotas.now() + give_up_at.saturating_duration_since(Instant::now());
    match cx.take_quota(&account.name, quota, cost, latest).await {
        Ok(used) => {
            cx.metrics.accounts.record_quota_used(&account.name, cost);
            Ok(QuotaHold { used: Some((cx.clone(), used)), may_have_run: false })
        }
        Err(refused) => {
            let rest = |at: Instant| at.saturating_duration_since(cx.quotas.now());
            let retry_after = refused.retry_at.map_or(NEVER_RETRY_AFTER, rest);
            if cx.refusal_lines.allows_line(Instant::now()) {
                tracing::info!(
                    account = %account.name,
                    cost,
                    left = refused.level,
                    retry_after_ms = retry_after.as_millis() as u64,
                    "quotas: request refused"
                );
            }
            Err(QuotaRefusal { retry_after })
        }
    }
}
