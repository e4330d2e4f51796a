//! Tests of the HTTP client against minimal servers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use ntex::util::Bytes;
use yare::parameterized;

use crate::targets::http::TargetClient;
use crate::targets::{
    EngineClient, EngineStatus, GenerateRequest, ServiceClient, ServiceRequest, TargetError,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn read_head(stream: &TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    Ok(())
}

fn serve_one(mut stream: &TcpStream) -> std::io::Result<()> {
    read_head(stream)?;
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
    let client = TargetClient::open();
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

#[ntex::test]
async fn event_without_end_fails_and_closes_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, closed) = channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&stream).unwrap();
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
            transfer-encoding: chunked\r\n\r\n6\r\ndata: \r\n";
        let chunk = format!("400\r\n{}\r\n", "x".repeat(1024));
        let mut written = stream.write_all(head.as_bytes());
        while written.is_ok() {
            written = stream.write_all(chunk.as_bytes());
        }
        sender.send(()).unwrap();
    });
    let client = TargetClient::open();
    let request = GenerateRequest {
        request_id: "1".to_owned(),
        model: "m".into(),
        prompt: String::new(),
        max_tokens: 1,
        generated: String::new(),
        generated_tokens: 0,
    };
    let mut response = client.generate(&address, &request).await.unwrap();
    let event = tokio::time::timeout(TEST_TIMEOUT, response.events.next()).await.unwrap();
    let reason = "Transport error: an event is larger than 65536 bytes".to_owned();
    assert_eq!(event, Some(Err(TargetError::Broken(reason))));
    drop(response);
    let closed = tokio::task::spawn_blocking(move || closed.recv_timeout(TEST_TIMEOUT));
    assert_eq!(closed.await.unwrap(), Ok(()));
}

/// Answers one request after `read_bytes` of its body, and resets the connection if `resets` is set.
fn answer(
    listener: &TcpListener,
    answer: &str,
    read_bytes: usize,
    resets: bool,
) -> std::io::Result<()> {
    let (stream, _) = listener.accept()?;
    let mut reader = BufReader::with_capacity(1, stream.try_clone()?);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    std::io::copy(&mut reader.take(read_bytes as u64), &mut std::io::sink())?;
    (&stream).write_all(answer.as_bytes())?;
    if resets {
        std::thread::sleep(Duration::from_millis(2));
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(())
}

/// Calls a service that gives this answer. Returns the status and the body.
fn call_service(
    text: &'static str,
    sent_bytes: usize,
    read_bytes: usize,
    resets: bool,
) -> Result<(u16, Vec<u8>), TargetError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || answer(&listener, text, read_bytes, resets));
    let request = ServiceRequest {
        method: "POST".to_owned(),
        path: "/".to_owned(),
        content_type: None,
        request_id: "1".to_owned(),
        body: Bytes::from(vec![b'x'; sent_bytes]),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let response = tokio::task::LocalSet::new()
        .block_on(&runtime, async { TargetClient::open().call(&address, &request).await });
    server.join().unwrap().unwrap();
    response.map(|response| (response.status, response.body))
}

const ANSWERS_WITHOUT_LENGTH: [&str; 3] = [
    "HTTP/1.1 200 OK\r\n\r\nthe first part",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nthe first part",
    "HTTP/1.0 200 OK\r\n\r\nthe first part",
];

/// Callers got an empty answer in place of one without a length.
#[test]
fn service_answer_without_length_is_read_to_its_end() {
    for text in ANSWERS_WITHOUT_LENGTH {
        let received = call_service(text, 1024, 1024, false);
        assert_eq!(received, Ok((200, b"the first part".to_vec())), "{text}");
    }
}

/// Callers got an empty answer in place of one that was reset.
#[test]
fn service_answer_that_is_reset_is_broken() {
    for text in ANSWERS_WITHOUT_LENGTH {
        for bytes in [1024, 256 * 1024, 16 * 1024 * 1024] {
            for read_bytes in [0, bytes / 2, bytes] {
                let received = call_service(text, bytes, read_bytes, true);
                assert!(
                    matches!(received, Err(TargetError::Broken(_))),
                    "{text}, {read_bytes} of {bytes} bytes read: {received:?}"
                );
            }
        }
    }
}

/// Callers got the answer with its body and this status.
#[parameterized(
    zero = { "HTTP/1.1 000 No\r\ncontent-length: 2\r\n\r\nno" },
    other_protocol = { "HTTP/1.1 101 No\r\n\r\nno" },
    above_599 = { "HTTP/1.1 600 No\r\ncontent-length: 2\r\n\r\nno" },
    largest = { "HTTP/1.1 999 No\r\ncontent-length: 2\r\n\r\nno" },
)]
fn service_answer_with_status_outside_of_protocol_is_broken(text: &'static str) {
    let received = call_service(text, 1024, 1024, false);
    assert!(matches!(received, Err(TargetError::Broken(_))), "{received:?}");
}

/// An engine that fails its health check with a report in the body was held to be well.
#[parameterized(
    failing = { "500 No", 0 },
    above_599 = { "600 No", 0 },
    cut = { "200 OK", 1 },
)]
fn status_of_engine_needs_complete_success(status: &str, missing_bytes: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let report = EngineStatus { warm: true, ..EngineStatus::default() };
    let report = serde_json::to_string(&report).unwrap();
    let length = report.len() + missing_bytes;
    let headers = format!("content-type: application/json\r\ncontent-length: {length}");
    let text = format!("HTTP/1.1 {status}\r\n{headers}\r\n\r\n{report}");
    let server = std::thread::spawn(move || answer(&listener, &text, 0, false));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let received = tokio::task::LocalSet::new()
        .block_on(&runtime, async { TargetClient::open().status(&address).await });
    server.join().unwrap().unwrap();
    assert!(received.is_err(), "{received:?}");
}
