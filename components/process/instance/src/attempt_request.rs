//! Builds the HTTP requests that attempts send to backend servers.

use backend_server::{ATTEMPT_HEADER, PRIORITY_HEADER, REPLICA_HEADER};
use bytes::Bytes;
use front::{CLASS_HEADER, DEADLINE_HEADER, FORWARDED_HEADER};
use http::{Method, Request};
use http_body_util::Full;
use types::prelude::*;

use crate::attempt::Attempt;
use crate::message::remaining_ms;
use crate::pending::{CompletionJob, ServiceJob};

impl Attempt {
    pub(crate) fn completion_request(
        &self,
        job: &CompletionJob,
        deadline: Instant,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", self.address, job.path))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(ATTEMPT_HEADER, &*self.attempt)
            .header(PRIORITY_HEADER, u16::from(self.priority));
        let req = match (&self.forward, &self.replica) {
            (Some(forward), _) => req
                .header(http::header::AUTHORIZATION, job.authorization.expose())
                .header(FORWARDED_HEADER, &*forward.by)
                .header(CLASS_HEADER, &*forward.class)
                .header(DEADLINE_HEADER, remaining_ms(deadline, Instant::now())),
            (None, Some(replica)) => req.header(REPLICA_HEADER, replica.replica),
            (None, None) => req,
        };
        req.body(Full::new(job.body.clone()))
    }

    pub(crate) fn service_request(
        &self,
        job: &ServiceJob,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut req = Request::builder()
            .method(job.method.clone())
            .uri(format!("http://{}{}", self.address, job.path))
            .header(ATTEMPT_HEADER, &*self.attempt);
        if let Some(content_type) = &job.content_type {
            req = req.header(http::header::CONTENT_TYPE, &**content_type);
        }
        req.body(Full::new(job.body.clone()))
    }
}
