//! Property tests of the queue.

mod support;

use admission::*;
use proptest::prelude::*;
use support::*;
use types::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Admit { client_account: usize, model: usize, batch: bool, header_ms: u64 },
    Dequeue { model: usize },
    Finish { index: usize },
    Requeue { index: usize, delay_ms: u64 },
    Cancel { index: usize },
    AdvanceTime { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, 0..2usize, any::<bool>(), 1..5_000u64).prop_map(
            |(client_account, model, batch, header_ms)| {
                Step::Admit { client_account, model, batch, header_ms }
            }
        ),
        3 => (0..2usize).prop_map(|model| Step::Dequeue { model }),
        1 => any::<usize>().prop_map(|index| Step::Finish { index }),
        1 => (any::<usize>(), 0..2_000u64)
            .prop_map(|(index, delay_ms)| Step::Requeue { index, delay_ms }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        2 => (1..400u64).prop_map(|ms| Step::AdvanceTime { ms }),
    ]
}

/// State that the test expects of an admitted request.
struct ExpectedRequest {
    request: Admitted,
    is_running: bool,
    may_have_run: bool,
}

fn expire(
    admission: &mut Admission,
    expected: &mut BTreeMap<Ticket, ExpectedRequest>,
    now: Instant,
) {
    for expired in admission.expire(now) {
        let (request, refusal) = match &expired {
            Expired::Waiting(request, refusal) => (request, Some(refusal)),
            Expired::Running(request) => (request, None),
        };
        let entry = expected.remove(&request.ticket).expect("ended twice");
        assert_eq!(entry.is_running, refusal.is_none());
        if let Some(refusal) = refusal {
            assert_eq!(refusal.verdict == Verdict::MayHaveRun, entry.may_have_run);
        }
        let due = if entry.is_running { request.complete_by } else { request.first_token_by };
        assert_eq!(due, now, "must end at its deadline, neither before nor after");
    }
}

