//! Log set-up and the metrics registry.
