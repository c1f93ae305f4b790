//! Changes over time in a fleet: models, adapters, load figures and the configuration.

use std::sync::Arc;

use configuration::{Apply, ApplyAction, ApplyOutcome, Proposal};
use rand::Rng;
use types::prelude::*;

use crate::event::Event;
use crate::fleet::{Fleet, MIN_TIMER_INTERVAL, PLATFORM_LATENCY, WATCH_TIME};
use crate::scale::{adapter_name, client_account_name, client_accounts};

impl Fleet {
    pub(crate) fn random_adapter(&mut self) -> AdapterId {
        adapter_name(self.rng.random_range(0..self.scale.adapters.max(1)))
    }

    /// Changes one model or adapter on a random instance. Within an hour 20% of them become active
    /// or idle. For models the rate is that of the replicas, because a model has several.
    pub(crate) fn churn(&mut self, is_model: bool) {
        let now = self.now;
        let total = if is_model { self.scale.replicas } else { self.scale.adapters };
        let per_second = (total as f64 * 0.2 / 3_600.0).max(0.001);
        let again = now + Duration::from_secs_f64(1.0 / per_second);
        self.schedule(again, None, Event::Churn { is_model });
        let node = self.rng.random_range(0..self.scale.instances);
        let adapter = (!is_model).then(|| self.random_adapter());
        self.with_node(node, |n| n.churn(adapter, now));
    }

    /// Changes the load figures of every server by one second of traffic.
    pub(crate) fn change_load_figures(&mut self) {
        for server in &mut self.servers {
            server.change_loads(&mut self.rng);
        }
        self.schedule(self.now + Duration::from_secs(1), None, Event::Traffic);
    }

    /// Applies a configuration that differs from the previous one in one contract.
    pub(crate) fn change_configuration(&mut self) {
        let per_second = self.scale.changes_per_day as f64 / 86_400.0;
        if !self.accepted.is_empty() {
            let again = self.now + Duration::from_secs_f64(1.0 / per_second);
            self.schedule(again, None, Event::Change);
            let client_account = client_account_name(self.rng.random_range(0..client_accounts()));
            if let Some(contract) = self.contracts.get_mut(&client_account) {
                let contract = Arc::make_mut(contract);
                contract.limits.requests_per_second += 1;
            }
        }
        if self.apply.is_some() {
            self.not_applied.push("a change was due while another was being applied".into());
            return;
        }
        let proposal = Proposal {
            contracts: self.contracts.clone(),
            catalogue: self.catalogue.clone(),
            based_on: None,
        };
        let mut apply = Apply::new(proposal, self.now + Duration::from_secs(60));
        let actions = apply.start();
        self.run_apply_actions(apply, actions);
    }

    pub(crate) fn run_apply_actions(&mut self, apply: Apply, actions: Vec<ApplyAction>) {
        let now = self.now;
        for action in actions {
            match action {
                ApplyAction::Call { call, request } => {
                    let answer = self.platform.execute(self.micros(), &request);
                    self.schedule(
                        now + PLATFORM_LATENCY,
                        None,
                        Event::ApplyAnswer { call, answer },
                    );
                }
                ApplyAction::Done(ApplyOutcome::Accepted { version }) => {
                    self.applied += 1;
                    self.accepted.insert(version, now);
                    self.wake_watches();
                    return;
                }
                ApplyAction::Done(other) => {
                    self.not_applied.push(format!("{other:?}").into());
                    return;
                }
            }
        }
        let at = apply.next_timer().max(now + MIN_TIMER_INTERVAL);
        self.apply = Some(apply);
        self.schedule(at, None, Event::ApplyTimer);
    }

    pub(crate) fn wake_watches(&mut self) {
        for node in 0..self.scale.instances {
            let Some(until) = self.watching[node] else { continue };
            if until < self.now {
                self.watching[node] = Some(self.now + WATCH_TIME);
                self.platform.reads.count(self.micros());
            }
            self.schedule(self.now + PLATFORM_LATENCY, Some(node), Event::HeadChanged { node });
        }
    }
}
