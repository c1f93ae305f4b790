//! Configuration versions: acceptance, spread and monotonic adoption.
