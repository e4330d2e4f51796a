//! Stand-ins and scenarios of the third review. Standard library only; built by `review/build-3.sh`.
//!
//! `harness-3 CASE FOLDER` plays one case against gateway processes and writes `record.txt` into FOLDER. It exits with 1
//! if the rule of the case was broken, with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` it does
//! the same without the disruption.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsRawFd, FromRawFd};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------------------------------------- time and record

static STARTED: OnceLock<Instant> = OnceLock::new();

/// Seconds since the start of the case.
fn seconds() -> f64 {
    STARTED.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// What was sent, answered and run, by time.
#[derive(Clone, Default)]
struct Record(Arc<Mutex<Vec<(f64, String)>>>);

impl Record {
    fn add(&self, line: impl Into<String>) {
        lock(&self.0).push((seconds(), line.into()));
    }

    fn save(&self, folder: &Path) {
        let mut lines = lock(&self.0).clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:8.3} s  {line}");
        }
        if let Err(error) = std::fs::write(folder.join("record.txt"), text) {
            eprintln!("the record cannot be written: {error}");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Why a case could not run.
type CaseResult<T> = Result<T, String>;

// ------------------------------------------------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
enum Json {
    /// `null`, `true` and `false`, which no message here depends on.
    Word,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    fn number(&self, name: &str) -> Option<f64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number),
            _ => None,
        }
    }

    fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(entries)) => entries,
            _ => &[],
        }
    }

    fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = JsonParser { text, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == text.len()).then_some(value)
    }
}

struct JsonParser<'a> {
    text: &'a [u8],
    at: usize,
}

impl JsonParser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, expected: &str) -> Option<()> {
        self.text[self.at..].starts_with(expected.as_bytes()).then(|| self.at += expected.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    self.space();
                    if self.eat("}").is_some() {
                        return Some(Json::Table(fields));
                    }
                    if !fields.is_empty() {
                        self.eat(",")?;
                        self.space();
                    }
                    let Json::Text(name) = self.value()? else { return None };
                    self.space();
                    self.eat(":")?;
                    fields.push((name, self.value()?));
                }
            }
            b'[' => {
                self.at += 1;
                let mut entries = Vec::new();
                loop {
                    self.space();
                    if self.eat("]").is_some() {
                        return Some(Json::List(entries));
                    }
                    if !entries.is_empty() {
                        self.eat(",")?;
                    }
                    entries.push(self.value()?);
                }
            }
            b'"' => self.text().map(Json::Text),
            b't' => self.eat("true").map(|()| Json::Word),
            b'f' => self.eat("false").map(|()| Json::Word),
            b'n' => self.eat("null").map(|()| Json::Word),
            _ => {
                let rest = &self.text[self.at..];
                let is_part = |byte: &&u8| matches!(byte, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
                let length = rest.iter().take_while(is_part).count();
                self.at += length;
                std::str::from_utf8(&rest[..length]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let char = char::from_u32(code).unwrap_or('\u{fffd}');
                            bytes.extend_from_slice(char.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - group.len()));
        for digit in 0..4 {
            let value = (word >> (18 - 6 * digit)) & 63;
            text.push(if digit <= group.len() { DIGITS[value as usize] as char } else { '=' });
        }
    }
    text
}

// ------------------------------------------------------------------------------------------------------- HTTP

/// A request or a response head with its body.
#[derive(Clone, Debug, Default)]
struct Message {
    /// Path and query of a request.
    target: String,
    /// Status of a response.
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Path without the query.
    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let value = query.split('&').find_map(|field| {
            let (key, value) = field.split_once('=')?;
            (key == name).then(|| percent_decode(value))
        });
        value.unwrap_or_default()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (b'+', _) => {
                decoded.push(b' ');
                at += 1;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads messages from a connection, keeping what follows one.
struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl MessageReader {
    fn open(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length > 0)
    }

    /// Reads a head. `None` if the connection ended before it was complete.
    fn head(&mut self) -> std::io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let mut words = first.split(' ');
        let second = words.nth(1).unwrap_or_default();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_owned(), value.trim().to_owned())).collect();
        Ok(Some(Message { target: second.to_owned(), status: second.parse().unwrap_or(0), headers, body: Vec::new() }))
    }

    /// Reads a body by its length or its chunks, or up to the end of the connection for a response. Returns whether it
    /// is complete, and passes each part to `on_part`.
    fn body(&mut self, message: &mut Message, is_response: bool, mut on_part: impl FnMut(&[u8])) -> bool {
        let chunked = message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if chunked {
            loop {
                let Some(end) = self.line_end() else { return false };
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                    return false;
                };
                while self.buffer.len() < size + 2 {
                    if !self.fill().unwrap_or(false) {
                        return false;
                    }
                }
                on_part(&self.buffer[..size]);
                message.body.extend_from_slice(&self.buffer[..size]);
                self.buffer.drain(..size + 2);
                if size == 0 {
                    return true;
                }
            }
        }
        let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
        let Some(length) = length.or((!is_response).then_some(0)) else {
            loop {
                on_part(&self.buffer);
                message.body.append(&mut self.buffer);
                match self.fill() {
                    Ok(true) => {}
                    Ok(false) => return true,
                    Err(_) => return false,
                }
            }
        };
        loop {
            let taken = self.buffer.len().min(length - message.body.len());
            on_part(&self.buffer[..taken]);
            message.body.extend(self.buffer.drain(..taken));
            if message.body.len() == length {
                return true;
            }
            if !self.fill().unwrap_or(false) {
                return false;
            }
        }
    }

    fn line_end(&mut self) -> Option<usize> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                return Some(end);
            }
            if !self.fill().unwrap_or(false) {
                return None;
            }
        }
    }
}

/// Encodes a request or a response with a length.
fn encode_message(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// How a client's call ended.
struct CallOutcome {
    /// 0 if no answer came.
    status: u16,
    message: Message,
    is_complete: bool,
}

/// Sends a request over a new connection and reads the answer.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> CallOutcome {
    let failed = || CallOutcome { status: 0, message: Message::default(), is_complete: false };
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return failed();
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let _ = stream.set_nodelay(true);
    let request = encode_message(&format!("{method} {path} HTTP/1.1"), headers, body);
    let mut reader = MessageReader::open(stream);
    if reader.stream.write_all(&request).is_err() {
        return failed();
    }
    let Ok(Some(mut message)) = reader.head() else {
        return failed();
    };
    let is_complete = reader.body(&mut message, true, |_| {});
    CallOutcome { status: message.status, message, is_complete }
}

