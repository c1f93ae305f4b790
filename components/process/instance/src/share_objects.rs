//! Reads and writes the share objects on the platform: `share/DATA_CENTRE` and the first division.

use admission::shares::{DataCentreShare, Holding};
use platform::{Call, Client, WriteOutcome};
use serde::{Deserialize, Serialize};
use types::object::{Condition, ObjectKey};
use types::prelude::*;

use crate::context::Context;
use crate::event::Event;

/// Timeout for reading and writing the share objects.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
const KIND: &str = "share";
/// Name of the object that defines the first division of the limits.
const FIRST_DIVISION: &str = "@first-division";

/// The data centre's share with the version under which its holder has just written it.
pub(crate) type VersionedShare = (ObjectVersion, DataCentreShare);

/// Data centres between which the limits were first divided evenly. The object is written once. A
/// data centre that is added later starts with nothing and receives parts by transfers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FirstDivision {
    data_centres: BTreeSet<DataCentreId>,
    nonce: Nonce,
}

/// Reads the data centre's share, or creates it at the first start. Then rewrites it with a new
/// nonce, so that no delayed write of an earlier holder can take effect.
pub(crate) fn open(
    cx: &Context,
    fencing: FencingNumber,
    data_centres: BTreeSet<DataCentreId>,
    nonces: (Nonce, Nonce),
) {
    let (client, own) = (cx.platform.clone(), cx.data_centre.clone());
    cx.spawn(async move {
        let opened = read_and_rewrite(&client, &own, data_centres, nonces, platform_call()).await;
        Event::ShareOpened { fencing, opened }
    });
}

/// Writes a new value of the data centre's share if the stored share still has this version.
pub(crate) fn write(
    cx: &Context,
    fencing: FencingNumber,
    version: ObjectVersion,
    value: DataCentreShare,
) {
    let (client, own) = (cx.platform.clone(), cx.data_centre.clone());
    cx.spawn(async move {
        let key = ObjectKey::new(KIND, own);
        let outcome =
            client.write(&key, Condition::Version(version), &value, platform_call()).await;
        Event::ShareWritten { fencing, version: written_version(&outcome) }
    });
}

/// Reads the share of another data centre.
pub(crate) fn read(cx: &Context, fencing: FencingNumber, other: DataCentreId) {
    let client = cx.platform.clone();
    cx.spawn(async move {
        let share =
            client.get::<DataCentreShare>(&ObjectKey::new(KIND, other), platform_call()).await;
        Event::OtherShare { fencing, share: share.ok().flatten().map(|object| object.value) }
    });
}

fn platform_call() -> Call {
    Call::with_deadline(Instant::now() + PLATFORM_TIMEOUT)
}

fn written_version<T>(outcome: &WriteOutcome<T>) -> Option<ObjectVersion> {
    match outcome {
        WriteOutcome::Written { version } => Some(*version),
        _ => None,
    }
}

async fn read_and_rewrite(
    client: &Client,
    own: &DataCentreId,
    data_centres: BTreeSet<DataCentreId>,
    nonces: (Nonce, Nonce),
    call: Call,
) -> Option<VersionedShare> {
    let key = ObjectKey::new(KIND, own.clone());
    let (condition, share) = match client.get::<DataCentreShare>(&key, call).await.ok()? {
        Some(present) => {
            let share = DataCentreShare { nonce: nonces.1, ..present.value };
            (Condition::Version(present.version), share)
        }
        None => {
            let division = first_division(client, data_centres, nonces.0, call).await?;
            let count = division.data_centres.len() as u64;
            let position = division.data_centres.iter().position(|d| d == own);
            let first_holding =
                position.map_or_else(Holding::default, |i| Holding::equal_share(i as u64, count));
            (Condition::Absent, DataCentreShare::new(own, first_holding, nonces.1))
        }
    };
    let outcome = client.write(&key, condition, &share, call).await;
    Some((written_version(&outcome)?, share))
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
