//! Tests of authority.
