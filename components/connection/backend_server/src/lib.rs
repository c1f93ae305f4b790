//! HTTP client for engines and plain services.
