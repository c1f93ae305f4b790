//! Records of idempotency keys by key range.
