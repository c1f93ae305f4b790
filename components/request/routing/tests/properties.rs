//! Property test of routing over generated publications, reports, sends and ends, against a simple
//! reference model.

mod support;

use proptest::prelude::*;
use routing::*;
use support::*;
use types::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Publish { fencing: u64, sequence: u64, servers: Vec<ServerState> },
    Report { server: usize, incarnation: u64, leaving: bool },
    Exclude { server: usize, ms: u64 },
    Send { seed: u64, adapter: bool, prefix: u64 },
    End { pick: usize },
    Advance { ms: u64 },
}

const SERVERS: [&str; 3] = ["s0", "s1", "s2"];

fn any_server(index: usize) -> impl Strategy<Value = ServerState> {
    let replica = move |slot: u64| {
        (0..3u8, 0..6u32, any::<bool>()).prop_map(move |(phase, running, adapter)| {
            let pool: &[&str] = if adapter { &["a"] } else { &[] };
            let phase = if phase == 0 { ReplicaPhase::Loading } else { ReplicaPhase::Ready };
            ReplicaState { phase, running, ..replica(10 * index as u64 + slot, pool) }
        })
    };
    let replicas = (replica(0), replica(1), 0..3usize);
    (replicas, prop::bool::weighted(0.1), prop::bool::weighted(0.9), 0..300u64).prop_map(
        move |((first, second, count), leaving, reachable, load_age_ms)| ServerState {
            leaving,
            reachable,
            load_age_ms,
            ..server(SERVERS[index], [first, second].into_iter().take(count).collect())
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1..3u64, 0..60u64, any_server(0), any_server(1), any_server(2), 1..4usize).prop_map(
            |(fencing, sequence, a, b, c, count)| {
                let servers = [a, b, c].into_iter().take(count).collect();
                Step::Publish { fencing, sequence, servers }
            }
        ),
        1 => (0..3usize, 1..3u64, any::<bool>()).prop_map(|(server, incarnation, leaving)| {
            Step::Report { server, incarnation, leaving }
        }),
        1 => (0..3usize, 1..300u64).prop_map(|(server, ms)| Step::Exclude { server, ms }),
        8 => (any::<u64>(), any::<bool>(), 0..4u64)
            .prop_map(|(seed, adapter, prefix)| Step::Send { seed, adapter, prefix }),
        4 => any::<usize>().prop_map(|pick| Step::End { pick }),
        3 => (1..200u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// One request of this instance: replica, time sent, time ended.
type OwnRequest = (ReplicaId, Instant, Option<Instant>);

/// Expected state of the replicas after the latest updates, computed from scratch.
#[derive(Default)]
struct ExpectedState {
    latest: (u64, u64),
    servers: Vec<ServerState>,
    published_at: Option<Instant>,
    leaving: BTreeMap<Box<str>, Incarnation>,
    excluded: BTreeMap<Box<str>, Instant>,
    own: Vec<OwnRequest>,
}

impl ExpectedState {
    fn usable(&self, now: Instant) -> Vec<(&ServerState, &ReplicaState)> {
        let servers = self.servers.iter().filter(|s| {
            !s.leaving
                && s.reachable
                && !self.leaving.contains_key(&s.server)
                && self.excluded.get(&s.server).is_none_or(|until| *until <= now)
        });
        let replicas = servers.flat_map(|s| s.replicas.iter().map(move |r| (s, r)));
        replicas.filter(|(_, r)| r.phase == ReplicaPhase::Ready).collect()
    }

    fn load(&self, server: &ServerState, replica: &ReplicaState) -> i64 {
        let sampled = self.published_at.unwrap() - ms(server.load_age_ms);
        let own = self.own.iter().filter(|(r, ..)| *r == replica.replica);
        let change = own.map(|(_, sent, ended)| match ended {
            None => i64::from(*sent >= sampled),
            Some(ended) => -i64::from(*sent < sampled && *ended >= sampled),
        });
        (i64::from(replica.running) + change.sum::<i64>()).max(0)
    }
}

proptest! {
    /// Guards against applying old states, sending requests to servers that any source rules out,
    /// missing usable replicas, and correcting loads wrongly.
    #[test]
    fn selections_agree_with_the_latest_updates(steps in prop::collection::vec(step(), 1..120)) {
        let mut now = Instant::now() + ms(10_000);
        let mut router = Router::new();
        let mut model = ExpectedState::default();
        for step in steps {
            match step {
                Step::Publish { fencing, sequence, servers } => {
                    let is_newer = (fencing, sequence) > model.latest;
                    prop_assert_eq!(
                        router.apply_group_state(&group(fencing, sequence, servers.clone()), now),
                        is_newer);
                    if is_newer {
                        // A replica that was unpublished in between starts without requests of this
                        // instance.
                        let has = |all: &[ServerState], replica: ReplicaId| {
                            all.iter().flat_map(|s| &s.replicas).any(|r| r.replica == replica)
                        };
                        let before = std::mem::replace(&mut model.servers, servers);
                        model.own.retain(|(r, ..)| has(&before, *r) && has(&model.servers, *r));
                        model.latest = (fencing, sequence);
                        model.published_at = Some(now);
                    }
                }
                Step::Report { server, incarnation, leaving } => {
                    let name = SERVERS[server];
                    router.apply_server_report(name, incarnation, leaving);
                    if leaving {
                        model.leaving.insert(name.into(), incarnation);
                    } else if model.leaving.get(name).is_some_and(|i| *i != incarnation) {
                        model.leaving.remove(name);
                    }
                }
                Step::Exclude { server, ms: n } => {
                    router.exclude_server(SERVERS[server], now + ms(n));
                    let until = model.excluded.entry(SERVERS[server].into()).or_insert(now);
                    *until = (*until).max(now + ms(n));
                }
                Step::Send { seed, adapter, prefix } => {
                    let name = adapter.then_some("a");
                    let usable = model.usable(now);
                    let outcome = route_with_seed(&mut router, name, &[prefix], seed, now);
                    prop_assert_eq!(router.usable_replicas("m"), usable.len());
                    let has_capacity = usable.iter().any(|(s, r)| model.load(s, r) < 4);
                    prop_assert_eq!(router.has_capacity("m"), has_capacity);
                    let RouteOutcome::Replica(selection) = outcome else {
                        prop_assert!(usable.is_empty(), "no usable replica was selected");
                        continue;
                    };
                    let found = usable.iter().find(|(_, r)| r.replica == selection.replica.replica);
                    let Some((server, replica)) = found else {
                        return Err(TestCaseError::fail("selected a replica that is not usable"));
                    };
                    prop_assert_eq!(i64::from(selection.load), model.load(server, replica));
                    let needs_load = adapter && replica.adapters.is_empty();
                    prop_assert_eq!(selection.needs_adapter_load, needs_load);
                    router.record_sent(&selection.replica, &[prefix], now);
                    model.own.push((selection.replica.replica, now, None));
                }
                Step::End { pick } => {
                    let mut running: Vec<&mut OwnRequest> =
                        model.own.iter_mut().filter(|own| own.2.is_none()).collect();
                    if running.is_empty() {
                        continue;
                    }
                    let at = pick % running.len();
                    running[at].2 = Some(now);
                    router.record_ended(&replica_ref(running[at].0), running[at].1, now);
                }
                Step::Advance { ms: n } => now += ms(n),
            }
        }
    }
}
