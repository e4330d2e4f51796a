//! Splits a streamed response into complete events without changing its bytes.

use ntex::util::{Bytes, BytesMut};

/// Limit for one event. Engines send a few tokens in an event; bytes beyond this are no event.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Blank lines that end an event.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
const ID_FIELD: &[u8] = b"id:";
const DATA_FIELD: &[u8] = b"data:";

/// A complete event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event, including the blank line at its end.
    pub raw: Bytes,
    /// The id of the event, if it has a numeric one.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Returns the data lines of the event, joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let lines = self.raw.split(|byte| *byte == b'\n');
        let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
        let data = lines.filter_map(|line| line.strip_prefix(DATA_FIELD));
        let data: Vec<&[u8]> = data.map(|data| data.strip_prefix(b" ").unwrap_or(data)).collect();
        data.join(&b'\n')
    }
}

/// An event that is larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct OversizedEvent;

/// Buffers the bytes of a stream and returns its complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` until more bytes arrive.
    ///
    /// # Errors
    ///
    /// Fails if the event is too large, complete or not.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, OversizedEvent> {
        let end = EVENT_ENDS.iter().filter_map(|blank| {
            let at = self.buffer.windows(blank.len()).position(|window| window == *blank)?;
            Some((at, blank.len()))
        });
        let end = end.min();
        if end.map_or(self.buffer.len(), |(at, _)| at) > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        let Some((at, length)) = end else { return Ok(None) };
        let raw = self.buffer.split_to(at + length);
        let id = event_id(&raw);
        Ok(Some(StreamEvent { raw, id }))
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(&mut self.buffer).freeze()
    }

    /// Returns whether there are no bytes of an incomplete event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

fn event_id(raw: &[u8]) -> Option<u64> {
    let line = raw.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
