//! Tests of the resolution of writes against a model of a platform that loses responses.

use proptest::prelude::*;
use types::object::Condition;

use crate::{CurrentObject, Outcome, Resolution, Step};

const OURS: u64 = 1;
const THEIRS: u64 = 2;

/// What happens to one call, or between two calls.
#[derive(Clone, Copy, Debug)]
enum Event {
    Answered,
    RequestLost,
    ResponseLost,
    /// The write stays in flight and is applied at the next `DelayedArrives`.
    Delayed,
    DelayedArrives,
    NotSent,
    OverwrittenByOthers,
    DeletedByOthers,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Answered),
        1 => Just(Event::RequestLost),
        3 => Just(Event::ResponseLost),
        2 => Just(Event::Delayed),
        2 => Just(Event::DelayedArrives),
        1 => Just(Event::NotSent),
        2 => Just(Event::OverwrittenByOthers),
        1 => Just(Event::DeletedByOthers),
    ]
}

#[derive(Debug, Default)]
struct Model {
    version: u64,
    /// Version and nonce of the current object.
    object: Option<(u64, u64)>,
    write_log: Vec<(u64, u64)>,
    delayed: u32,
}

impl Model {
    fn holds(&self, condition: Condition) -> bool {
        match condition {
            Condition::Absent => self.object.is_none(),
            Condition::Version(version) => self.object.is_some_and(|(v, _)| v == version),
        }
    }

    fn apply(&mut self, condition: Condition) -> Option<u64> {
        self.holds(condition).then(|| self.put(OURS))
    }

    fn put(&mut self, nonce: u64) -> u64 {
        self.version += 1;
        self.object = Some((self.version, nonce));
        self.write_log.push((self.version, nonce));
        self.version
    }

    fn own_write_count(&self) -> usize {
        self.write_log.iter().filter(|(_, nonce)| *nonce == OURS).count()
    }
}

/// Runs a write and returns the model and the outcome of the write.
fn run(condition: Condition, events: &[Event]) -> (Model, Outcome) {
    let mut model = Model::default();
    if condition != Condition::Absent {
        model.put(THEIRS);
    }
    let mut resolution = Resolution::new(condition, false);
    let mut step = Step::Send;
    for event in events {
        match event {
            Event::OverwrittenByOthers => drop(model.put(THEIRS)),
            Event::DeletedByOthers if condition != Condition::Absent => model.object = None,
            Event::DelayedArrives if model.delayed > 0 => {
                model.delayed -= 1;
                model.apply(condition);
            }
            _ => step = advance(&mut model, &mut resolution, condition, step, *event),
        }
        if let Step::Done(outcome) = step {
            return (model, outcome);
        }
    }
    (model, resolution.on_deadline())
}

fn advance(
    model: &mut Model,
    resolution: &mut Resolution,
    condition: Condition,
    step: Step,
    event: Event,
) -> Step {
    match (step, event) {
        (Step::Send, Event::Answered) => match model.apply(condition) {
            Some(version) => resolution.on_written(version),
            None => resolution.on_refused(),
        },
        (Step::Send, Event::RequestLost) => resolution.on_response_lost(),
        (Step::Send, Event::ResponseLost) => {
            model.apply(condition);
            resolution.on_response_lost()
        }
        (Step::Send, Event::Delayed) => {
            model.delayed += 1;
            resolution.on_response_lost()
        }
        (Step::Send, _) => resolution.on_not_sent(),
        (Step::Read, Event::Answered) => resolution.on_read(
            model.object.map(|(version, nonce)| CurrentObject { version, is_ours: nonce == OURS }),
        ),
        (step, _) => step,
    }
}

proptest! {
    /// Guards against lost responses that count as failures or successes, and against writes that
    /// take effect twice or after the client reported that they had no effect.
    #[test]
    fn outcomes_are_correct_whatever_is_lost(
        is_create: bool,
        events in prop::collection::vec(event(), 1..40),
    ) {
        let condition = if is_create { Condition::Absent } else { Condition::Version(1) };
        let (mut model, outcome) = run(condition, &events);
        let applied_before_outcome = model.own_write_count();
        for _ in 0..model.delayed {
            model.apply(condition);
        }
        let applied = model.own_write_count();
        prop_assert!(applied <= 1, "written {applied} times");
        match outcome {
            Outcome::Written(version) => {
                prop_assert!(model.write_log.contains(&(version, OURS)));
                prop_assert_eq!(applied_before_outcome, 1);
            }
            Outcome::Conflict { may_have_been_written: false } | Outcome::NotWritten => {
                prop_assert_eq!(applied, 0);
            }
            Outcome::Conflict { may_have_been_written: true } => {
                prop_assert_eq!(applied, applied_before_outcome, "took effect after its outcome");
            }
            Outcome::Unknown => {}
        }
    }

    /// Guards against writes whose outcome stays unknown although the platform responds at last.
    #[test]
    fn no_outcome_is_unknown_once_the_platform_responds(
        is_create: bool,
        events in prop::collection::vec(event(), 0..30),
    ) {
        let condition = if is_create { Condition::Absent } else { Condition::Version(1) };
        let responses = std::iter::repeat_n(Event::Answered, 3);
        let events: Vec<Event> = events.into_iter().chain(responses).collect();
        let (_, outcome) = run(condition, &events);
        prop_assert!(!matches!(outcome, Outcome::Unknown | Outcome::NotWritten), "{outcome:?}");
    }
}

/// Guards against a delete that is retried against a newer object.
#[test]
fn a_delete_with_a_lost_response_ends_once_the_object_is_gone() {
    let mut delete = Resolution::new(Condition::Version(3), true);
    assert_eq!(delete.on_response_lost(), Step::Read);
    let unchanged = CurrentObject { version: 3, is_ours: false };
    assert_eq!(delete.on_read(Some(unchanged)), Step::Send);
    assert_eq!(delete.on_read(None), Step::Done(Outcome::Written(0)));
    let newer = CurrentObject { version: 4, is_ours: false };
    let conflict = Outcome::Conflict { may_have_been_written: true };
    assert_eq!(delete.on_read(Some(newer)), Step::Done(conflict));
}
