//! Validation rules within and between contracts and the catalogue.

use std::collections::BTreeMap;

use ini_file::diagnostics::suggestion;
use quick_error::quick_error;
use types::prelude::*;

/// Targets are counted in milliseconds, so a lower one could not be reported.
const MIN_FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1);

quick_error! {
    /// A violation of a rule. If one place causes it, the section and key are given.
    #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
    pub enum Problem {
        /// A violation within a client account's contract.
        Contract(client_account: ClientAccountId, section: Box<str>, key: Box<str>, message: Box<str>) {
            display("client account {client_account}: [{section}] {key}: {message}")
        }
        /// A client account's contract names something that the catalogue does not declare.
        Undeclared(client_account: ClientAccountId, section: Box<str>, key: Box<str>, message: Box<str>) {
            display("client account {client_account}: [{section}] {key}: {message}")
        }
        /// A violation within the catalogue.
        Catalogue(section: Box<str>, key: Box<str>, message: Box<str>) {
            display("catalogue: [{section}] {key}: {message}")
        }
        /// The shares of all contracts do not add up to 100%.
        Shares(message: Box<str>) {
            display("{message}")
        }
        /// A violation by the contracts as a whole.
        Overall(message: Box<str>) {
            display("{message}")
        }
    }
}

/// Returns all violations in a configuration; empty if it can be accepted.
pub fn validate(configuration: &Configuration) -> Vec<Problem> {
    let mut problems = Vec::new();
    for contract in configuration.contracts.values() {
        check_contract(contract, &configuration.catalogue, &mut problems);
    }
    check_catalogue(&configuration.catalogue, &mut problems);
    check_across_contracts(configuration, &mut problems);
    problems
}

/// Returns the violations within one contract, without regard to other contracts and the catalogue.
pub fn validate_contract(contract: &Contract) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_classes(contract, &mut |section, key, message| {
        problems.push(contract_problem(contract, section, key, message))
    });
    check_client_account(contract, &mut |section, key, message| {
        problems.push(contract_problem(contract, section, key, message))
    });
    problems
}

/// Returns the violations within the catalogue.
pub fn validate_catalogue(catalogue: &Catalogue) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_catalogue(catalogue, &mut problems);
    problems
}

fn contract_problem(contract: &Contract, section: &str, key: &str, message: String) -> Problem {
    Problem::Contract(contract.client_account.clone(), section.into(), key.into(), message.into())
}

fn check_contract(contract: &Contract, catalogue: &Catalogue, problems: &mut Vec<Problem>) {
    problems.extend(validate_contract(contract));
    let mut report = |section: &str, key: &str, message: String| {
        problems.push(Problem::Undeclared(
            contract.client_account.clone(),
            section.into(),
            key.into(),
            message.into(),
        ));
    };
    for model in contract.models.iter().filter(|m| !catalogue.models.contains_key(*m)) {
        let hint = suggestion(model, catalogue.models.keys().map(|m| &**m));
        report(
            "client_account",
            "models",
            format!("the catalogue declares no model \"{model}\"{hint}"),
        );
    }
    for service in contract.services.iter().filter(|s| !catalogue.services.contains_key(*s)) {
        let hint = suggestion(service, catalogue.services.keys().map(|s| &**s));
        report(
            "client_account",
            "services",
            format!("the catalogue declares no service \"{service}\"{hint}"),
        );
    }
    for (model, adapters) in &contract.adapters {
        let Some(declared) = catalogue.models.get(model) else { continue };
        for adapter in adapters.iter().filter(|a| !declared.adapters.contains(*a)) {
            let hint = suggestion(adapter, declared.adapters.iter().map(|a| &**a));
            report(
                "adapters",
                model,
                format!("the catalogue declares no adapter \"{adapter}\" of this model{hint}"),
            );
        }
    }
}

