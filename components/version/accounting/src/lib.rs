//! Usage and the split of accelerator time between customers.
