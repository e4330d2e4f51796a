//! Stand-ins and scenarios of the review: a store, model servers and callers, around gateway processes that are
//! started with the command of the deploy file. Uses the standard library only.
//!
//! Usage: `harness SCENARIO RECORD_FILE`, from the root of the repository. `TROUBLE=0` leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------------------------------------- record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Returns the time since the start in seconds.
fn now_s() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

fn record(line: &str) {
    let text = format!("{:8.3} {line}\n", now_s());
    print!("{text}");
    if let Some(file) = RECORD.get() {
        let _ = file.lock().unwrap().write_all(text.as_bytes());
    }
}

macro_rules! note {
    ($($arg:tt)*) => { record(&format!($($arg)*)) };
}

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

fn sleep_until(at_s: f64) {
    sleep_s(at_s - now_s());
}

// ------------------------------------------------------------------------------------------------ JSON

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut table = BTreeMap::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(table));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(key) = Self::value(bytes, at)? else { return None };
                            Self::skip(bytes, at);
                            *at += 1;
                            table.insert(key, Self::value(bytes, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    let byte = *bytes.get(*at)?;
                    *at += 1;
                    match byte {
                        b'"' => return String::from_utf8(text).ok().map(Json::Text),
                        b'\\' => {
                            let escape = *bytes.get(*at)?;
                            *at += 1;
                            match escape {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let code =
                                        std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(code, 16).ok()?;
                                    *at += 4;
                                    let letter = char::from_u32(code).unwrap_or('?');
                                    text.extend(letter.to_string().bytes());
                                }
                                other => text.push(other),
                            }
                        }
                        other => text.push(other),
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    fn text(&self, key: &str) -> &str {
        match self.get(key) {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn number(&self, key: &str) -> f64 {
        match self.get(key) {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

// ---------------------------------------------------------------------------------------------- base64

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk.iter().fold(0_u32, |value, byte| value << 8 | u32::from(*byte));
        let value = value << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let letter = ALPHABET[(value >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { letter } else { '=' });
        }
    }
    text
}

// ------------------------------------------------------------------------------------------------ HTTP

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
struct Message {
    /// Request line or status line.
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Buffers what was read from a connection beyond the last message.
struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut bytes = [0; 65536];
        match self.stream.read(&mut bytes) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
            _ => false,
        }
    }

    fn head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if !self.fill() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Some(Message { line, headers: headers.collect(), body: Vec::new() })
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn text_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads a message with its body. Returns `None` if it breaks off.
    fn message(&mut self, is_response: bool) -> Option<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let size = self.text_line()?;
                let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
                let chunk = self.take(size)?;
                self.take(2)?;
                if size == 0 {
                    return Some(message);
                }
                message.body.extend(chunk);
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        match length {
            Some(length) => message.body = self.take(length)?,
            None if is_response && ![204, 304].contains(&message.status()) => {
                while self.fill() {}
                message.body = std::mem::take(&mut self.buffer);
            }
            None => {}
        }
        Some(message)
    }
}

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// Sends a request on a new connection. Returns the whole response, or why there is none.
fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout_s: f64,
) -> Result<Message, String> {
    let timeout = Duration::from_secs_f64(timeout_s);
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        .map_err(|error| format!("no connection: {error}"))?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).map_err(|error| error.to_string())?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).map_err(|error| error.to_string())?;
    let response = Reader::new(stream).message(true);
    response.ok_or_else(|| "connection ended without a complete answer".to_owned())
}

// ----------------------------------------------------------------------------------------------- store

type RowName = (String, String, String);

#[derive(Default)]
struct StoreRows {
    /// Value in base64 and version.
    rows: BTreeMap<RowName, (String, u64)>,
    /// Table, row as JSON, version.
    changes: Vec<(String, String, u64)>,
    version: u64,
    /// The next deletion of this row is not answered, and is done this many seconds later.
    late_delete: Option<(String, String, f64)>,
    /// When each transaction arrived.
    transactions: Vec<f64>,
}

impl StoreRows {
    fn set(&mut self, name: &RowName, value: Option<&str>) {
        let (table, part, key) = name;
        let version = self.version;
        let row = match value {
            Some(value) => {
                self.rows.insert(name.clone(), (value.to_owned(), version));
                format!("{{\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version},\"value\":\"{value}\"}}")
            }
            None => {
                self.rows.remove(name);
                format!(
                    "{{\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version},\"deleted\":true}}"
                )
            }
        };
        self.changes.push((table.clone(), row, version));
    }

