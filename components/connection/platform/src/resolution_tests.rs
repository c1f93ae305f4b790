//! Resolution of writes against a platform that loses answers.

use proptest::prelude::*;
use types::object::Condition;

use crate::{End, Present, Resolution, Step};

const OURS: u64 = 1;
const THEIRS: u64 = 2;

/// What happens to one message or in between.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    LostBefore,
    LostAfter,
    /// The write stays on its way and arrives at the next `Arrives`.
    Delayed,
    Arrives,
    NotSent,
    OverwrittenByOthers,
    DeletedByOthers,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::LostBefore),
        3 => Just(Fate::LostAfter),
        2 => Just(Fate::Delayed),
        2 => Just(Fate::Arrives),
        1 => Just(Fate::NotSent),
        2 => Just(Fate::OverwrittenByOthers),
        1 => Just(Fate::DeletedByOthers),
    ]
}

#[derive(Debug, Default)]
struct Model {
    version: u64,
    /// Version and nonce of the present object.
    object: Option<(u64, u64)>,
    log: Vec<(u64, u64)>,
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
        self.log.push((self.version, nonce));
        self.version
    }

    fn ours(&self) -> usize {
        self.log.iter().filter(|(_, nonce)| *nonce == OURS).count()
    }
}

/// Runs a write and returns the model, how it ended and whether others deleted.
fn run(condition: Condition, fates: &[Fate]) -> (Model, End) {
    let mut model = Model::default();
    if condition != Condition::Absent {
        model.put(THEIRS);
    }
    let mut resolution = Resolution::new(condition, false);
    let mut step = Step::Send;
    for fate in fates {
        match fate {
            Fate::OverwrittenByOthers => drop(model.put(THEIRS)),
            Fate::DeletedByOthers if condition != Condition::Absent => model.object = None,
            Fate::Arrives if model.delayed > 0 => {
                model.delayed -= 1;
                model.apply(condition);
            }
            _ => step = advance(&mut model, &mut resolution, condition, step, *fate),
        }
        if let Step::Done(end) = step {
            return (model, end);
        }
    }
    (model, resolution.on_deadline())
}

fn advance(
    model: &mut Model,
    resolution: &mut Resolution,
    condition: Condition,
    step: Step,
    fate: Fate,
) -> Step {
    match (step, fate) {
        (Step::Send, Fate::Answered) => match model.apply(condition) {
            Some(version) => resolution.on_written(version),
            None => resolution.on_refused(),
        },
        (Step::Send, Fate::LostBefore) => resolution.on_lost(),
        (Step::Send, Fate::LostAfter) => {
            model.apply(condition);
            resolution.on_lost()
        }
        (Step::Send, Fate::Delayed) => {
            model.delayed += 1;
            resolution.on_lost()
        }
        (Step::Send, _) => resolution.on_not_sent(),
        (Step::Read, Fate::Answered) => resolution.on_read(
            model.object.map(|(version, nonce)| Present { version, is_ours: nonce == OURS }),
        ),
        (step, _) => step,
    }
}

proptest! {
    /// Guards against lost answers that are taken for failures or successes, and against writes
    /// that take effect twice or after they were reported as without effect.
    #[test]
    fn outcomes_are_true_whatever_is_lost(
        is_create: bool,
        fates in prop::collection::vec(fate(), 1..40),
    ) {
        let condition = if is_create { Condition::Absent } else { Condition::Version(1) };
        let (mut model, end) = run(condition, &fates);
        let applied_before_end = model.ours();
        for _ in 0..model.delayed {
            model.apply(condition);
        }
        let applied = model.ours();
        prop_assert!(applied <= 1, "written {applied} times");
        match end {
            End::Written(version) => {
                prop_assert!(model.log.contains(&(version, OURS)));
                prop_assert_eq!(applied_before_end, 1);
            }
            End::Conflict { may_have_been_written: false } | End::NotWritten => {
                prop_assert_eq!(applied, 0);
            }
            End::Conflict { may_have_been_written: true } => {
                prop_assert_eq!(applied, applied_before_end, "took effect after the end");
            }
            End::Unknown => {}
        }
    }

    /// Guards against writes that stay unknown although the platform answers in the end.
    #[test]
    fn a_platform_that_answers_leaves_nothing_unknown(
        is_create: bool,
        fates in prop::collection::vec(fate(), 0..30),
    ) {
        let condition = if is_create { Condition::Absent } else { Condition::Version(1) };
        let answered = std::iter::repeat_n(Fate::Answered, 3);
        let fates: Vec<Fate> = fates.into_iter().chain(answered).collect();
        let (_, end) = run(condition, &fates);
        prop_assert!(!matches!(end, End::Unknown | End::NotWritten), "{end:?}");
    }
}

/// Guards against a delete that is repeated against a newer object.
#[test]
fn a_lost_delete_is_done_once_the_object_is_gone() {
    let mut delete = Resolution::new(Condition::Version(3), true);
    assert_eq!(delete.on_lost(), Step::Read);
    let unchanged = Present { version: 3, is_ours: false };
    assert_eq!(delete.on_read(Some(unchanged)), Step::Send);
    assert_eq!(delete.on_read(None), Step::Done(End::Written(0)));
    let newer = Present { version: 4, is_ours: false };
    let conflict = End::Conflict { may_have_been_written: true };
    assert_eq!(delete.on_read(Some(newer)), Step::Done(conflict));
}
