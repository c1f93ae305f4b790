//! The plan of faults that a seed gives.

use std::time::Duration;

use platform_stand_in::{Fault, StoreFault};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::proxy::Mode;

/// Mean time between two faults; each lasts longer, so that they overlap.
const BETWEEN: Duration = Duration::from_millis(900);
/// Longest fault.
const LONGEST: Duration = Duration::from_millis(4_500);

/// A fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    /// The store misbehaves.
    Store(StoreFault),
    /// The way to the store misbehaves.
    StoreWay(Mode),
    /// A server misbehaves.
    Server(usize, Fault),
    /// The way to a server misbehaves.
    ServerWay(usize, Mode),
    /// A server says that it leaves, and comes back.
    Drain(usize),
    /// An instance is killed and started again.
    Kill(usize),
    /// An instance stands still.
    Pause(usize),
    /// An instance is stopped as planned and started again.
    Stop(usize),
    /// Another configuration.
    Configuration,
}

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Event {
    pub(crate) at: Duration,
    pub(crate) lasts: Duration,
    pub(crate) kind: Kind,
}

fn mode(rng: &mut ChaCha8Rng) -> Mode {
    let delay = Mode::Delay(Duration::from_millis(rng.random_range(20..300)));
    *[delay, Mode::Reset, Mode::Silent, Mode::CutAnswers].choose(rng).unwrap_or(&delay)
}

fn kind(rng: &mut ChaCha8Rng, servers: usize, instances: usize) -> Kind {
    let server = rng.random_range(0..servers);
    let instance = rng.random_range(0..instances);
    match rng.random_range(0..12) {
        0 => Kind::Store(StoreFault::Busy),
        1 => Kind::Store(StoreFault::Silent),
        2 => Kind::Store(StoreFault::LostAnswers),
        3 => Kind::StoreWay(mode(rng)),
        4 | 5 => {
            let faults = [
                Fault::Shed,
                Fault::Errors,
                Fault::LostAnswer,
                Fault::Mute,
                Fault::ForeignId,
                Fault::BreakInside(3),
                Fault::PauseBefore(2),
            ];
            Kind::Server(server, *faults.choose(rng).unwrap_or(&Fault::Shed))
        }
        6 => Kind::ServerWay(server, mode(rng)),
        7 => Kind::Drain(server),
        8 => Kind::Kill(instance),
        9 => Kind::Pause(instance),
        10 => Kind::Stop(instance),
        _ => Kind::Configuration,
    }
}

/// The faults of a seed, by the time they begin.
pub(crate) fn plan(seed: u64, length: Duration, servers: usize, instances: usize) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut events = Vec::new();
    loop {
        at += BETWEEN.mul_f64(rng.random_range(0.2..1.8));
        if at >= length {
            return events;
        }
        let lasts = LONGEST.mul_f64(rng.random_range(0.1..1.0));
        events.push(Event { at, lasts, kind: kind(&mut rng, servers, instances) });
    }
}