// ------------------------------------------------------------------------------------------------------ ports

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a port that is free for TCP and UDP, below the ephemeral ones.
fn free_port() -> u16 {
    loop {
        let number = std::process::id() * 131 + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (number % 20_000) as u16;
        let address = ("127.0.0.1", port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// ------------------------------------------------------------------------------------------------------ store

/// Time of an answer of the store, and of a transaction.
const STORE_ANSWER_MS: u64 = 4;

type RowKey = (String, String, String);

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Changes by version: the row, and its value unless it was deleted.
    changes: Vec<(u64, RowKey, Option<String>)>,
    version: u64,
    /// Reading and writing calls of the current second, and calls refused since the start.
    window: (u64, [u64; 2]),
    refused: u64,
}

/// The platform's store.
#[derive(Clone)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    address: SocketAddr,
    /// Reading and writing calls a second of all machines together.
    rates: [u64; 2],
}

fn row_json(key: &RowKey, value: Option<&str>, version: u64) -> String {
    let value = value.map_or("\"deleted\":true".to_owned(), |value| format!("\"value\":\"{value}\""));
    format!("{{\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",{value},\"ver\":{version}}}", key.0, key.1, key.2)
}

impl Store {
    fn open(rates: [u64; 2]) -> CaseResult<Self> {
        let listener = TcpListener::bind(loopback(free_port())).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let store = Self { state: Arc::default(), address, rates };
        let own = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = own.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = MessageReader::open(stream);
        while let Ok(Some(mut request)) = reader.head() {
            if !reader.body(&mut request, false, |_| {}) {
                return;
            }
            let (status, body) = self.answer(&request);
            sleep_ms(STORE_ANSWER_MS);
            let headers = [("Content-Type", "application/json")];
            let answer = encode_message(&format!("HTTP/1.1 {status} x"), &headers, body.as_bytes());
            if reader.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Counts a call and returns whether it is within the rates.
    fn admit(&self, is_write: bool) -> bool {
        let mut state = lock(&self.state.0);
        let second = seconds() as u64;
        if state.window.0 != second {
            state.window = (second, [0; 2]);
        }
        let kind = usize::from(is_write);
        state.window.1[kind] += 1;
        let is_within = state.window.1[kind] <= self.rates[kind];
        state.refused += u64::from(!is_within);
        is_within
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if !self.admit(request.path() == "/api/rows-tx") {
            return (429, "{\"error\":\"too many calls\"}".to_owned());
        }
        let (status, rows, has_more) = match request.path() {
            "/api/rows-tx" => match Json::parse(&request.body) {
                Some(body) => self.transact(&body),
                None => (400, Vec::new(), false),
            },
            "/api/rows-get" => self.range(request),
            "/api/rows-feed" => return self.feed(request),
            _ => (404, Vec::new(), false),
        };
        let version = lock(&self.state.0).version;
        (status, page_json(&rows, version, has_more))
    }

    fn transact(&self, body: &Json) -> (u16, Vec<String>, bool) {
        let field = |row: &Json, name: &str| row.text(name).unwrap_or_default().to_owned();
        let key = |row: &Json| (field(row, "table"), field(row, "part"), field(row, "key"));
        let mut state = lock(&self.state.0);
        let conflicts: Vec<String> = body
            .list("expected")
            .iter()
            .filter_map(|row| {
                let key = key(row);
                let stored = state.rows.get(&key);
                let version = stored.map_or(0, |(_, version)| *version);
                let expected = row.number("ver").unwrap_or(0.0) as u64;
                let value = stored.map(|(value, _)| value.as_str());
                (version != expected).then(|| row_json(&key, value, version))
            })
            .collect();
        if !conflicts.is_empty() {
            return (412, conflicts, false);
        }
        state.version += 1;
        let version = state.version;
        for row in body.list("writes") {
            let value = field(row, "value");
            state.rows.insert(key(row), (value.clone(), version));
            state.changes.push((version, key(row), Some(value)));
        }
        for row in body.list("delete") {
            if state.rows.remove(&key(row)).is_some() {
                state.changes.push((version, key(row), None));
            }
        }
        drop(state);
        self.state.1.notify_all();
        (200, Vec::new(), false)
    }

    fn range(&self, request: &Message) -> (u16, Vec<String>, bool) {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let state = lock(&self.state.0);
        let start = (table.clone(), part.clone(), from);
        let rows = state.rows.range(start..);
        let rows = rows.take_while(|(key, _)| key.0 == table && key.1 == part);
        let rows = rows.take_while(|(key, _)| to.is_empty() || key.2 < to);
        let (mut page, mut bytes) = (Vec::new(), 0);
        for (key, (value, version)) in rows {
            bytes += value.len();
            if page.len() == 500 || (bytes > 1_000_000 && !page.is_empty()) {
                return (200, page, true);
            }
            page.push(row_json(key, Some(value), *version));
        }
        (200, page, false)
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = request.query("wait_ms").parse().unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = lock(&self.state.0);
        loop {
            let first = state.changes.partition_point(|(version, ..)| *version <= after);
            let changed = state.changes[first..].iter().filter(|(_, key, _)| key.0 == table);
            let rows: Vec<String> =
                changed.map(|(version, key, value)| row_json(key, value.as_deref(), *version)).collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= until {
                return (200, page_json(&rows, state.version, false));
            }
            let waited = self.state.1.wait_timeout(state, until - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Writes a row as the operator or a server does.
    fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = lock(&self.state.0);
        state.version += 1;
        let (version, value) = (state.version, base64(value.as_bytes()));
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(key.clone(), (value.clone(), version));
        state.changes.push((version, key, Some(value)));
        drop(state);
        self.state.1.notify_all();
    }

    fn remove(&self, table: &str, key: &str) {
        let mut state = lock(&self.state.0);
        let key = (table.to_owned(), String::new(), key.to_owned());
        if state.rows.remove(&key).is_some() {
            state.version += 1;
            let version = state.version;
            state.changes.push((version, key, None));
        }
        drop(state);
        self.state.1.notify_all();
    }
}

fn page_json(rows: &[String], version: u64, has_more: bool) -> String {
    let now_ms = 51_230.0 + seconds() * 1000.0;
    format!("{{\"rows\":[{}],\"ver\":{version},\"now_ms\":{now_ms:.0},\"has_more\":{has_more}}}", rows.join(","))
}

// ---------------------------------------------------------------------------------------------------- gateways

const GATEWAY: &str = "target/release/ebonydock_gateway";

/// A running gateway, started with the command of the deploy file.
struct Gateway {
    name: String,
    /// Index into `PROCESSES`.
    process: usize,
    settings: PathBuf,
    front: SocketAddr,
    ready: SocketAddr,
}

/// What differs between the machines of a case.
struct MachineSettings {
    memory_mb: u64,
    max_fds: u64,
    grace_s: u64,
}

/// All processes that the case has started.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started and that still run.
fn end_processes() {
    for process in lock(&PROCESSES).iter_mut() {
        // It may have ended already.
        let _ = process.kill();
        let _ = process.wait();
    }
}

impl Gateway {
    fn start(name: &str, zone: &str, store: SocketAddr, machine: &MachineSettings, folder: &Path) -> CaseResult<Self> {
        let (front, ready, control) = (free_port(), free_port(), free_port());
        let mut internal = [free_port(), free_port()];
        internal.sort_unstable();
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"gateway\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
             ip = \"127.0.0.1\"\nzone = \"{zone}\"\nregion = \"sk-east\"\ninternal_ports = [{}, {}]\n\
             seeds = []\nbootstrap = true\ncounts_as_loss = true\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n\
             heartbeat_ms = 1200\ncontracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"batch\", \
             \"stream\", \"engine\", \"tenants\", \"quota\", \"platform\"]\n[zones]\nsk-east-a = \"sk-east\"\n\
             sk-east-b = \"sk-east\"\nsk-east-c = \"sk-east\"\n\
             [listen]\nfront = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\ncontrol = \"127.0.0.1:{control}\"\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = {}\nmax_fds = {}\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [bounds]\nstable_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = {}\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nfinish_s = 18\nstatus_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 800\nreads_per_s = 2000\n\
             history_s = 20\nrow_bytes = 65536\n",
            internal[0], internal[1], machine.memory_mb, machine.max_fds, machine.grace_s
        );
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).map_err(|error| error.to_string())?;
        let child = Self::spawn(&file, log)?;
        let mut processes = lock(&PROCESSES);
        processes.push(child);
        let process = processes.len() - 1;
        Ok(Self { name: name.to_owned(), process, settings: file, front: loopback(front), ready: loopback(ready) })
    }

    fn spawn(settings: &Path, log: std::fs::File) -> CaseResult<Child> {
        Command::new(GATEWAY)
            .env("EBONYDOCK_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .map_err(|error| format!("{GATEWAY}: {error}"))
    }

    /// Starts the process again with the same settings.
    fn start_again(&self) -> CaseResult<()> {
        let log = std::fs::File::options().append(true).open(self.settings.with_extension("log"));
        let child = Self::spawn(&self.settings, log.map_err(|error| error.to_string())?)?;
        lock(&PROCESSES)[self.process] = child;
        Ok(())
    }

    fn id(&self) -> u32 {
        lock(&PROCESSES)[self.process].id()
    }

    /// Ends the process as the platform does with one that exceeds its memory.
    fn kill(&self) {
        let process = &mut lock(&PROCESSES)[self.process];
        let _ = process.kill();
        let _ = process.wait();
    }

    fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/api/ready", &[("Host", "x")], b"", Duration::from_secs(1)).status == 200
    }

    fn wait_until_ready(&self) -> CaseResult<()> {
        for _ in 0..500 {
            if self.is_ready() {
                return Ok(());
            }
            sleep_ms(20);
        }
        Err(format!("{} did not become ready", self.name))
    }

    /// Resident memory of the process in KB.
    fn memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }
}

// ----------------------------------------------------------------------------------------------------- servers

/// What a server streams: so many events with these data bytes each, the first one after `first_ms`, then one per
/// interval.
#[derive(Clone, Copy)]
struct Stream {
    events: u64,
    data_bytes: usize,
    first_ms: u64,
    interval_ms: u64,
}

#[derive(Clone)]
struct ServerPlan {
    service: String,
    stream: Stream,
    slots: usize,
    /// A part of a prompt that crashes the server as it begins to write the answer.
    crashing_part: Option<String>,
    /// Whether the first event is written before it crashes.
    writes_before_crash: bool,
}

/// One arrival of a request at a server.
#[derive(Clone, Debug)]
struct Arrival {
    at: f64,
    request: String,
    has_crashing_part: bool,
}

/// All servers of a case: what reached them, and when they crashed.
#[derive(Default)]
struct ServerLog {
    arrivals: Vec<Arrival>,
    crashes: Vec<f64>,
    answered: HashMap<String, u64>,
}

struct ServerState {
    id: String,
    address: SocketAddr,
    is_up: AtomicBool,
    running: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
}

/// A server at one address, which comes back as a new incarnation after a crash.
#[derive(Clone)]
struct Server {
    plan: ServerPlan,
    zone: &'static str,
    store: Store,
    log: Arc<Mutex<ServerLog>>,
    record: Record,
    state: Arc<Mutex<Arc<ServerState>>>,
}

static NEXT_INSTANCE: AtomicU64 = AtomicU64::new(1);

/// Memory of a server in tokens.
const MEMORY_TOKENS: u64 = 147_261;
/// How long a crashed server stays away.
const CRASH_MS: u64 = 3000;
/// After this much silence, three heartbeats, the store drops the entry of a server.
const LAPSE_MS: u64 = 3600;

impl Server {
    fn start(
        plan: &ServerPlan,
        zone: &'static str,
        store: &Store,
        log: &Arc<Mutex<ServerLog>>,
        record: &Record,
    ) -> CaseResult<Self> {
        let address = loopback(free_port());
        let state = Self::state_of(address);
        let server = Self {
            plan: plan.clone(),
            zone,
            store: store.clone(),
            log: Arc::clone(log),
            record: record.clone(),
            state: Arc::new(Mutex::new(state)),
        };
        server.listen()?;
        Ok(server)
    }

    fn state_of(address: SocketAddr) -> Arc<ServerState> {
        let id = format!("i-{:08x}", 0x7f3a_0000 + NEXT_INSTANCE.fetch_add(1, Ordering::Relaxed));
        Arc::new(ServerState {
            id,
            address,
            is_up: AtomicBool::new(true),
            running: AtomicU64::new(0),
            connections: Mutex::default(),
        })
    }

    fn current(&self) -> Arc<ServerState> {
        Arc::clone(&lock(&self.state))
    }

    /// Registers the server and accepts connections until it crashes.
    fn listen(&self) -> CaseResult<()> {
        let state = self.current();
        let listener = bind_again(state.address)?;
        let born = 1_790_000_000_000 + (seconds() * 1000.0) as u64;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":{born}}}",
            self.plan.service, state.address, self.zone, self.plan.slots
        );
        self.store.put("servers", &state.id, &entry);
        let _ = listener.set_nonblocking(true);
        let server = self.clone();
        thread::spawn(move || {
            while state.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&state.connections).push(copy);
                        }
                        let (server, state) = (server.clone(), Arc::clone(&state));
                        thread::spawn(move || server.serve(&state, stream));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        });
        Ok(())
    }

    fn serve(&self, state: &Arc<ServerState>, stream: TcpStream) {
        let mut reader = MessageReader::open(stream);
        while let Ok(Some(mut request)) = reader.head() {
            if !reader.body(&mut request, false, |_| {}) || !state.is_up.load(Ordering::SeqCst) {
                return;
            }
            state.running.fetch_add(1, Ordering::SeqCst);
            let answered = self.answer(state, &request, &mut reader.stream);
            state.running.fetch_sub(1, Ordering::SeqCst);
            if answered.is_err() || !state.is_up.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    fn answer(&self, state: &Arc<ServerState>, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("ebonydock-request-id").unwrap_or_default().to_owned();
        let refuse = |status: &str| {
            let headers = [
                ("Ebonydock-Request-Id", id.as_str()),
                ("Ebonydock-Not-Executed", "1"),
                ("Ebonydock-Instance-Id", state.id.as_str()),
            ];
            encode_message(&format!("HTTP/1.1 {status}"), &headers, b"")
        };
        if request.header("ebonydock-target-instance").is_some_and(|named| named != state.id) {
            return stream.write_all(&refuse("421 Misdirected Request"));
        }
        let prefix = request.header("ebonydock-prompt-prefix").unwrap_or_default();
        let parts = prefix.split(',').filter_map(|entry| entry.split_once(':'));
        let tokens: u64 = parts.filter_map(|(_, tokens)| tokens.parse::<u64>().ok()).sum();
        let is_full = state.running.load(Ordering::SeqCst) as usize > self.plan.slots * 4;
        if is_full || tokens > MEMORY_TOKENS {
            return stream.write_all(&refuse("503 Service Unavailable"));
        }
        let is_crashing = self
            .plan
            .crashing_part
            .as_ref()
            .is_some_and(|part| prefix.split(',').any(|entry| entry.split(':').next() == Some(part.as_str())));
        lock(&self.log).arrivals.push(Arrival { at: seconds(), request: id.clone(), has_crashing_part: is_crashing });
        let seal = format!("Ebonydock-Request-Id: {id}\r\nEbonydock-Response-Seal: {id}.seal\r\n");
        let Stream { events, data_bytes, first_ms, interval_ms } = self.plan.stream;
        let first: u64 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        sleep_ms(first_ms);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\n\
                     Ebonydock-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if is_crashing && !self.plan.writes_before_crash {
            self.crash(state, &id);
            return Ok(());
        }
        stream.write_all(head.as_bytes())?;
        for event in first..=events {
            let data = event_data(&id, event, data_bytes);
            let text = format!("id: {event}\ndata: {data}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            if is_crashing {
                // The bytes are on their way when the process ends.
                sleep_ms(2);
                self.crash(state, &id);
                return Ok(());
            }
            if !state.is_up.load(Ordering::SeqCst) {
                return Ok(());
            }
            sleep_ms(interval_ms);
        }
        stream.write_all(b"0\r\n\r\n")?;
        *lock(&self.log).answered.entry(id).or_default() += 1;
        Ok(())
    }

    /// Ends all connections and the listener, and comes back some seconds later under a new id.
    fn crash(&self, state: &Arc<ServerState>, request: &str) {
        if !state.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.add(format!("server {} crashes on {request}", state.id));
        lock(&self.log).crashes.push(seconds());
        for stream in lock(&state.connections).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (server, old) = (self.clone(), Arc::clone(state));
        thread::spawn(move || {
            sleep_ms(CRASH_MS);
            *lock(&server.state) = Self::state_of(old.address);
            if let Err(error) = server.listen() {
                server.record.add(format!("server at {} not started again: {error}", old.address));
            }
            sleep_ms(LAPSE_MS - CRASH_MS);
            server.store.remove("servers", &old.id);
        });
    }
}

fn event_data(request: &str, event: u64, bytes: usize) -> String {
    let start = format!("{request} {event} ");
    let rest = bytes.saturating_sub(start.len());
    start + &"y".repeat(rest)
}

fn bind_again(address: SocketAddr) -> CaseResult<TcpListener> {
    for _ in 0..100 {
        match TcpListener::bind(address) {
            Ok(listener) => return Ok(listener),
            Err(_) => sleep_ms(50),
        }
    }
    Err(format!("cannot listen on {address}"))
}

// -------------------------------------------------------------------------------------------------- deployment

const ZONES: [&str; 3] = ["sk-east-a", "sk-east-b", "sk-east-c"];
const HOST: &str = "ficu95.example";
const KEY: &str = "Bearer 2b9wu3fexd9dnn2ctnfz";

struct RoutePlan {
    name: &'static str,
    kind: &'static str,
    service: &'static str,
    timeout_ms: u64,
    max_attempts: u64,
    can_resume: bool,
}

fn config_json(version: u64, routes: &[RoutePlan], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let batch = if route.kind == "batch" {
                ",\"completion_target_ms\":18000,\"max_queue_s\":60,\"cap\":3600000"
            } else {
                ""
            };
            format!(
                "{{\"name\":\"{0}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{0}/\",\"kind\":\"{1}\",\
                 \"service\":\"{2}\",\"timeout_ms\":{3},\"target_latency_ms\":600,\"priority\":0,\
                 \"max_attempts\":{4},\"can_resume\":{5},\"session_affinity\":true,\"gap_aim_ms\":1000{batch}}}",
                route.name, route.kind, route.service, route.timeout_ms, route.max_attempts, route.can_resume
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":540,\"cold_start_s\":0,\
                 \"cold_per_s\":0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"2b9wu3fexd9dnn2ctnfz\"],\"rate_per_s\":0,\"burst\":0}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// The parts of a running case.
struct Site {
    record: Record,
    folder: PathBuf,
    store: Store,
    log: Arc<Mutex<ServerLog>>,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    has_trouble: bool,
    next_id: AtomicU64,
}

impl Site {
    fn open(record: &Record, folder: &Path) -> CaseResult<Self> {
        Self::open_with_rates(record, folder, [2000, 800])
    }

    /// Opens a site whose store takes so many reading and writing calls a second.
    fn open_with_rates(record: &Record, folder: &Path, rates: [u64; 2]) -> CaseResult<Self> {
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.add(format!("case begins, {} the disruption", if has_trouble { "with" } else { "without" }));
        Ok(Self {
            record: record.clone(),
            folder: folder.to_owned(),
            store: Store::open(rates)?,
            log: Arc::default(),
            servers: Vec::new(),
            gateways: Vec::new(),
            has_trouble,
            next_id: AtomicU64::new(1),
        })
    }

    fn add_servers(&mut self, count: usize, plan: &ServerPlan) -> CaseResult<()> {
        for number in 0..count {
            let zone = ZONES[number % ZONES.len()];
            self.servers.push(Server::start(plan, zone, &self.store, &self.log, &self.record)?);
        }
        Ok(())
    }

    fn add_gateways(&mut self, count: usize, machine: &MachineSettings) -> CaseResult<()> {
        for index in 0..count {
            let (name, zone) = (format!("front-{index}"), ZONES[index % ZONES.len()]);
            self.gateways.push(Gateway::start(&name, zone, self.store.address, machine, &self.folder)?);
        }
        for gateway in &self.gateways {
            gateway.wait_until_ready()?;
        }
        // Members, servers and jobs arrive on feeds of their own; machines are in touch after `stable_ms`.
        sleep_ms(3500);
        self.record.add(format!("{count} gateways are ready"));
        Ok(())
    }

    fn new_id(&self, kind: &str) -> String {
        format!("{kind}{:012x}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    fn send(&self, gateway: usize, route: &str, id: &str, headers: &[(&str, &str)], deadline_ms: u64) -> CallOutcome {
        let deadline = deadline_ms.to_string();
        let mut all = vec![
            ("Host", HOST),
            ("Authorization", KEY),
            ("Ebonydock-Request-Id", id),
            ("Ebonydock-Deadline-Ms", deadline.as_str()),
        ];
        all.extend_from_slice(headers);
        let timeout = Duration::from_millis(deadline_ms);
        call(self.gateways[gateway].front, "POST", &format!("/{route}/2f"), &all, b"question", timeout)
    }

    /// Submits a job; the ids of its items are that of the job and a number.
    fn submit(&self, gateway: usize, job: &str, items: usize, prefix: impl Fn(usize) -> String) -> CallOutcome {
        let requests: Vec<String> = (0..items)
            .map(|item| {
                format!(
                    "{{\"id\":\"{job}.{item}\",\"path\":\"/scene/3/91c4\",\"headers\":{{\"Ebonydock-Model\":\"m\",\
                     \"Ebonydock-Token-Count\":\"350,190\",\"Ebonydock-Prompt-Prefix\":\"{}\"}},\
                     \"body\":\"q83vEjRWeJA=\",\"tokens\":540}}",
                    prefix(item)
                )
            })
            .collect();
        let body = format!("{{\"requests\":[{}]}}", requests.join(","));
        let headers = [
            ("Host", HOST),
            ("Authorization", KEY),
            ("Ebonydock-Request-Id", job),
            ("Content-Type", "application/json"),
        ];
        let front = self.gateways[gateway].front;
        call(front, "POST", "/scene/7c41e0", &headers, body.as_bytes(), Duration::from_secs(6))
    }

    fn read_job(&self, gateway: usize, job: &str, after: usize) -> CallOutcome {
        let headers = [("Host", HOST), ("Authorization", KEY)];
        let path = format!("/api/lots/{job}?after={after}");
        call(self.gateways[gateway].front, "GET", &path, &headers, b"", Duration::from_secs(6))
    }
}

// ------------------------------------------------------------------------------------------ case: crashing part

const BAD_PART: &str = "bad0c0de";
/// `stable_ms` of the settings.
const STABLE_S: f64 = 3.0;

/// Requests of which one part crashes servers, beside sound ones: how many reach servers after the bound?
fn crashing_part(record: &Record, folder: &Path) -> CaseResult<bool> {
    let writes_before_crash = std::env::var("CRASH").map_or(true, |value| value != "head");
    // Parts before the crashing one: one, or as many as a long conversation has.
    let earlier = std::env::var("PARTS").ok().and_then(|value| value.parse().ok()).unwrap_or(1);
    let earlier: Vec<String> = (0..earlier).map(|number| format!("5c1e{number:04x}:100")).collect();
    let earlier = earlier.join(",");
    let mut site = Site::open(record, folder)?;
    let plan = ServerPlan {
        service: "dele69a".to_owned(),
        stream: Stream { events: 18, data_bytes: 70, first_ms: 20, interval_ms: 8 },
        slots: 8,
        crashing_part: Some(BAD_PART.to_owned()),
        writes_before_crash,
    };
    let route = |name, can_resume| RoutePlan {
        name,
        kind: "stream",
        service: "dele69a",
        timeout_ms: 5000,
        max_attempts: 2,
        can_resume,
    };
    let routes = [route("caption", true)];
    site.store.put("op", "config", &config_json(3, &routes, &["dele69a"]));
    site.add_servers(12, &plan)?;
    site.add_gateways(3, &MachineSettings { memory_mb: 300, max_fds: 8200, grace_s: 8 })?;
    let site = Arc::new(site);
    let ends_at = seconds() + 25.0;
    let (served, sent) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut senders = Vec::new();
    // Sound requests: they share the caller and the first part with the others.
    for client in 0..6 {
        let (site, served, sent) = (Arc::clone(&site), Arc::clone(&served), Arc::clone(&sent));
        let earlier = earlier.clone();
        senders.push(thread::spawn(move || {
            while seconds() < ends_at {
                let id = site.new_id("a1");
                let prefix = format!("{earlier},91bd{client}:100,{id}:250");
                let headers = [
                    ("Ebonydock-Model", "m"),
                    ("Ebonydock-Token-Count", "450,40"),
                    ("Ebonydock-Prompt-Prefix", prefix.as_str()),
                ];
                let outcome = site.send(client % 3, "caption", &id, &headers, 5000);
                sent.fetch_add(1, Ordering::Relaxed);
                let is_served = outcome.status == 200 && outcome.is_complete;
                served.fetch_add(u64::from(is_served), Ordering::Relaxed);
                if !is_served {
                    let status = outcome.status;
                    site.record.add(format!("sound request {id} at front-{}: {status}, not complete", client % 3));
                }
                sleep_ms(250);
            }
        }));
    }
    if site.has_trouble {
        let site = Arc::clone(&site);
        senders.push(thread::spawn(move || {
            let mut turn = 0;
            sleep_ms(2000);
            while seconds() < ends_at {
                let (site, earlier) = (Arc::clone(&site), earlier.clone());
                thread::spawn(move || {
                    let id = site.new_id("b2");
                    let prefix = format!("{earlier},{BAD_PART}:100,{id}:250");
                    let headers = [
                        ("Ebonydock-Model", "m"),
                        ("Ebonydock-Token-Count", "450,40"),
                        ("Ebonydock-Prompt-Prefix", prefix.as_str()),
                    ];
                    site.record.add(format!("request {id} with the part is sent to front-{}", turn % 3));
                    let outcome = site.send(turn % 3, "caption", &id, &headers, 5000);
                    let end = if outcome.is_complete { "complete" } else { "cut" };
                    site.record.add(format!("request {id} with the part gets {}, {end}", outcome.status));
                });
                turn += 1;
                sleep_ms(800);
            }
        }));
    }
    for sender in senders {
        let _ = sender.join();
    }
    sleep_ms(500);
    let log = lock(&site.log);
    for arrival in log.arrivals.iter().filter(|arrival| arrival.has_crashing_part) {
        let at = arrival.at;
        site.record.add(format!("(at {at:.3} s, request {} with the part reached a server)", arrival.request));
    }
    let mut crashes = log.crashes.clone();
    crashes.sort_by(f64::total_cmp);
    let bound = crashes.get(4).map(|fifth| fifth + STABLE_S);
    let late = log
        .arrivals
        .iter()
        .filter(|arrival| arrival.has_crashing_part && bound.is_some_and(|bound| arrival.at > bound));
    let late = late.count();
    let (served, sent) = (served.load(Ordering::Relaxed), sent.load(Ordering::Relaxed));
    site.record.add(format!(
        "crashes: {}; bound at {bound:?}; requests with the part that reached servers later: {late}; sound requests \
         served: {served} of {sent}",
        crashes.len()
    ));
    if sent < 100 || (!site.has_trouble && served < sent * 9 / 10) {
        return Err(format!("the site does not serve: {served} of {sent}"));
    }
    Ok(late > 3)
}

/// One item of a job has the part: how many servers does it crash?
fn crashing_item(record: &Record, folder: &Path) -> CaseResult<bool> {
    let mut site = Site::open(record, folder)?;
    let plan = ServerPlan {
        service: "dele69a".to_owned(),
        stream: Stream { events: 126, data_bytes: 70, first_ms: 20, interval_ms: 8 },
        slots: 8,
        crashing_part: Some(BAD_PART.to_owned()),
        writes_before_crash: std::env::var("CRASH").map_or(true, |value| value != "head"),
    };
    let routes = [RoutePlan {
        name: "scene",
        kind: "batch",
        service: "dele69a",
        timeout_ms: 15000,
        max_attempts: 3,
        can_resume: true,
    }];
    site.store.put("op", "config", &config_json(3, &routes, &["dele69a"]));
    site.add_servers(12, &plan)?;
    site.add_gateways(3, &MachineSettings { memory_mb: 300, max_fds: 8200, grace_s: 8 })?;
    let has_trouble = site.has_trouble;
    let prefix = |item: usize| {
        let part = if has_trouble && item == 0 { BAD_PART.to_owned() } else { format!("91bd{item}") };
        format!("5c1e07a2:100,{part}:100,e4402b{item:02}:250")
    };
    let job = site.new_id("c3");
    let accepted = site.submit(0, &job, 10, prefix);
    site.record.add(format!("job {job} of 10 items submitted: {}", accepted.status));
    if accepted.status != 202 {
        return Err(format!("the job was not accepted: {}", accepted.status));
    }
    sleep_ms(25_000);
    let log = lock(&site.log);
    let mut crashes = log.crashes.clone();
    crashes.sort_by(f64::total_cmp);
    let bound = crashes.get(4).map(|fifth| fifth + STABLE_S);
    let late = log
        .arrivals
        .iter()
        .filter(|arrival| arrival.has_crashing_part && bound.is_some_and(|bound| arrival.at > bound));
    let late = late.count();
    let page = site.read_job(1, &job, 0);
    let next = Json::parse(&page.message.body).and_then(|page| page.number("next"));
    site.record.add(format!(
        "crashes: {}; bound at {bound:?}; arrivals of the item later: {late}; results listed after 25 s: {next:?}",
        crashes.len()
    ));
    Ok(late > 3)
}

// ------------------------------------------------------------------------------------------- slow readers

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Connects as a client on a real network does: with packets of 1,460 bytes instead of the 64 KB of the loopback device,
/// and with a small receive buffer, as a client has that reads slowly.
fn connect_slow(address: SocketAddr, buffer: i32) -> CaseResult<TcpStream> {
    let SocketAddr::V4(v4) = address else {
        return Err("no IPv4 address".to_owned());
    };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    let segment = 1460;
    // SAFETY: the socket is owned by the stream that is made of it; the pointers are valid during the calls.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err("no socket".to_owned());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &buffer, 4);
        setsockopt(stream.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        if connect(stream.as_raw_fd(), raw.as_ptr(), 16) != 0 {
            return Err(std::io::Error::last_os_error().to_string());
        }
        Ok(stream)
    }
}

/// Clients of a tenant read the results of its job slowly. Do the machines stay within their memory? The platform kills
/// a process that exceeds it and starts it again; the rule is broken if two processes end three times each.
fn slow_readers_of_results(record: &Record, folder: &Path) -> CaseResult<bool> {
    const MEMORY_MB: u64 = 120;
    const ENDS: usize = 3;
    let mut site = Site::open(record, folder)?;
    let plan = ServerPlan {
        service: "dele69a".to_owned(),
        stream: Stream { events: 126, data_bytes: 70, first_ms: 20, interval_ms: 1 },
        slots: 8,
        crashing_part: None,
        writes_before_crash: false,
    };
    let routes = [RoutePlan {
        name: "scene",
        kind: "batch",
        service: "dele69a",
        timeout_ms: 15000,
        max_attempts: 3,
        can_resume: true,
    }];
    site.store.put("op", "config", &config_json(3, &routes, &["dele69a"]));
    site.add_servers(6, &plan)?;
    site.add_gateways(3, &MachineSettings { memory_mb: MEMORY_MB, max_fds: 3075, grace_s: 8 })?;
    let job = site.new_id("c3");
    let items = 95;
    let accepted = site.submit(2, &job, items, |item| format!("5c1e07a2:100,91bd{item}:100,e4402b{item:02}:250"));
    site.record.add(format!("job {job} of {items} items submitted to front-2: {}", accepted.status));
    for _ in 0..60 {
        sleep_ms(500);
        let page = site.read_job(2, &job, 0);
        let next = Json::parse(&page.message.body).and_then(|page| page.number("next"));
        if next == Some(items as f64) {
            break;
        }
    }
    let mut ends = [0; 2];
    for round in 0..ENDS {
        for (number, ends) in ends.iter_mut().enumerate() {
            let page = site.read_job(number, &job, 0);
            let bytes = page.message.body.len();
            site.record.add(format!("one page of the results at front-{number}: {}, {bytes} bytes", page.status));
            if page.status != 200 || bytes < 500_000 {
                return Err(format!("the results cannot be read: {}, {bytes} bytes", page.status));
            }
            if !read_slowly(&site, number, &job, MEMORY_MB)? {
                continue;
            }
            *ends += 1;
            sleep_ms(500);
            site.gateways[number].start_again()?;
            site.gateways[number].wait_until_ready()?;
            site.record.add(format!("round {round}: front-{number} is ready again"));
            sleep_ms(500);
        }
    }
    site.record.add(format!("front-0 ended {} times, front-1 {} times", ends[0], ends[1]));
    Ok(ends.iter().all(|ends| *ends >= ENDS))
}

/// Lets clients read the results of a job slowly until the machine exceeds its memory and is killed. Returns whether it was.
fn read_slowly(site: &Site, number: usize, job: &str, memory_mb: u64) -> CaseResult<bool> {
    let gateway = &site.gateways[number];
    let before = gateway.memory_kb().ok_or("no memory reading")?;
    let limit = memory_mb * 1024;
    site.record.add(format!("front-{number} uses {before} KB of {limit} KB"));
    let mut readers: Vec<TcpStream> = Vec::new();
    let mut peak = before;
    let count = if site.has_trouble { 200 } else { 1 };
    for _ in 0..count {
        let mut stream = connect_slow(gateway.front, 8 * 1024)?;
        let first = format!("GET /api/lots/{job}?after=0 HTTP/1.1");
        let request = encode_message(&first, &[("Host", HOST), ("Authorization", KEY)], b"");
        stream.write_all(&request).map_err(|error| error.to_string())?;
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
        readers.push(stream);
        sleep_ms(25);
        // Each client reads on, at some KB a second.
        for reader in &mut readers {
            let mut bytes = [0_u8; 128];
            let _ = reader.set_nonblocking(true);
            let _ = reader.read(&mut bytes);
        }
        let Some(used) = gateway.memory_kb() else {
            return Err("the process has ended by itself".to_owned());
        };
        peak = peak.max(used);
        if readers.len() % 10 == 0 {
            site.record.add(format!("{} clients of front-{number} read slowly; it uses {used} KB", readers.len()));
        }
        if used > limit {
            gateway.kill();
            let clients = readers.len();
            site.record
                .add(format!("front-{number} uses {used} KB with {clients} slow clients; the platform kills it"));
            return Ok(true);
        }
    }
    sleep_ms(1000);
    peak = peak.max(gateway.memory_kb().unwrap_or(0));
    site.record.add(format!("front-{number} used {peak} KB at most with {} slow clients", readers.len()));
    Ok(false)
}

// ---------------------------------------------------------------------------------------- case: full allowances

/// All tenants use their allowance of waiting tokens, then half of the machines are lost. Do the others stay within their
/// memory? The platform kills a process that exceeds it and starts it again.
fn full_allowances(record: &Record, folder: &Path) -> CaseResult<bool> {
    const MEMORY_MB: u64 = 88;
    const TENANTS: usize = 5;
    const CAP_TOKENS: usize = 2_900_000;
    const ITEM_TOKENS: usize = 558;
    const BODY_BYTES: usize = 960;
    let mut site = Site::open_with_rates(record, folder, [6000, 1500])?;
    let plan = ServerPlan {
        service: "dele69a".to_owned(),
        stream: Stream { events: 130, data_bytes: 70, first_ms: 20, interval_ms: 6 },
        slots: 8,
        crashing_part: None,
        writes_before_crash: false,
    };
    let routes = [RoutePlan {
        name: "scene",
        kind: "batch",
        service: "dele69a",
        timeout_ms: 15000,
        max_attempts: 3,
        can_resume: true,
    }];
    let config = config_json(3, &routes, &["dele69a"]).replace("\"cap\":3600000", &format!("\"cap\":{CAP_TOKENS}"));
    let start = config.find("\"tenants\":").ok_or("no tenants")?;
    let tenants: Vec<String> = (0..TENANTS)
        .map(|tenant| {
            format!("{{\"name\":\"huka27{tenant}\",\"api_keys\":[\"key{tenant}\"],\"rate_per_s\":0,\"burst\":0}}")
        })
        .collect();
    let config = format!("{}\"tenants\":[{}]}}", &config[..start], tenants.join(","));
    site.store.put("op", "config", &config);
    site.add_servers(9, &plan)?;
    site.add_gateways(5, &MachineSettings { memory_mb: MEMORY_MB, max_fds: 4100, grace_s: 8 })?;
    let body = base64(&[b'q'; BODY_BYTES]);
    let mut accepted = 0;
    // Four clients at once, each at a machine of its own; jobs of ten items, up to the allowance.
    let statuses: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let clients = (0..5).map(|gateway| {
        let (front, statuses, body) = (site.gateways[gateway].front, Arc::clone(&statuses), body.clone());
        thread::spawn(move || {
            for number in 0..CAP_TOKENS / ITEM_TOKENS / 10 * TENANTS / 5 {
                let tenant = number % TENANTS;
                let job = format!("c3{gateway}{number:05}");
                let requests: Vec<String> = (0..10)
                    .map(|item| {
                        format!(
                            "{{\"id\":\"{job}.{item}\",\"path\":\"/scene/3/91c4\",\"headers\":{{\"Ebonydock-Model\":\
                             \"m\",\"Ebonydock-Token-Count\":\"350,208\",\"Ebonydock-Prompt-Prefix\":\
                             \"5c1e07a2:100,{number:x}{item}abc:250\"}},\"body\":\"{body}\",\"tokens\":{ITEM_TOKENS}}}"
                        )
                    })
                    .collect();
                let submission = format!("{{\"requests\":[{}]}}", requests.join(","));
                let key = format!("Bearer key{tenant}");
                let headers = [
                    ("Host", HOST),
                    ("Authorization", key.as_str()),
                    ("Ebonydock-Request-Id", job.as_str()),
                    ("Content-Type", "application/json"),
                ];
                let submission = submission.as_bytes();
                let outcome = call(front, "POST", "/scene/7c41e0", &headers, submission, Duration::from_secs(6));
                *lock(&statuses).entry(outcome.status).or_default() += 1;
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        let _ = client.join();
    }
    for (status, count) in lock(&statuses).iter() {
        site.record.add(format!("{count} jobs of 10 items got {status}"));
        accepted += if *status == 202 { *count } else { 0 };
    }
    if accepted < 1000 {
        return Err(format!("only {accepted} jobs were accepted"));
    }
    let used =
        |site: &Site| -> Vec<u64> { site.gateways.iter().map(|gateway| gateway.memory_kb().unwrap_or(0)).collect() };
    site.record.add(format!("memory of the machines in KB: {:?}; limit {}", used(&site), MEMORY_MB * 1024));
    if site.has_trouble {
        for gateway in 2..5 {
            site.gateways[gateway].kill();
            site.record.add(format!("front-{gateway} is lost for good"));
        }
    }
    let survivors = if site.has_trouble { 2 } else { 5 };
    let mut ends = vec![0; survivors];
    let mut logged_at = 0.0;
    let ends_at = seconds() + 75.0;
    while seconds() < ends_at && !ends.iter().all(|ends| *ends >= 3) {
        for (number, ends) in ends.iter_mut().enumerate() {
            let gateway = &site.gateways[number];
            let used = gateway.memory_kb().unwrap_or(0);
            if used > MEMORY_MB * 1024 {
                gateway.kill();
                *ends += 1;
                site.record.add(format!("front-{number} uses {used} KB; the platform kills it and starts it again"));
                sleep_ms(300);
                gateway.start_again()?;
            }
        }
        if seconds() > logged_at + 2.0 {
            logged_at = seconds();
            site.record.add(format!("memory of the machines in KB: {:?}", used(&site)));
        }
        sleep_ms(20);
    }
    site.record.add(format!("ends by memory of the machines that were not lost: {ends:?}"));
    Ok(ends.iter().filter(|ends| **ends >= 3).count() >= 2)
}

// ------------------------------------------------------------------------------------------ case: lost service

/// The servers of a service in all zones end at the same moment and are back together after 3 s. Is a job that was accepted before, or one that
/// is accepted later, done 36 s after the servers are back?
fn lost_service(record: &Record, folder: &Path) -> CaseResult<bool> {
    let mut site = Site::open(record, folder)?;
    let plan = ServerPlan {
        service: "dele69a".to_owned(),
        stream: Stream { events: 27, data_bytes: 70, first_ms: 100, interval_ms: 6 },
        slots: 8,
        crashing_part: None,
        writes_before_crash: false,
    };
    let routes = [
        RoutePlan {
            name: "caption",
            kind: "stream",
            service: "dele69a",
            timeout_ms: 5000,
            max_attempts: 1,
            can_resume: false,
        },
        RoutePlan {
            name: "scene",
            kind: "batch",
            service: "dele69a",
            timeout_ms: 15000,
            max_attempts: 3,
            can_resume: true,
        },
    ];
    site.store.put("op", "config", &config_json(3, &routes, &["dele69a"]));
    site.add_servers(9, &plan)?;
    site.add_gateways(3, &MachineSettings { memory_mb: 300, max_fds: 8200, grace_s: 8 })?;
    let site = Arc::new(site);
    let lost_at = seconds() + 5.0;
    let back_at = lost_at + CRASH_MS as f64 / 1000.0;
    let ends_at = back_at + 36.0;
    let outcomes: Arc<Mutex<Vec<(f64, u16)>>> = Arc::default();
    let mut callers = Vec::new();
    // Callers share the first part of the prompt, as requests of one application do. They stop 19 s before the end, more than `finish_s`.
    for client in 0..36 {
        let (site, outcomes) = (Arc::clone(&site), Arc::clone(&outcomes));
        callers.push(thread::spawn(move || {
            sleep_ms(client * 13);
            while seconds() < ends_at - 19.0 {
                let id = site.new_id("a1");
                let prefix = format!("5c1e07a2:100,91bd{}:100,{id}:250", client % 4);
                let headers = [
                    ("Ebonydock-Model", "m"),
                    ("Ebonydock-Token-Count", "450,40"),
                    ("Ebonydock-Prompt-Prefix", prefix.as_str()),
                ];
                let at = seconds();
                let outcome = site.send(client as usize % 3, "caption", &id, &headers, 5000);
                let complete = if outcome.is_complete { "" } else { ", cut" };
                let status = outcome.status;
                site.record.add(format!("request {id} to front-{} at {at:.3} s: {status}{complete}", client % 3));
                lock(&outcomes).push((at, status));
                sleep_ms(if status == 200 { 100 } else { 1000 });
            }
        }));
    }
    let prefix = |item: usize| format!("5c1e07a2:100,e4402b{item:02}:250");
    let wait_until = |at: f64| sleep_ms(((at - seconds()).max(0.0) * 1000.0) as u64);
    let mut jobs = Vec::new();
    for (gateway, at) in [(0, lost_at - 0.1), (1, back_at + 4.0)] {
        if gateway == 1 {
            wait_until(lost_at);
            if site.has_trouble {
                site.record.add("the servers of the service in all three zones end");
                for server in &site.servers {
                    let state = server.current();
                    server.crash(&state, "loss of the service");
                }
            }
        }
        wait_until(at);
        let job = site.new_id("c3");
        let accepted = site.submit(gateway, &job, 10, prefix);
        site.record.add(format!("job {job} of 10 items submitted to front-{gateway}: {}", accepted.status));
        if accepted.status != 202 {
            return Err(format!("the job was not accepted: {}", accepted.status));
        }
        jobs.push(job);
    }
    for caller in callers {
        let _ = caller.join();
    }
    wait_until(ends_at);
    let mut statuses: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    for (at, status) in lock(&outcomes).iter() {
        let phase = if *at < lost_at {
            "before"
        } else if *at < back_at + STABLE_S {
            "during, and 3 s after"
        } else {
            "later"
        };
        *statuses.entry((phase, *status)).or_default() += 1;
    }
    for ((phase, status), count) in statuses {
        site.record.add(format!("sound requests {phase}: {count} times {status}"));
    }
    let mut unlisted = 0;
    for job in &jobs {
        let page = site.read_job(2, job, 0);
        let next = Json::parse(&page.message.body).and_then(|page| page.number("next"));
        let listed = next.ok_or("the job cannot be read")? as usize;
        let log = lock(&site.log);
        let of_job = |arrival: &&Arrival| arrival.request.starts_with(job.as_str());
        let last = log.arrivals.iter().filter(of_job).map(|arrival| arrival.at).fold(0.0, f64::max);
        unlisted += 10 - listed;
        site.record.add(format!("job {job}: {listed} of 10 items listed; last arrival of an item at {last:.3} s"));
    }
    Ok(unlisted > 0)
}

// -------------------------------------------------------------------------------------------------------- main

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: harness-3 CASE FOLDER");
        std::process::exit(2);
    };
    let out = PathBuf::from(folder);
    let temporary = std::env::temp_dir().join(format!("ebonydock-review-3-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("{}: {error}", temporary.display());
        std::process::exit(2);
    }
    seconds();
    let record = Record::default();
    let played = match case.as_str() {
        "crashing-part" => crashing_part(&record, &temporary),
        "crashing-item" => crashing_item(&record, &temporary),
        "full-allowances" => full_allowances(&record, &temporary),
        "lost-service" => lost_service(&record, &temporary),
        "slow-readers-of-results" => slow_readers_of_results(&record, &temporary),
        _ => Err(format!("no case `{case}`")),
    };
    let code = match played {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    let verdict = match &played {
        Ok(true) => "the rule was broken".to_owned(),
        Ok(false) => "the rule held".to_owned(),
        Err(reason) => format!("the case could not run: {reason}"),
    };
    end_processes();
    record.add(format!("end: {verdict}"));
    record.save(&out);
    println!("{case}: {verdict}");
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    std::process::exit(code);
}