proptest! {
    /// Guards against requests that are dropped, ended twice, served late, refused with a false
    /// `not_run`, or admitted beyond a limit.
    #[test]
    fn every_admitted_request_ends_once_by_its_deadline(
        steps in prop::collection::vec(step(), 1..200)
    ) {
        let mut now = Instant::now();
        let limits = LocalLimits { rate_milli: 3_500, concurrent: 2, queued: 5 };
        let mut admission = admission(&[2_000, 3_000, 5_000], limits, now);
        let mut expected: BTreeMap<Ticket, ExpectedRequest> = BTreeMap::new();
        let mut admitted_at: Vec<(usize, Instant)> = Vec::new();
        // The last step is long enough for all remaining requests to expire.
        let steps = steps.into_iter().chain([Step::AdvanceTime { ms: 200_000 }]);
        for (ticket, step) in (0..).zip(steps) {
            let select = |is_running: bool, index: usize| {
                let candidates: Vec<_> =
                    expected.iter().filter(|(_, e)| e.is_running == is_running).collect();
                (!candidates.is_empty()).then(|| *candidates[index % candidates.len()].0)
            };
            match step {
                Step::Admit { client_account, model, batch, header_ms } => {
                    let request = AdmissionRequest {
                        class: batch.then(|| "batch".into()),
                        queue: queue(model),
                        complete_by: Some(now + ms(header_ms)),
                        ..request(ticket, client_account, now)
                    };
                    match admission.admit(request, now) {
                        Ok(request) => {
                            admitted_at.push((client_account, now));
                            expected.insert(
                                ticket,
                                ExpectedRequest { request, is_running: false, may_have_run: false },
                            );
                        }
                        Err(refusal) => prop_assert_eq!(refusal.verdict, Verdict::NotRun),
                    }
                }
                Step::Dequeue { model } => {
                    if let Some(request) = admission.dequeue(&queue(model), now) {
                        prop_assert!(request.first_token_by > now);
                        let entry = expected.get_mut(&request.ticket).expect("unknown request");
                        prop_assert!(!entry.is_running);
                        prop_assert_eq!(&entry.request.client_account, &request.client_account);
                        entry.is_running = true;
                    }
                }
                Step::Finish { index } => {
                    if let Some(ticket) = select(true, index) {
                        prop_assert!(admission.finish(ticket));
                        prop_assert!(!admission.finish(ticket));
                        expected.remove(&ticket);
                    }
                }
                Step::Requeue { index, delay_ms } => {
                    if let Some(ticket) = select(true, index) {
                        let at = now + ms(delay_ms);
                        let entry = expected.get_mut(&ticket).unwrap();
                        entry.is_running = false;
                        entry.may_have_run = true;
                        if admission.requeue(ticket, Verdict::MayHaveRun, at, now).is_err() {
                            expected.remove(&ticket);
                        }
                    }
                }
                Step::Cancel { index } => {
                    if let Some(ticket) = select(false, index) {
                        prop_assert!(admission.cancel(ticket).is_some());
                        expected.remove(&ticket);
                    }
                }
                Step::AdvanceTime { ms: n } => {
                    let end = now + ms(n);
                    while let Some(at) = admission.next_deadline().filter(|at| *at <= end) {
                        now = now.max(at);
                        expire(&mut admission, &mut expected, now);
                    }
                    now = end;
                }
            }
            for client_account in 0..3 {
                let count = |is_running: bool| {
                    let own = |e: &&ExpectedRequest| {
                        *e.request.client_account == *format!("c{client_account}")
                    };
                    expected.values().filter(own).filter(|e| e.is_running == is_running).count()
                        as u64
                };
                let counts = admission.request_counts(&format!("c{client_account}"));
                prop_assert_eq!(counts, (count(false), count(true)));
                prop_assert!(counts.1 <= limits.concurrent);
            }
        }
        prop_assert!(expected.is_empty(), "requests were dropped");
        for (index, (client_account, from)) in admitted_at.iter().enumerate() {
            let own = admitted_at[index..].iter().filter(|(c, _)| c == client_account);
            for (count, (_, to)) in (1u64..).zip(own) {
                let seconds = (*to - *from).as_secs_f64();
                prop_assert!(count as f64 <= 3.5 * (1.0 + seconds) + 1e-6);
            }
        }
    }

    /// Guards against unfair service: client accounts that always have queued requests must receive
    /// work in proportion to their shares, within one request of each.
    #[test]
    fn service_is_proportional_to_shares_within_one_request(
        shares in prop::collection::vec(1..10_000u32, 2..5),
        works in prop::collection::vec(1..5_000u32, 300),
    ) {
        let now = Instant::now();
        let mut admission = admission(&shares, HIGH_LIMITS, now);
        let largest = f64::from(*works.iter().max().unwrap());
        let mut tickets = 0..;
        let mut add = |admission: &mut Admission, client_account: usize| {
            let ticket: Ticket = tickets.next().unwrap();
            let work = works[ticket as usize % works.len()];
            admission
                .admit(AdmissionRequest { work, ..request(ticket, client_account, now) }, now)
                .unwrap();
        };
        for client_account in 0..shares.len() {
            add(&mut admission, client_account);
            add(&mut admission, client_account);
        }
        let mut served = vec![0.0; shares.len()];
        for _ in 0..300 {
            let request = admission.dequeue(&queue(0), now).unwrap();
            let client_account: usize = request.client_account[1..].parse().unwrap();
            served[client_account] += f64::from(request.work);
            add(&mut admission, client_account);
            for (a, b) in (0..shares.len()).flat_map(|a| (0..a).map(move |b| (a, b))) {
                let (a_share, b_share) = (f64::from(shares[a]), f64::from(shares[b]));
                let gap = (served[a] / a_share - served[b] / b_share).abs();
                let bound = largest / a_share + largest / b_share;
                prop_assert!(gap <= bound * (1.0 + 1e-3), "gap {gap} over bound {bound}");
            }
        }
    }
}