fn check_client_account(contract: &Contract, report: &mut impl FnMut(&str, &str, String)) {
    if contract.key_hashes.is_empty() {
        report("client_account", "keys", "the client account needs at least one key".into());
    }
    if contract.models.is_empty() && contract.services.is_empty() {
        report(
            "client_account",
            "models",
            "the contract permits neither a model nor a service".into(),
        );
    }
    if contract.capacity_share == 0 {
        report(
            "client_account",
            "capacity_share",
            "the share must be more than 0%, or no request is ever served".into(),
        );
    }
    for model in contract.adapters.keys().filter(|m| !contract.models.contains(*m)) {
        let hint = suggestion(model, contract.models.iter().map(|m| &**m));
        report("adapters", model, format!("the contract does not permit this model{hint}"));
    }
}

fn check_classes(contract: &Contract, report: &mut impl FnMut(&str, &str, String)) {
    if contract.classes.is_empty() {
        report(
            "client_account",
            "default_class",
            "the contract needs at least one section [class NAME]".into(),
        );
    } else if !contract.classes.contains_key(&contract.default_class) {
        let hint = suggestion(&contract.default_class, contract.classes.keys().map(|c| &**c));
        report(
            "client_account",
            "default_class",
            format!("there is no class \"{}\"{hint}", contract.default_class),
        );
    }
    for (name, class) in &contract.classes {
        let section = format!("class {name}");
        if class.first_token < MIN_FIRST_TOKEN_TARGET {
            report(&section, "first_token", "the target must be at least 1ms".into());
        }
        if class.completion < class.first_token {
            report(
                &section,
                "completion",
                "the answer cannot be complete before its first token".into(),
            );
        }
        if class.objective == 0 || class.objective >= HUNDRED_PERCENT {
            let message = "the objective must be more than 0% and less than 100%, so that there is an error budget";
            report(&section, "objective", message.into());
        }
    }
}

fn check_catalogue(catalogue: &Catalogue, problems: &mut Vec<Problem>) {
    for (name, model) in &catalogue.models {
        let mut report = |key: &str, message: &str| {
            problems.push(Problem::Catalogue(
                format!("model {name}").into(),
                key.into(),
                message.into(),
            ));
        };
        if model.memory_bytes == 0 {
            report("memory", "a replica needs memory");
        }
        if !model.adapters.is_empty() && model.adapter_slots == 0 {
            report("adapter_slots", "the model has adapters but no slot to load one");
        }
        if model.load_time.disk < model.load_time.memory {
            report("load_from_disk", "loading from disk cannot be faster than from memory");
        }
        if model.load_time.remote < model.load_time.disk {
            report(
                "load_from_remote",
                "loading from the weight store cannot be faster than from disk",
            );
        }
    }
}

fn check_across_contracts(configuration: &Configuration, problems: &mut Vec<Problem>) {
    let contracts = &configuration.contracts;
    if contracts.is_empty() {
        problems.push(Problem::Overall("there is no contract".into()));
        return;
    }
    let mut check_shares = |kind: &str, share: fn(&Contract) -> BasisPoints| {
        let sum: u64 = contracts.values().map(|c| u64::from(share(c))).sum();
        if sum != u64::from(HUNDRED_PERCENT) {
            let shares: Vec<_> = contracts
                .values()
                .map(|c| format!("{} {}", c.client_account, percent(share(c).into())))
                .collect();
            let message = format!(
                "the {kind} shares of all client accounts add up to {}, not 100% ({})",
                percent(sum),
                shares.join(", ")
            );
            problems.push(Problem::Shares(message.into()));
        }
    };
    check_shares("capacity", |c| c.capacity_share);
    check_shares("cost", |c| c.cost_share);
    let mut contracts_by_key = BTreeMap::<&str, &Contract>::new();
    for contract in contracts.values() {
        for hash in &contract.key_hashes {
            if let Some(other) = contracts_by_key.insert(hash, contract) {
                let message = format!(
                    "client account {} has the same key {}…",
                    other.client_account,
                    &hash[..hash.len().min(8)]
                );
                problems.push(contract_problem(contract, "client_account", "keys", message));
            }
        }
    }
}

/// Formats basis points as a percentage without superfluous decimals.
pub(crate) fn percent(basis_points: u64) -> String {
    let (whole, rest) = (basis_points / 100, basis_points % 100);
    match (rest, rest % 10) {
        (0, _) => format!("{whole}%"),
        (_, 0) => format!("{whole}.{}%", rest / 10),
        _ => format!("{whole}.{rest:02}%"),
    }
}
