//! Status of an instance for operators.

use serde::{Deserialize, Serialize};

use crate::ids::*;

/// Body of `GET /status` on the operators' address.
///
/// Unknown fields are ignored, so that an older command can read the status of a newer instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Configuration version in effect; zero before the first.
    pub configuration_version: ConfigurationVersion,
    /// Groups that the instance owns.
    pub owned_groups: Vec<GroupId>,
    /// Whether the instance serves callers.
    pub ready: bool,
}
