//! Messages between instances over tonic.
