//! Settings of one instance.
