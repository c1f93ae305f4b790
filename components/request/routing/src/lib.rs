//! Choice of a replica for a request.