    /// Applies a transaction. Returns false if a condition does not hold.
    fn apply(&mut self, body: &Json) -> bool {
        let name = |row: &Json| {
            (row.text("table").to_owned(), row.text("part").to_owned(), row.text("key").to_owned())
        };
        let holds = body.list("expected").iter().all(|row| {
            let version = self.rows.get(&name(row)).map_or(0, |(_, version)| *version);
            row.number("ver") as u64 == version
        });
        if !holds {
            return false;
        }
        self.version += 1;
        for row in body.list("writes") {
            self.set(&name(row), Some(row.text("value")));
        }
        for row in body.list("delete") {
            self.set(&name(row), None);
        }
        true
    }
}

/// A stand-in for the platform's store with the latency of the sheet: 4 ms an answer, 5 ms a transaction.
struct Store {
    state: Mutex<StoreRows>,
    changed: Condvar,
    address: SocketAddr,
}

const STORE_LATENCY_S: f64 = 0.004;
const STORE_TX_S: f64 = 0.005;

fn query_value(query: &str, name: &str) -> String {
    let value =
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    let value = value.map(|(_, value)| value).unwrap_or("").as_bytes();
    let mut text = Vec::new();
    let mut at = 0;
    while at < value.len() {
        match value[at] {
            b'+' => text.push(b' '),
            b'%' => {
                let code = std::str::from_utf8(&value[at + 1..at + 3]).unwrap_or("20");
                text.push(u8::from_str_radix(code, 16).unwrap_or(b' '));
                at += 2;
            }
            byte => text.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&text).into_owned()
}

impl Store {
    fn spawn() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Self { state: Mutex::default(), changed: Condvar::new(), address });
        let shared = Arc::clone(&store);
        serve(listener, move |stream| {
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = Reader::new(stream);
            while let Some(request) = reader.message(false) {
                let Some((status, body)) = shared.handle(&request) else {
                    // The answer is lost: the connection delivers nothing further.
                    sleep_s(20.0);
                    return;
                };
                if !answer(
                    &mut writer,
                    status,
                    "content-type: application/json\r\n",
                    body.as_bytes(),
                ) {
                    return;
                }
            }
        });
        store
    }

    fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.set(
            &(table.to_owned(), String::new(), key.to_owned()),
            Some(&base64(value.as_bytes())),
        );
        self.changed.notify_all();
    }

    fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.set(&(table.to_owned(), String::new(), key.to_owned()), None);
        self.changed.notify_all();
    }

    fn has(&self, table: &str, key: &str) -> bool {
        let name = (table.to_owned(), String::new(), key.to_owned());
        self.state.lock().unwrap().rows.contains_key(&name)
    }

    fn tail(state: &StoreRows) -> String {
        format!("\"ver\":{},\"now_ms\":{:.0}", state.version, 1_000_000.0 + now_s() * 1000.0)
    }

    fn handle(self: &Arc<Self>, request: &Message) -> Option<(&'static str, String)> {
        sleep_s(STORE_LATENCY_S);
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        match path {
            "/api/rows-tx" => self.transact(request),
            "/api/rows-get" => {
                let field = |name: &str| query_value(query, name);
                let (table, part, from, to) =
                    (field("table"), field("part"), field("from"), field("to"));
                let state = self.state.lock().unwrap();
                let rows = state.rows.iter().filter(|((own, own_part, key), _)| {
                    *own == table
                        && *own_part == part
                        && *key >= from
                        && (to.is_empty() || *key < to)
                });
                let rows = rows.map(|((_, part, key), (value, version))| {
                    format!("{{\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}")
                });
                let rows = rows.collect::<Vec<_>>().join(",");
                Some((
                    "200 OK",
                    format!("{{\"rows\":[{rows}],\"has_more\":false,{}}}", Self::tail(&state)),
                ))
            }
            "/api/rows-feed" => {
                let table = query_value(query, "table");
                let after: u64 = query_value(query, "after").parse().unwrap_or(0);
                let wait_ms: u64 = query_value(query, "wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let mut state = self.state.lock().unwrap();
                loop {
                    let rows =
                        state.changes.iter().filter(|(own, _, ver)| *own == table && *ver > after);
                    let rows: Vec<&str> = rows.map(|(_, row, _)| row.as_str()).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        let rows = rows.join(",");
                        return Some((
                            "200 OK",
                            format!("{{\"rows\":[{rows}],{}}}", Self::tail(&state)),
                        ));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some(("404 Not Found", "{}".to_owned())),
        }
    }

    fn transact(self: &Arc<Self>, request: &Message) -> Option<(&'static str, String)> {
        sleep_s(STORE_TX_S);
        let Some(body) = Json::parse(&request.body) else {
            return Some(("400 Bad Request", "{}".to_owned()));
        };
        let mut state = self.state.lock().unwrap();
        state.transactions.push(now_s());
        if let Some((table, key, delay_s)) = state.late_delete.clone() {
            let is_it = |row: &Json| row.text("table") == table && row.text("key") == key;
            if body.list("delete").iter().any(is_it) {
                state.late_delete = None;
                note!("store: no answer to the deletion of {table}/{key}; it is done {delay_s} s later");
                let store = Arc::clone(self);
                thread::spawn(move || {
                    sleep_s(delay_s);
                    let mut state = store.state.lock().unwrap();
                    let applied = state.apply(&body);
                    note!("store: late deletion of {table}/{key} done: {applied}");
                    store.changed.notify_all();
                });
                return None;
            }
        }
        if !state.apply(&body) {
            return Some((
                "412 Precondition Failed",
                format!("{{\"rows\":[],{}}}", Self::tail(&state)),
            ));
        }
        self.changed.notify_all();
        Some(("200 OK", format!("{{{}}}", Self::tail(&state))))
    }
}

// ---------------------------------------------------------------------------------------------- server

/// One run of a request at a server.
#[derive(Clone, Debug)]
struct Run {
    id: String,
    server: String,
    began_at: f64,
    /// When and how it ended: `complete`, `cut` by the sender, or a status.
    ended: Option<(f64, String)>,
}

/// The id of the server that sends bytes which are no answer.
static IN_TROUBLE: Mutex<Option<String>> = Mutex::new(None);
const GARBAGE_PAUSE_S: f64 = 0.5;

/// The ids of the servers that leave, which say so in all their answers.
static LEAVING: Mutex<Vec<String>> = Mutex::new(Vec::new());

static RUNS: Mutex<Vec<Run>> = Mutex::new(Vec::new());

/// Events of an answer to a request that is no item of a batch job.
const CHAT_EVENTS: u64 = 10;

/// How long the items of batch jobs are in a scenario.
#[derive(Clone, Copy)]
struct ServerPlan {
    events: u64,
    event_s: f64,
}

/// A model server as the pages describe it: it runs a request while its connection stays open.
#[derive(Clone)]
struct Server {
    id: String,
    version: u64,
    address: SocketAddr,
    born: u64,
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Sleeps unless the connection is closed meanwhile. Returns whether it stayed open.
fn stays_open(stream: &TcpStream, seconds: f64) -> bool {
    let until = now_s() + seconds;
    while now_s() < until {
        if is_closed(stream) {
            return false;
        }
        sleep_s((until - now_s()).min(0.01));
    }
    true
}

impl Server {
    fn spawn(id: &str, version: u64, plan: ServerPlan) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        static BORN: AtomicU64 = AtomicU64::new(1_790_000_000_000);
        let server = Self {
            id: id.to_owned(),
            version,
            address: listener.local_addr().unwrap(),
            born: BORN.fetch_add(1000, Ordering::Relaxed),
        };
        let own = server.clone();
        serve(listener, move |stream| {
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = Reader::new(stream);
            while let Some(request) = reader.message(false) {
                if !own.run(&mut writer, &request, plan) {
                    return;
                }
            }
        });
        server
    }

    fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"lj-a\",\"version\":\"v{v}\",\"slots\":8,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\
             \"version\":{v},\"adapters\":[]}}],\"seq_no\":1,\"born\":{}}}",
            self.address,
            self.born,
            v = self.version
        )
    }

    /// Answers with a head and bytes without end, and does not run the request.
    fn send_garbage(&self, writer: &mut TcpStream, id: &str, own: &str) -> bool {
        note!("{}: {id} arrives and gets bytes without end", self.id);
        let head = format!("HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\r\n");
        let mut is_open = writer.write_all(head.as_bytes()).is_ok();
        while is_open {
            is_open = stays_open(writer, GARBAGE_PAUSE_S) && writer.write_all(b"~").is_ok();
        }
        note!("{}: the connection of {id} is closed", self.id);
        false
    }

    fn run(&self, writer: &mut TcpStream, request: &Message, plan: ServerPlan) -> bool {
        let id = request.header("ebonydock-request-id").unwrap_or("").to_owned();
        let own = format!(
            "ebonydock-request-id: {id}\r\nebonydock-instance-id: {}\r\nebonydock-weight-versions: {}\r\n",
            self.id, self.version
        );
        let leaving = LEAVING.lock().unwrap().contains(&self.id);
        let own = if leaving { format!("{own}server-leaving: 1\r\n") } else { own };
        if request.header("ebonydock-target-instance").is_some_and(|named| named != self.id) {
            return answer(writer, "421 Misdirected Request", &own, b"");
        }
        let required = request.header("ebonydock-required-version");
        if required.is_some_and(|required| required != self.version.to_string()) {
            note!(
                "{}: {id} requires version {}, has {}: 421",
                self.id,
                required.unwrap_or(""),
                self.version
            );
            return answer(writer, "421 Misdirected Request", &own, b"");
        }
        if *IN_TROUBLE.lock().unwrap() == Some(self.id.clone()) {
            return self.send_garbage(writer, &id, &own);
        }
        let number = {
            let mut runs = RUNS.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                server: self.id.clone(),
                began_at: now_s(),
                ended: None,
            });
            runs.len() - 1
        };
        let end = |how: &str| RUNS.lock().unwrap()[number].ended = Some((now_s(), how.to_owned()));
        let from: u64 =
            request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}ebonydock-response-seal: s-{}\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n",
            self.id
        );
        if writer.write_all(head.as_bytes()).is_err() {
            end("cut");
            return false;
        }
        let events =
            if request.target().starts_with("/night/item-") { plan.events } else { CHAT_EVENTS };
        for event in from + 1..=events {
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if !stays_open(writer, plan.event_s) || writer.write_all(chunk.as_bytes()).is_err() {
                end("cut");
                return false;
            }
        }
        let complete = writer.write_all(b"0\r\n\r\n").is_ok();
        end(if complete { "complete" } else { "cut" });
        complete
    }
}

