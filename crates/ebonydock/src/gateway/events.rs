//! Splitting a streamed answer into whole events without changing its bytes.

use ntex::util::{Bytes, BytesMut};

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data:";

/// A whole event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, the blank line at the end included.
    pub raw: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// The data lines of the event, joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let lines = self.raw.split(|byte| *byte == b'\n');
        let data = lines.filter_map(|line| line.strip_prefix(DATA_FIELD));
        let data: Vec<&[u8]> = data.map(|data| data.strip_prefix(b" ").unwrap_or(data)).collect();
        data.join(&b'\n')
    }
}

/// Collects the bytes of a stream and returns its whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.buffer.windows(EVENT_END.len()).position(|window| window == EVENT_END)?;
        let raw = self.buffer.split_to(end + EVENT_END.len());
        let id = event_id(&raw);
        Some(StreamEvent { raw, id })
    }

    /// Takes the bytes of an event that has not ended.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(&mut self.buffer).freeze()
    }
}

fn event_id(raw: &[u8]) -> Option<u64> {
    let line = raw.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
