//! Contents of the platform's list, and the groups that instances of this data centre may own.

use idempotency::KEY_RANGES;
use types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the name of the group of a key range.
pub(crate) fn key_group(range: u32) -> GroupId {
    format!("keys/{range}").into()
}

/// Returns the key range that a group name denotes, if any.
pub(crate) fn key_range(group: &str) -> Option<u32> {
    group.strip_prefix("keys/")?.parse().ok()
}

/// Returns the name of the group whose owner grants limit shares in a data centre.
pub(crate) fn limits_group(data_centre: &str) -> GroupId {
    format!("limits/{data_centre}").into()
}

fn service(listed: &ListedInstance) -> Option<&ServiceId> {
    match &listed.role {
        ListedRole::Service(name) => Some(name),
        ListedRole::Entry | ListedRole::Engine => None,
    }
}

/// The platform's list with the groups and data centres that it contains.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    list: Vec<ListedInstance>,
    /// Engine groups of the own data centre.
    groups: BTreeSet<GroupId>,
    data_centres: BTreeSet<DataCentreId>,
}

impl Directory {
    /// Replaces the list by a newer one.
    pub(crate) fn update(&mut self, list: Vec<ListedInstance>, own: &DataCentreId) {
        let is_own_engine =
            |l: &&ListedInstance| l.role == ListedRole::Engine && l.data_centre == *own;
        self.groups = list.iter().filter(is_own_engine).map(|l| l.group.clone()).collect();
        self.data_centres = list
            .iter()
            .filter(|l| l.role == ListedRole::Entry)
            .map(|l| l.data_centre.clone())
            .chain([own.clone()])
            .collect();
        self.list = list;
    }

    /// Returns all listed instances.
    pub(crate) fn list(&self) -> &[ListedInstance] {
        &self.list
    }

    /// Returns the instances to which requests of a data centre may be routed: all of its own, and
    /// plain services of other data centres that it does not have itself.
    pub(crate) fn routable(&self, data_centre: &str) -> Vec<ListedInstance> {
        let is_own = |l: &&ListedInstance| *l.data_centre == *data_centre;
        let own_services: HashSet<&ServiceId> =
            self.list.iter().filter(is_own).filter_map(service).collect();
        let is_routable = |l: &&ListedInstance| {
            is_own(l) || service(l).is_some_and(|name| !own_services.contains(name))
        };
        self.list.iter().filter(is_routable).cloned().collect()
    }

    /// Returns the engines of a group of the own data centre.
    pub(crate) fn engines(&self, group: &str, own: &str) -> Vec<ListedInstance> {
        let in_group = |l: &&ListedInstance| {
            l.role == ListedRole::Engine && *l.group == *group && *l.data_centre == *own
        };
        self.list.iter().filter(in_group).cloned().collect()
    }

    /// Returns the data centres with entry instances, including the own one.
    pub(crate) fn data_centres(&self) -> &BTreeSet<DataCentreId> {
        &self.data_centres
    }

    /// Returns the peer address of an entry instance.
    pub(crate) fn peer_address(&self, instance: &str) -> Option<Box<str>> {
        let is_instance = |l: &&ListedInstance| l.role == ListedRole::Entry && *l.name == *instance;
        self.list.iter().find(is_instance).map(|l| l.address.clone())
    }

    /// Returns the engine groups of the own data centre.
    pub(crate) fn groups(&self) -> impl Iterator<Item = &GroupId> {
        self.groups.iter()
    }

    /// Returns the groups that instances of the own data centre are candidates to own.
    pub(crate) fn candidate_groups(&self, own: &DataCentreId) -> BTreeSet<GroupId> {
        let keys = (0..KEY_RANGES)
            .filter(|range| self.key_data_centre(*range) == Some(own))
            .map(key_group);
        self.groups.iter().cloned().chain(keys).chain([limits_group(own)]).collect()
    }

    /// Returns the data centre whose instances are candidates to own a key range, chosen by
    /// rendezvous hashing.
    pub(crate) fn key_data_centre(&self, range: u32) -> Option<&DataCentreId> {
        let score = |d: &&DataCentreId| xxh3_64_with_seed(d.as_bytes(), range.into());
        self.data_centres.iter().max_by_key(score)
    }

    /// Returns the engine groups of the own data centre in the order in which they are asked to
    /// serve a model. The order is the same on every instance.
    pub(crate) fn groups_by_preference(&self, model: &str) -> Vec<GroupId> {
        let seed = xxhash_rust::xxh3::xxh3_64(model.as_bytes());
        let mut groups: Vec<GroupId> = self.groups.iter().cloned().collect();
        groups.sort_by_cached_key(|g| std::cmp::Reverse(xxh3_64_with_seed(g.as_bytes(), seed)));
        groups
    }
}