fn expected_text(plan: ServerPlan) -> String {
    (1..=plan.events).map(|event| format!("piece {event}")).collect::<Vec<_>>().join("\n")
}

// --------------------------------------------------------------------------------------------- gateway

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

const SIGTERM: i32 = 15;

/// A gateway process, started as the deploy file says.
struct GatewayProcess {
    name: String,
    child: Child,
    folder: PathBuf,
    front: SocketAddr,
    ready: SocketAddr,
}

fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = u64::from(std::process::id()) * 101 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (number % 20_000) as u16;
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

impl GatewayProcess {
    fn spawn(name: &str, store: SocketAddr) -> Self {
        let folder =
            std::env::temp_dir().join(format!("ebonydock-review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (front, ready) = (free_port(), free_port());
        let (first, second) = loop {
            let (first, second) = (free_port(), free_port());
            if first < second {
                break (first, second);
            }
        };
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"gateway\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
             ip = \"127.0.0.1\"\nzone = \"lj-a\"\nregion = \"si-central\"\n\
             internal_ports = [{first},{second}]\nbootstrap = true\nheartbeat_ms = 1200\n\
             [zones]\nlj-a = \"si-central\"\n\
             [listen]\nfront = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 300\nmax_fds = 8200\n\
             [bounds]\nstable_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nfinish_s = 18\nstatus_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\n"
        );
        std::fs::write(folder.join("settings.toml"), settings).unwrap();
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let child = Self::start_process(name, &folder);
        Self { name: name.to_owned(), child, folder, front: at(front), ready: at(ready) }
    }

    fn start_process(name: &str, folder: &std::path::Path) -> Child {
        note!("platform: starts {name}");
        let log = File::options().create(true).append(true).open(folder.join("log.jsonl")).unwrap();
        let mut command = Command::new("target/release/ebonydock_gateway");
        // SAFETY: the call only makes the process end with the thread that started it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        command
            .env("EBONYDOCK_NODE_FILE", folder.join("settings.toml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                note!("cannot run: {error}");
                std::process::exit(2)
            })
    }

    fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/api/ready", &[("host", "ready")], b"", 1.0)
            .is_ok_and(|response| response.status() == 200)
    }

