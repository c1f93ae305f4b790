//! Generates the fault plan of a seed.

use std::time::Duration;

use platform_stand_in::{Fault, StoreFault};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::proxy::Mode;

/// Mean time between the starts of two faults. Most faults last longer, so that they overlap.
const MEAN_INTERVAL: Duration = Duration::from_millis(900);
/// Maximum duration of a fault.
const MAX_DURATION: Duration = Duration::from_millis(4_500);

/// Type of a fault. Reports print the names of the variants.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// The store itself has a fault.
    Store(StoreFault),
    /// The connection to the store has a fault.
    StoreWay(Mode),
    /// A server itself has a fault.
    Server(usize, Fault),
    /// The connection to a server has a fault.
    ServerWay(usize, Mode),
    /// A server's entry is marked as draining, then as serving again.
    Drain(usize),
    /// A server says in its responses that it is leaving, then begins a new run.
    Leaving(usize),
    /// A server refuses requests and asks for a pause.
    Pausing(usize),
    /// An instance is killed and restarted.
    Kill(usize),
    /// An instance is paused with `SIGSTOP`.
    Pause(usize),
    /// An instance is shut down gracefully and restarted.
    Stop(usize),
    /// A new configuration version is published.
    Configuration,
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Event {
    pub(crate) at: Duration,
    pub(crate) duration: Duration,
    pub(crate) kind: Kind,
}

fn random_mode(rng: &mut ChaCha8Rng) -> Mode {
    let delay = Mode::Delay(Duration::from_millis(rng.random_range(20..300)));
    let modes = [delay, Mode::Reset, Mode::Refuse, Mode::Stall, Mode::StallResponses];
    *modes.choose(rng).unwrap_or(&delay)
}

fn random_kind(rng: &mut ChaCha8Rng, servers: usize, instances: usize) -> Kind {
    let server = rng.random_range(0..servers);
    let instance = rng.random_range(0..instances);
    match rng.random_range(0..14) {
        0 => Kind::Store(StoreFault::Busy),
        1 => Kind::Store(StoreFault::Silent),
        2 => Kind::Store(StoreFault::LostAnswers),
        3 => Kind::StoreWay(random_mode(rng)),
        4 | 5 => {
            let faults = [
                Fault::Shed,
                Fault::Errors,
                Fault::LostAnswer,
                Fault::Mute,
                Fault::ForeignId,
                Fault::BreakInside(3),
                Fault::PauseBefore(2),
                Fault::EndlessErrors,
            ];
            Kind::Server(server, *faults.choose(rng).unwrap_or(&Fault::Shed))
        }
        6 => Kind::ServerWay(server, random_mode(rng)),
        7 => Kind::Drain(server),
        8 => Kind::Kill(instance),
        9 => Kind::Pause(instance),
        10 => Kind::Stop(instance),
        11 => Kind::Leaving(server),
        12 => Kind::Pausing(server),
        _ => Kind::Configuration,
    }
}

/// Returns the faults of a seed, sorted by start time.
pub(crate) fn plan(
    seed: u64,
    fault_duration: Duration,
    servers: usize,
    instances: usize,
) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut events = Vec::new();
    loop {
        at += MEAN_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
        if at >= fault_duration {
            return events;
        }
        let duration = MAX_DURATION.mul_f64(rng.random_range(0.1..1.0));
        events.push(Event { at, duration, kind: random_kind(&mut rng, servers, instances) });
    }
}
