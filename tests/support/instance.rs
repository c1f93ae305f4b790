//! An instance's operators' address with fixed answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

use serde::Serialize;

/// Fixed answer to a path.
pub(crate) fn answer(path: &'static str, body: &impl Serialize) -> (&'static str, String) {
    (path, serde_json::to_string(body).expect("JSON"))
}

/// Serves fixed answers to `GET` until the test process ends.
pub(crate) fn serve(answers: Vec<(&'static str, String)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection");
            let mut head = [0; 4096];
            let length = stream.read(&mut head).expect("request");
            let asked = |path: &str| head[..length].starts_with(format!("GET {path} ").as_bytes());
            let body = answers.iter().find(|(path, _)| asked(path)).map_or("", |(_, body)| body);
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
            );
            stream.write_all(answer.as_bytes()).expect("answer");
        }
    });
    address
}
