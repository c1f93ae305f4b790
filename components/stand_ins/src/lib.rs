//! Stand-ins for the platform, an engine and a plain service, for tests and trials.
