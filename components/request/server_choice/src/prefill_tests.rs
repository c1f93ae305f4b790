//! Tests of the choice among servers that read long prompts. Load: prompts of 9,000 tokens beside
//! those of 650, from callers of the short ones who want a first event within 300 ms.

use std::time::Duration;

use proptest::prelude::*;

use super::*;
use crate::tests::choose_server;

const SHORT: u64 = 650;
const LONG: u64 = 9_000;
const TARGET: Duration = Duration::from_millis(300);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Mix of an instance that gets `long_every`-th prompt long, at servers that read 40 tokens per ms.
fn mix(long_every: usize) -> PromptMix {
    let mut mix = PromptMix::default();
    for n in 1..600_usize {
        let tokens = if n.is_multiple_of(long_every) { LONG } else { SHORT };
        mix.record_prompt(tokens);
        mix.record_first_event(tokens, ms(15 + tokens / 40));
    }
    mix
}

fn candidate(id: &str, in_flight: u32, reading: f64) -> Candidate<'_> {
    Candidate { id, is_local: true, in_flight, slots: 24, failures: 0.0, slowness: 1.0, reading }
}

fn choices(candidates: &[Candidate<'_>], affinity: Option<Affinity>) -> Vec<usize> {
    let draws = (0..20).map(|n| f64::from(n) / 20.0);
    draws.map(|draw| choose_server(candidates, affinity, draw).unwrap()).collect()
}

/// Guards against predictions from the starting values at servers that read faster or slower, and
/// against one hung server that spoils them.
#[test]
fn pace_and_first_events_follow_the_measurements() {
    let mut mix = mix(20);
    let read_time = mix.read_time(LONG).as_millis();
    assert!((190..=260).contains(&read_time), "{read_time}");
    let first_event = mix.first_event(ms(200), SHORT, 1.0).as_millis();
    assert!((215..=250).contains(&first_event), "{first_event}");
    assert!(mix.first_event(ms(200), SHORT, 2.0) > ms(430));
    mix.record_first_event(SHORT, Duration::from_secs(30));
    assert!(mix.first_event(Duration::ZERO, SHORT, 1.0) < ms(60));
}

/// Load: long behind long. Guards against a second long prompt at a server that reads one while
/// another may take it, also if that one has more requests in flight.
#[test]
fn a_second_long_prompt_goes_to_another_server() {
    let mix = mix(20);
    assert!(mix.is_long(LONG, TARGET) && !mix.is_long(SHORT, TARGET));
    let reading = mix.reading_cost(mix.read_time(LONG));
    let c = [candidate("a", 1, reading), candidate("b", 9, 0.0), candidate("c", 9, 0.0)];
    assert!(choices(&c, None).iter().all(|chosen| *chosen != 0));
    // The server that keeps the shared part of its prompt is worth as much as that part.
    let key = affinity_key("m", "5c1e07a2");
    let cached_at = key.preferred(&c).unwrap();
    let mut busy = [candidate("a", 5, 0.0), candidate("b", 5, 0.0), candidate("c", 5, 0.0)];
    busy[cached_at].in_flight = 12;
    let shared = key.with_reading_cost(mix.reading_cost(mix.read_time(6_000)));
    assert!(choices(&busy, Some(shared)).iter().all(|chosen| *chosen == cached_at));
    busy[cached_at].reading = reading;
    assert!(choices(&busy, Some(shared)).iter().all(|chosen| *chosen != cached_at));
}

/// Load: short behind long. Guards against short prompts that wait behind a long one while another
/// server holds the model, also if all servers of the drawn half read long prompts.
#[test]
fn short_prompts_pass_by_servers_that_read_long_ones() {
    let mix = mix(20);
    let reading = mix.reading_cost(mix.read_time(LONG));
    let names: Vec<String> = (0..8).map(|n| format!("s{n}")).collect();
    let mut c: Vec<_> = names.iter().map(|id| candidate(id, 3, reading)).collect();
    c[6] = candidate(&names[6], 10, 0.0);
    let key = affinity_key("m", "91bd3f06");
    assert!(choices(&c, Some(key)).iter().all(|chosen| *chosen == 6));
    // A server that is full delays them more than the rest of a prompt.
    c[6].in_flight = 60;
    assert!(choices(&c, Some(key)).iter().all(|chosen| *chosen != 6));
}

/// Load: one model on one server alone. Guards against requests, long ones above all, that are held
/// back or refused because of what the only server reads: the bound on passing over is zero.
#[test]
fn the_only_server_of_a_model_gets_every_request() {
    let mix = mix(20);
    let only = [candidate("a", 20, mix.reading_cost(mix.read_time(10 * LONG)))];
    let long = affinity_key("m", "p").with_reading_cost(mix.reading_cost(mix.read_time(6_000)));
    assert!(choices(&only, None).iter().all(|chosen| *chosen == 0));
    assert!(choices(&only, Some(long)).iter().all(|chosen| *chosen == 0));
}

/// Load: an account that sends only long prompts beside others, and one that is alone. Guards
/// against its prompts becoming the usual ones, and against a choice that changes where all prompts
/// are alike.
#[test]
fn long_prompts_are_those_beside_usual_ones() {
    assert!(mix(3).is_long(LONG, TARGET));
    assert!(!mix(1).is_long(LONG, TARGET));
    assert!(!mix(20).is_long(LONG, Duration::from_secs(4)), "nobody waits for less");
    let mut started_with_long = PromptMix::default();
    started_with_long.record_prompt(LONG);
    (0..200).for_each(|_| started_with_long.record_prompt(SHORT));
    assert!(started_with_long.is_long(LONG, TARGET));
}

/// Load: a server that is slow besides. Guards against a slow server that takes the requests which
/// pass by one with little left to read.
#[test]
fn little_left_to_read_is_better_than_a_slow_server() {
    let mix = mix(20);
    let mut c = [candidate("a", 3, mix.reading_cost(ms(20))), candidate("b", 3, 0.0)];
    c[1].slowness = 5.0;
    assert!(choices(&c, None).iter().all(|chosen| *chosen == 0));
    c[1].slowness = 1.0;
    assert!(choices(&c, None).iter().all(|chosen| *chosen == 1));
    // The same prompts take a slow server longer.
    let reading = mix.reading_cost(ms(100));
    let mut both = [candidate("a", 0, reading), candidate("b", 20, reading)];
    both[0].slowness = 3.0;
    assert!(choices(&both, None).iter().all(|chosen| *chosen == 1));
}

proptest! {
    /// Guards against other choices than before where no server reads a long prompt, and against a
    /// prediction that is no number for any measurements.
    #[test]
    fn choices_without_long_prompts_follow_the_requests_in_flight(
        loads in prop::collection::vec(0..40_u32, 1..9),
        draw in 0.0..1.0_f64,
        measured in prop::collection::vec((any::<u32>(), 0..100_000_u64), 0..20),
    ) {
        let names: Vec<String> = (0..loads.len()).map(|n| format!("s{n}")).collect();
        let c: Vec<_> = names.iter().zip(&loads).map(|(id, n)| candidate(id, *n, 0.0)).collect();
        let chosen = choose_server(&c, None, draw).unwrap();
        let seed = (draw * f64::from(u32::MAX)) as u64;
        let mut half: Vec<usize> = (0..c.len()).collect();
        half.sort_by_key(|n| xxhash_rust::xxh3::xxh3_64_with_seed(c[*n].id.as_bytes(), seed));
        half.truncate(c.len().div_ceil(2).max(2));
        prop_assert_eq!(c[chosen].in_flight, half.iter().map(|n| c[*n].in_flight).min().unwrap());
        let mut mix = PromptMix::default();
        for (tokens, elapsed) in measured {
            mix.record_prompt(tokens.into());
            mix.record_first_event(tokens.into(), ms(elapsed));
            prop_assert!(mix.reading_cost(mix.read_time(LONG)).is_finite());
            prop_assert!(mix.first_event(ms(10), SHORT, 1.0) >= ms(10));
        }
    }

    /// Guards against a count of servers passed by that is not what the prompts changed: the other
    /// choice is the one at the same draw with nothing to read.
    #[test]
    fn a_reading_server_is_avoided_if_it_would_have_been_chosen(
        loads in prop::collection::vec((0..40_u32, 0..3_u8), 1..9),
        draw in 0.0..1.0_f64,
        has_affinity in any::<bool>(),
    ) {
        let names: Vec<String> = (0..loads.len()).map(|n| format!("s{n}")).collect();
        let reading = |kind: u8| f64::from(kind) * 20.0;
        let c: Vec<_> = names
            .iter()
            .zip(&loads)
            .map(|(id, (in_flight, kind))| candidate(id, *in_flight, reading(*kind)))
            .collect();
        let plain: Vec<_> = c.iter().map(|c| Candidate { reading: 0.0, ..c.clone() }).collect();
        let affinity = has_affinity.then(|| affinity_key("m", "5c1e07a2"));
        let choice = crate::choose_server(&c, affinity, draw).unwrap();
        let without = crate::choose_server(&plain, affinity, draw).unwrap();
        prop_assert_eq!(choice.avoids_reading, choice.index != without.index);
        prop_assert!(!without.avoids_reading);
        let preferred = affinity.and_then(|affinity| affinity.preferred(&c));
        prop_assert_eq!(choice.is_preferred, preferred == Some(choice.index));
    }
}
