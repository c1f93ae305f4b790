//! Tests of adapters.
