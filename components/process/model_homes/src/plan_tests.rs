//! Tests of plan.