    /// Stops the process with SIGTERM, as the platform does.
    fn stop(&mut self) {
        note!("platform: SIGTERM to {}", self.name);
        // SAFETY: signals a process that this program started and has not waited for.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
        let until = now_s() + 8.0;
        while now_s() < until && self.child.try_wait().ok().flatten().is_none() {
            sleep_s(0.02);
        }
        note!("platform: {} has ended", self.name);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process and starts it again.
    fn restart(&mut self) {
        self.stop();
        sleep_s(0.5);
        self.child = Self::start_process(&self.name, &self.folder);
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(keep) = std::env::var("REVIEW_LOGS") {
            let _ =
                std::fs::copy(self.folder.join("log.jsonl"), format!("{keep}/{}.jsonl", self.name));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until a condition holds; ends with 2 if it does not in time.
fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let until = now_s() + 15.0;
    while !holds() {
        if now_s() > until {
            note!("cannot run: {what} did not happen");
            // Processes end with their handles, so the end is not immediate.
            std::panic::panic_any("cannot run");
        }
        sleep_s(0.05);
    }
}

const KEY: &str = "Bearer 2b9wu3fexd9dnn2ctnfz";
const HOST: &str = "ficu95.example";

fn config() -> String {
    let route = |name: &str, kind: &str, extra: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":5000,\"target_latency_ms\":400,\"priority\":0,\"service\":\"llm\",\
             \"anonymous\":false,\"session_affinity\":true{extra}}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\
         \"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
         \"engine\":{{\"slots\":8,\"kv_cache_tokens\":147261}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"2b9wu3fexd9dnn2ctnfz\"],\"rate_per_s\":0,\
         \"burst\":0}}]}}",
        route("chat", "stream", ",\"max_attempts\":2,\"can_resume\":true,\"gap_aim_ms\":1000"),
        route(
            "night",
            "batch",
            ",\"max_attempts\":3,\"completion_target_ms\":18000,\"max_queue_s\":60.0,\"cap\":1000000"
        ),
    )
}

fn chat(gateway: &GatewayProcess, id: &str, extra: &[(&str, &str)]) -> u16 {
    chat_version(gateway, id, extra).0
}

/// Sends a request. Returns the status, 0 without an answer, and the version of the weights that ran it.
fn chat_version(
    gateway: &GatewayProcess,
    id: &str,
    extra: &[(&str, &str)],
) -> (u16, Option<String>) {
    chat_at(gateway.front, id, extra)
}

fn chat_at(front: SocketAddr, id: &str, extra: &[(&str, &str)]) -> (u16, Option<String>) {
    let headers = [
        ("host", HOST),
        ("authorization", KEY),
        ("ebonydock-request-id", id),
        ("ebonydock-deadline-ms", "4000"),
        ("ebonydock-model", "m"),
        ("ebonydock-token-count", "250,20"),
    ];
    let headers = [&headers[..], extra].concat();
    match call(front, "POST", "/chat/1", &headers, b"question", 5.0) {
        Ok(response) => {
            (response.status(), response.header("ebonydock-weight-versions").map(str::to_owned))
        }
        Err(_) => (0, None),
    }
}

fn submit(gateway: &GatewayProcess, job: &str, items: &[String]) -> u16 {
    submit_at(gateway.front, job, items)
}

fn submit_at(front: SocketAddr, job: &str, items: &[String]) -> u16 {
    let items = items.iter().map(|id| {
        format!(
            "{{\"id\":\"{id}\",\"path\":\"/night/{id}\",\"headers\":{{\"Ebonydock-Model\":\"m\",\
             \"Ebonydock-Token-Count\":\"250,40\"}},\"body\":\"{}\",\"tokens\":290}}",
            base64(b"item")
        )
    });
    let body = format!("{{\"requests\":[{}]}}", items.collect::<Vec<_>>().join(","));
    let headers = [
        ("host", HOST),
        ("authorization", KEY),
        ("ebonydock-request-id", job),
        ("content-type", "application/json"),
    ];
    match call(front, "POST", "/night/jobs", &headers, body.as_bytes(), 5.0) {
        Ok(response) => response.status(),
        Err(_) => 0,
    }
}

/// Reads the results of a job as id, state and text; `None` unless the answer is 200.
fn results(gateway: &GatewayProcess, job: &str) -> Option<Vec<(String, String, String)>> {
    let target = format!("/api/lots/{job}?after=0");
    let headers = [("host", HOST), ("authorization", KEY)];
    let response = call(gateway.front, "GET", &target, &headers, b"", 3.0).ok()?;
    if response.status() != 200 {
        return None;
    }
    let page = Json::parse(&response.body)?;
    let results = page.list("results").iter().map(|result| {
        (
            result.text("id").to_owned(),
            result.text("state").to_owned(),
            result.text("text").to_owned(),
        )
    });
    Some(results.collect())
}

/// Reads the results at one of the gateways that answers.
fn results_anywhere(gateways: &[GatewayProcess], job: &str) -> Vec<(String, String, String)> {
    let read = gateways.iter().filter_map(|gateway| results(gateway, job));
    read.max_by_key(Vec::len).unwrap_or_default()
}

/// The check of the rule LOST for the items of batch jobs, with its excuses, at the end of `finish_s`. Takes the
/// items and the listed results of each job, and returns the items that are lost.
fn lost_items(
    jobs: &[Vec<String>],
    listed: &[Vec<(String, String, String)>],
    slots: f64,
) -> Vec<String> {
    let at = now_s();
    // Shows whether the sender ends the current runs within a second.
    sleep_s(1.2);
    let runs = RUNS.lock().unwrap().clone();
    let ended_at = |run: &Run| run.ended.as_ref().map_or(f64::MAX, |(end, _)| *end);
    let busy: f64 =
        runs.iter().map(|run| (ended_at(run).min(at) - run.began_at.max(at - 5.0)).max(0.0)).sum();
    let share = busy / (5.0 * slots);
    let is_finish = |run: &&Run| {
        let ended = run.ended.as_ref();
        ended.is_some_and(|(end, how)| how == "complete" && *end >= at - 3.0 && *end <= at)
    };
    let is_item = |run: &&Run| jobs.iter().flatten().any(|item| *item == run.id);
    let finished = runs.iter().filter(is_item).filter(is_finish).count();
    note!("check: in the last 5 s servers were {:.0} % full; {finished} items finished in the last 3 s", share * 100.0);
    let mut lost = Vec::new();
    for (items, listed) in jobs.iter().zip(listed) {
        let is_unlisted = |id: &String| !listed.iter().any(|(own, ..)| own == id);
        // A run that its sender ends within a second counts neither as had nor as failed.
        let is_short_cut = |run: &&Run| {
            run.ended.as_ref().is_some_and(|(end, how)| how == "cut" && end - run.began_at < 1.0)
        };
        let had = runs.iter().filter(|run| items.contains(&run.id) && is_unlisted(&run.id));
        let had =
            had.filter(|run| !is_short_cut(run) && run.began_at <= at && ended_at(run) >= at - 5.0);
        let had = had.count();
        note!(
            "check: {} of {} items of a job listed; servers had {had} unlisted ones",
            listed.len(),
            items.len()
        );
        if had == 0 && share < 0.5 && finished == 0 {
            lost.extend(items.iter().filter(|id| is_unlisted(id)).cloned());
        }
    }
    lost
}

/// Records all runs; those of an item that its sender ended within a second in one line.
fn record_runs() {
    let runs = RUNS.lock().unwrap().clone();
    let mut cut: BTreeMap<String, (usize, f64, f64)> = BTreeMap::new();
    let mut by_end: BTreeMap<String, usize> = BTreeMap::new();
    for run in &runs {
        let (end, how) = run.ended.clone().unwrap_or((f64::NAN, "running".to_owned()));
        *by_end.entry(how.clone()).or_default() += 1;
        if how == "cut" && end - run.began_at < 1.0 {
            let short = cut.entry(run.id.clone()).or_insert((0, run.began_at, end));
            *short = (short.0 + 1, short.1, end);
        } else {
            note!("run: {} at {} from {:.3} to {end:.3}: {how}", run.id, run.server, run.began_at);
        }
    }
    for (id, (count, from, to)) in &cut {
        note!("runs of {id} that their sender cut within a second: {count}, from {from:.3} to {to:.3}");
    }
    note!("runs by their end: {by_end:?}");
}

/// Starts gateways and waits until they serve.
fn start_gateways(store: &Arc<Store>, count: usize) -> Vec<GatewayProcess> {
    let gateways: Vec<GatewayProcess> = (0..count)
        .map(|index| GatewayProcess::spawn(&format!("front-lj-a-{index}"), store.address))
        .collect();
    for (index, gateway) in gateways.iter().enumerate() {
        wait_for("a gateway serves", || {
            gateway.is_ready() && chat(gateway, &format!("warm-{index}-{:.3}", now_s()), &[]) == 200
        });
    }
    note!("{count} gateways serve");
    gateways
}

// ------------------------------------------------------------------------------------------- scenarios

/// A machine is stopped and started; the store does the deletion of its entry late.
fn stale_unpublish(trouble: bool) -> i32 {
    let plan = ServerPlan { events: 160, event_s: 0.05 };
    let store = Store::spawn();
    store.put("op", "config", &config());
    let servers: Vec<Server> =
        (0..4).map(|index| Server::spawn(&format!("i-{index}"), 1, plan)).collect();
    for server in &servers {
        store.put("servers", &server.id, &server.entry("ready"));
    }
    let mut gateways = start_gateways(&store, 3);
    sleep_s(3.0);
    let name = gateways[0].name.clone();
    if trouble {
        store.state.lock().unwrap().late_delete =
            Some(("gateway_members".to_owned(), name.clone(), 5.5));
    }
    let began = now_s();
    // The usual work: a short batch job each half a second, at a machine that is not stopped.
    let front = gateways[1].front;
    let usual = thread::spawn(move || {
        for number in 0..14 {
            let status = submit_at(front, &format!("usual-{number}"), &[format!("short-{number}")]);
            note!("usual-{number} handed in: {status}");
            sleep_s(0.5);
        }
    });
    gateways[0].restart();
    wait_for("the restarted machine is ready", || gateways[0].is_ready());
    let _ = usual.join();
    // Until the late write is done, and then until all machines are in touch.
    sleep_until(began + 10.0);
    let span = (began + 2.0, began + 6.5);
    let transactions = store.state.lock().unwrap().transactions.clone();
    let within = transactions.iter().filter(|at| (span.0..=span.1).contains(*at)).count();
    note!(
        "store: {within} writes in the 4.5 s from {:.3} on, answers lost: {}",
        span.0,
        u8::from(trouble)
    );
    note!("entry of {name} is in the store: {}", store.has("gateway_members", &name));
    sleep_s(4.0);
    let jobs: Vec<(String, Vec<String>)> = (0..3)
        .map(|job| {
            (format!("job-{job}"), (0..4).map(|item| format!("item-{job}-{item}")).collect())
        })
        .collect();
    for (number, (job, items)) in jobs.iter().enumerate() {
        let gateway = &gateways[number];
        let status = submit(gateway, job, items);
        note!("{job} handed in at {}: {status}", gateway.name);
        if status != 202 {
            return 2;
        }
    }
    let finish = now_s() + 18.0;
    let read = || jobs.iter().map(|(job, _)| results_anywhere(&gateways, job)).collect::<Vec<_>>();
    while now_s() < finish {
        sleep_s(1.0);
        let listed: Vec<usize> = read().iter().map(Vec::len).collect();
        note!("results listed, of 4 for each job: {listed:?}");
        if listed.iter().all(|listed| *listed == 4) {
            break;
        }
    }
    let listed = read();
    let is_wrong = |(_, state, text): &(String, String, String)| {
        state != "completed" || *text != expected_text(plan)
    };
    let wrong = listed.iter().flatten().any(is_wrong);
    let items: Vec<Vec<String>> = jobs.into_iter().map(|(_, items)| items).collect();
    let lost = lost_items(&items, &listed, 32.0);
    record_runs();
    note!("lost items: {lost:?}; wrong results: {wrong}");
    i32::from(!lost.is_empty() || wrong)
}

/// One server of seven sends bytes that are no answer for 6.5 s, each time until the caller closes.
fn endless_bytes(trouble: bool) -> i32 {
    let plan = ServerPlan { events: 40, event_s: 0.05 };
    let store = Store::spawn();
    store.put("op", "config", &config());
    let servers: Vec<Server> =
        (0..7).map(|index| Server::spawn(&format!("i-{index}"), 1, plan)).collect();
    for server in &servers {
        store.put("servers", &server.id, &server.entry("ready"));
    }
    let gateways = start_gateways(&store, 2);
    sleep_s(3.0);
    if trouble {
        note!("i-0 is in trouble");
        *IN_TROUBLE.lock().unwrap() = Some("i-0".to_owned());
        thread::spawn(|| {
            sleep_s(6.5);
            *IN_TROUBLE.lock().unwrap() = None;
            note!("i-0 is sound again");
        });
    }
    sleep_s(0.5);
    let items: Vec<String> = (0..12).map(|index| format!("item-{index}")).collect();
    let status = submit(&gateways[0], "job-1", &items);
    note!("job-1 handed in at {}: {status}", gateways[0].name);
    if status != 202 {
        return 2;
    }
    for number in 0..20 {
        let status = chat(&gateways[number % 2], &format!("chat-{number}"), &[]);
        note!("chat-{number}: {status}");
        sleep_s(0.1);
    }
    note!("traffic ends");
    let finish = now_s() + 18.0;
    while now_s() < finish {
        sleep_s(1.0);
        let listed = results_anywhere(&gateways, "job-1").len();
        note!("job-1: {listed} of 12 items listed");
        if listed == 12 {
            break;
        }
    }
    let listed = results_anywhere(&gateways, "job-1");
    let lost = lost_items(&[items], &[listed], 56.0);
    record_runs();
    note!("lost items: {lost:?}");
    i32::from(!lost.is_empty())
}

/// A release replaces half of the servers by ones with newer weights. The sessions of two callers go on with the
/// weights that they began with.
fn pinned_version(trouble: bool) -> i32 {
    let plan = ServerPlan { events: 20, event_s: 0.02 };
    let store = Store::spawn();
    store.put("op", "config", &config());
    let old: Vec<Server> =
        (0..4).map(|index| Server::spawn(&format!("i-old-{index}"), 1, plan)).collect();
    for server in &old {
        store.put("servers", &server.id, &server.entry("ready"));
    }
    let gateways = start_gateways(&store, 2);
    sleep_s(3.0);
    let mut sent = 0;
    let mut session = |name: &str, at: usize, pinned: Option<String>| {
        let gateway = &gateways[at % 2];
        sent += 1;
        let id = format!("{name}-{sent}");
        let extra: Vec<(&str, &str)> =
            pinned.iter().map(|version| ("ebonydock-required-version", version.as_str())).collect();
        let (status, version) = chat_version(gateway, &id, &extra);
        note!(
            "{id} at {} requires version {pinned:?}: {status}, version {version:?}",
            gateway.name
        );
        (status, version)
    };
    let (_, first_version) = session("session-a", 0, None);
    if trouble {
        note!("release: 2 of 4 servers are replaced, one each second");
        for (index, server) in old.iter().take(2).enumerate() {
            let new = Server::spawn(&format!("i-new-{index}"), 2, plan);
            store.put("servers", &new.id, &new.entry("ready"));
            LEAVING.lock().unwrap().push(server.id.clone());
            store.put("servers", &server.id, &server.entry("draining"));
            sleep_s(1.0);
        }
        sleep_s(2.5);
        for server in old.iter().take(2) {
            store.remove("servers", &server.id);
        }
        note!("release: done");
    } else {
        sleep_s(4.5);
    }
    sleep_s(3.0);
    // Sessions that begin at the same time; the first that the newest weights ran goes on below.
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let begun: Vec<_> = (0..16)
        .map(|number| {
            let front = fronts[number % 2];
            thread::spawn(move || chat_at(front, &format!("begin-{number}"), &[]))
        })
        .collect();
    let begun: Vec<_> = begun.into_iter().filter_map(|session| session.join().ok()).collect();
    for (number, (status, version)) in begun.iter().enumerate() {
        note!("begin-{number} requires no version: {status}, version {version:?}");
    }
    let newest = if trouble { "2" } else { "1" };
    let second_version = Some(newest.to_owned());
    if !begun.iter().any(|(_, version)| *version == second_version) {
        return 2;
    }
    for number in 0..8 {
        session("session-a", number, first_version.clone());
        session("session-b", number, second_version.clone());
    }
    sleep_s(2.0);
    let items: Vec<String> = (0..6).map(|index| format!("item-{index}")).collect();
    let status = submit(&gateways[0], "job-1", &items);
    note!("job-1 handed in at {}: {status}", gateways[0].name);
    if status != 202 {
        return 2;
    }
    let mut served = 0;
    for number in 0..20 {
        let gateway = &gateways[number % 2];
        let status = chat(gateway, &format!("plain-{number}"), &[]);
        note!("plain-{number} at {} requires no version: {status}", gateway.name);
        served += usize::from(status == 200);
        sleep_s(0.1);
    }
    note!("traffic ends: {served} of 20 plain requests served");
    sleep_s(18.0);
    let listed = results_anywhere(&gateways, "job-1");
    let lost = lost_items(&[items], &[listed], 32.0);
    record_runs();
    note!("lost items: {lost:?}");
    i32::from(!lost.is_empty())
}

fn main() {
    START.get_or_init(Instant::now);
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(scenario), Some(path)) = (arguments.get(1).cloned(), arguments.get(2)) else {
        eprintln!("usage: harness SCENARIO RECORD_FILE");
        std::process::exit(2);
    };
    let Ok(file) = File::create(path) else { std::process::exit(2) };
    let _ = RECORD.set(Mutex::new(file));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note!(
        "scenario {scenario}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    );
    // Gateways end with their handles, also if a scenario panics.
    let ended = std::panic::catch_unwind(|| match scenario.as_str() {
        "stale-unpublish" => stale_unpublish(trouble),
        "endless-bytes" => endless_bytes(trouble),
        "pinned-version" => pinned_version(trouble),
        _ => 2,
    });
    let code = ended.unwrap_or(2);
    note!("exit {code}");
    std::process::exit(code);
}
