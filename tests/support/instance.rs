//! A stub of an instance's address for operators, with fixed responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use serde::Serialize;

/// Pairs a path with its JSON response body.
pub(crate) fn json_response(path: &'static str, body: &impl Serialize) -> (&'static str, String) {
    (path, serde_json::to_string(body).expect("JSON"))
}

/// Serves the responses to `GET` requests until the test process ends.
pub(crate) fn serve_responses(responses: Vec<(&'static str, String)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection");
            let mut head = [0; 4096];
            let length = stream.read(&mut head).expect("request");
            let is_request_for =
                |path: &str| head[..length].starts_with(format!("GET {path} ").as_bytes());
            let body = responses
                .iter()
                .find(|(path, _)| is_request_for(path))
                .map_or("", |(_, body)| body);
            let length = body.len();
            let res = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            );
            stream.write_all(res.as_bytes()).expect("answer");
        }
    });
    address
}
