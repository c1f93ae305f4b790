//! Limit shares: what this instance may use, and what it grants while it holds the group
//! `limits/DATA_CENTRE`.

use admission::LocalLimits;
use admission::shares::{Grantee, Holder, Holding, ShareGrant, ShareRequest, StandingShare};
use platform::{Call, Client, WriteOutcome};
use serde::{Deserialize, Serialize};
use types::object::{Condition, ObjectKey};
use types::prelude::*;

use crate::context::Context;
use crate::event::Event;
use crate::requests::Requests;

/// Time for the platform to read and write the share objects.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between attempts to get a first grant, or to read the share object.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
const KIND: &str = "share";
/// Name of the object that fixes how the limits are first divided.
const FIRST_DIVISION: &str = "@first-division";

/// Data centres between which the limits were first divided evenly. Written once; a data centre
/// that comes later starts with nothing and receives parts by transfers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FirstDivision {
    data_centres: BTreeSet<DataCentreId>,
    nonce: Nonce,
}

/// Limit shares of one instance.
pub(crate) struct Shares {
    grantee: Grantee,
    holder: Option<Holder>,
    /// Fencing number under which the group is held; the holder follows once the share is read.
    held: Option<FencingNumber>,
    is_reading: bool,
    retry_at: Instant,
}

impl Shares {
    /// Nothing granted.
    pub(crate) fn new(instance: &str, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            grantee: Grantee::new(instance, incarnation),
            holder: None,
            held: None,
            is_reading: false,
            retry_at: now,
        }
    }

    /// The instance holds the data centre's limits from now on.
    pub(crate) fn gained(&mut self, fencing: FencingNumber, now: Instant) {
        self.held = Some(fencing);
        self.holder = None;
        self.retry_at = now;
    }

    /// The instance holds the limits no longer.
    pub(crate) fn lost(&mut self) {
        self.held = None;
        self.holder = None;
    }

    /// Takes the data centre's standing share as read from the platform.
    pub(crate) fn on_holding(
        &mut self,
        fencing: FencingNumber,
        holding: Option<Holding>,
        now: Instant,
    ) {
        self.is_reading = false;
        if self.held != Some(fencing) {
            return;
        }
        match holding {
            Some(holding) => self.holder = Some(Holder::new(fencing, holding, now)),
            None => self.retry_at = now + RETRY_INTERVAL,
        }
    }

    /// Answers another instance's request.
    pub(crate) fn grant(&mut self, request: &ShareRequest, now: Instant) -> Option<ShareGrant> {
        self.holder.as_mut()?.grant(request, now)
    }

    /// Applies a grant, or notes that there was none.
    pub(crate) fn on_grant(&mut self, grant: Option<ShareGrant>, now: Instant) -> bool {
        let applied = grant.is_some_and(|grant| self.grantee.apply(grant));
        if !applied {
            self.retry_at = now + RETRY_INTERVAL;
        }
        applied
    }

    /// Whether limits were granted; without them every request would be refused.
    pub(crate) fn has_grant(&self, now: Instant) -> bool {
        self.grantee.ends_at().is_some_and(|ends_at| now < ends_at)
    }

    /// Sets what this instance may use.
    pub(crate) fn apply(&self, requests: &mut Requests, cfg: &Configuration, now: Instant) {
        for (customer, contract) in &cfg.contracts {
            let limits = self.grantee.limits(customer, &contract.limits, now);
            requests.set_limits(customer, limits, now);
        }
    }

    /// Whether the share object has to be read now.
    pub(crate) fn wants_holding(&mut self, now: Instant) -> Option<FencingNumber> {
        let wanted = self.held.is_some() && self.holder.is_none();
        if !wanted || self.is_reading || now < self.retry_at {
            return None;
        }
        self.is_reading = true;
        self.held
    }

    /// The request to send to the holder now, if one is due.
    pub(crate) fn due_request(
        &mut self,
        requests: &Requests,
        cfg: &Configuration,
        holder: FencingNumber,
        now: Instant,
    ) -> Option<ShareRequest> {
        if now < self.next_timer() {
            return None;
        }
        for (customer, contract) in &cfg.contracts {
            let (waiting, running) = requests.admission.load(customer);
            let need =
                LocalLimits { rate_milli: 0, concurrent: running + waiting, queued: waiting };
            self.grantee.want(customer, need, &contract.limits);
        }
        self.retry_at = now + RETRY_INTERVAL;
        Some(self.grantee.request(holder, now))
    }

    /// When something is due.
    pub(crate) fn next_timer(&self) -> Instant {
        match self.grantee.ends_at().and(self.grantee.renew_at()) {
            Some(renew_at) => renew_at.max(self.retry_at),
            None => self.retry_at,
        }
    }
}

/// Reads the data centre's standing share and makes it at the first start.
pub(crate) fn read_holding(
    cx: &Context,
    fencing: FencingNumber,
    data_centres: BTreeSet<DataCentreId>,
    nonces: (Nonce, Nonce),
) {
    let (client, own) = (cx.platform.clone(), cx.data_centre.clone());
    cx.spawn(async move {
        let call = Call::by(Instant::now() + PLATFORM_TIMEOUT);
        let holding = holding(&client, &own, data_centres, nonces, call).await;
        Event::Holding { fencing, holding }
    });
}

async fn holding(
    client: &Client,
    own: &DataCentreId,
    data_centres: BTreeSet<DataCentreId>,
    nonces: (Nonce, Nonce),
    call: Call,
) -> Option<Holding> {
    let key = ObjectKey::new(KIND, own.clone());
    if let Some(share) = client.get::<StandingShare>(&key, call).await.ok()? {
        return Some(share.value.holding);
    }
    let division = first_division(client, data_centres, nonces.0, call).await?;
    let count = division.data_centres.len() as u64;
    let position = division.data_centres.iter().position(|d| d == own);
    let first = position.map_or_else(Holding::default, |i| Holding::even(i as u64, count));
    let share = StandingShare::new(own, first, nonces.1);
    match client.write(&key, Condition::Absent, &share, call).await {
        WriteOutcome::Written { .. } => Some(share.holding),
        WriteOutcome::Conflict { current: Some(present), .. } => Some(present.value.holding),
        _ => None,
    }
}

async fn first_division(
    client: &Client,
    data_centres: BTreeSet<DataCentreId>,
    nonce: Nonce,
    call: Call,
) -> Option<FirstDivision> {
    let key = ObjectKey::new(KIND, FIRST_DIVISION);
    if let Some(present) = client.get(&key, call).await.ok()? {
        return Some(present.value);
    }
    let division = FirstDivision { data_centres, nonce };
    match client.write(&key, Condition::Absent, &division, call).await {
        WriteOutcome::Written { .. } => Some(division),
        WriteOutcome::Conflict { current: Some(present), .. } => Some(present.value),
        _ => None,
    }
}
