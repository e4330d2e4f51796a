//! Tests of the HTTP client against a minimal server that closes every connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use ntex::util::Bytes;

use crate::targets::http::TargetClient;
use crate::targets::{ServiceClient, ServiceRequest};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn serve_one(mut stream: &TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok")
}

fn spawn_server() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = serve_one(&stream);
        }
    });
    Ok(address)
}

#[ntex::test]
async fn calls_on_separate_connections_succeed() {
    let address = spawn_server().unwrap().to_string();
    let client = TargetClient::open().await;
    let request = ServiceRequest {
        method: "GET".to_owned(),
        path: "/".to_owned(),
        content_type: None,
        request_id: "1".to_owned(),
        body: Bytes::new(),
    };
    let calls = stream::iter(0..400).map(|_| client.call(&address, &request));
    let responses = calls.buffer_unordered(16).filter(|response| {
        let succeeded = response.as_ref().is_ok_and(|response| response.body == b"ok");
        std::future::ready(succeeded)
    });
    let succeeded = tokio::time::timeout(TEST_TIMEOUT, responses.count()).await;
    assert_eq!(succeeded, Ok(400), "a call got no response");
}
