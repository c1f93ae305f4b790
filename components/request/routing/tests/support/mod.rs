//! Builders of published states and requests for the tests. The model is `m` and the group is `g`.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::*;
use types::prelude::*;

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub(crate) fn replica_ref(replica: ReplicaId) -> ReplicaRef {
    ReplicaRef { group: "g".into(), replica }
}

pub(crate) fn replica(replica: ReplicaId, adapters: &[&str]) -> ReplicaState {
    ReplicaState {
        replica,
        model: "m".into(),
        phase: ReplicaPhase::Ready,
        max_batch: 4,
        running: 0,
        queued: 0,
        adapters: adapters.iter().map(|adapter| (*adapter).into()).collect(),
    }
}

pub(crate) fn server(name: &str, replicas: Vec<ReplicaState>) -> ServerState {
    ServerState {
        server: name.into(),
        address: "127.0.0.1:1".into(),
        incarnation: 1,
        leaving: false,
        reachable: true,
        load_age_ms: 0,
        replicas,
    }
}

pub(crate) fn group(fencing: u64, sequence: u64, servers: Vec<ServerState>) -> GroupState {
    let store = StoreUse::default();
    GroupState { group: "g".into(), owner: "i".into(), fencing, sequence, store, servers }
}

pub(crate) fn route_with_seed(
    router: &mut Router,
    adapter: Option<&str>,
    prefix: &[u64],
    seed: u64,
    now: Instant,
) -> RouteOutcome {
    let target = Target { model: "m".into(), adapter: adapter.map(Into::into) };
    let req = RouteRequest {
        target: &target,
        prefix,
        exclude: &[],
        waiting: 1,
        earliest_deadline: now,
        worth_milli: 1,
    };
    router.route(&req, now, &mut rng(seed))
}
