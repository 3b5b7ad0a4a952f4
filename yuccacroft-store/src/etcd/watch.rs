//! The stream of a watch: one JSON object per line.

use {
    super::query::{Header, RawKeyValue, decode_item, decode_text, parse_revision, protocol_error},
    crate::{
        errors::{Error, Result},
        store::{Changes, KeyValue, Unreadable, WatchEvent},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::BytesMut,
    futures::stream::{self, Stream},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    serde::{Deserialize, Serialize},
    yuccacroft_core::ids::Revision,
};

/// Upper bound of a line in bytes; a line may hold many values of the largest size.
const MAX_LINE_BYTES: usize = 64 << 20;

#[derive(Serialize)]
pub(super) struct Query {
    create_request: Create,
}

#[derive(Serialize)]
struct Create {
    key: Box<str>,
    range_end: Box<str>,
    start_revision: Box<str>,
}

#[derive(Deserialize)]
struct Line {
    result: Answer,
}

#[derive(Deserialize)]
struct Answer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    compact_revision: Option<Box<str>>,
    #[serde(default)]
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    /// Absent for a write.
    #[serde(rename = "type", default)]
    kind: Box<str>,
    kv: RawKeyValue,
}

struct State {
    body: Incoming,
    buffer: BytesMut,
    ended: bool,
}

/// Builds the request of a watch.
pub(super) fn create_query(prefix: &str, end: &[u8], from: Revision) -> Query {
    let create_request = Create {
        key: STANDARD.encode(prefix).into(),
        range_end: STANDARD.encode(end).into(),
        start_revision: from.to_string().into(),
    };
    Query { create_request }
}

/// Returns the events of a watch response until it ends or fails.
pub(super) fn events(body: Incoming) -> impl Stream<Item = Result<WatchEvent>> + Send + 'static {
    let state = State { body, buffer: BytesMut::new(), ended: false };
    stream::unfold(state, |mut state| async move {
        if state.ended {
            return None;
        }
        let event = state.next().await.transpose()?;
        state.ended = !matches!(event, Ok(WatchEvent::Changed(_)));
        Some((event, state))
    })
}

impl State {
    async fn next(&mut self) -> Result<Option<WatchEvent>> {
        loop {
            while let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                if let Some(event) = parse_line(&line)? {
                    return Ok(Some(event));
                }
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(Error::Protocol("line of a watch is too long".into()));
            }
            let Some(frame) = self.body.frame().await else { return Ok(None) };
            let frame = frame.map_err(|error| Error::Unreachable(error.to_string().into()))?;
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }
}

/// Parses one line. Returns `None` for the confirmation of the watch and for progress messages.
fn parse_line(line: &[u8]) -> Result<Option<WatchEvent>> {
    if line.iter().all(u8::is_ascii_whitespace) {
        return Ok(None);
    }
    let Line { result } = serde_json::from_slice(line).map_err(|error| protocol_error(&error))?;
    if let Some(compacted) = result.compact_revision.filter(|text| &**text != "0") {
        return Ok(Some(WatchEvent::Compacted(parse_revision(&compacted)?)));
    }
    if result.canceled {
        return Err(Error::Unreachable("the store has ended the watch".into()));
    }
    if result.events.is_empty() {
        return Ok(None);
    }
    let (mut items, mut unreadable, mut removed) = (Vec::new(), Vec::new(), Vec::new());
    for event in result.events {
        let key = decode_text(&event.kv.key)?;
        removed.retain(|removed_key| *removed_key != key);
        unreadable.retain(|written: &Unreadable| written.key != key);
        if &*event.kind == "DELETE" {
            items.retain(|written: &KeyValue| written.key != key);
            removed.push(key);
        } else {
            match decode_item(event.kv)? {
                Ok(item) => items.push(item),
                Err(item) => {
                    items.retain(|written| written.key != key);
                    unreadable.push(item);
                }
            }
        }
    }
    let revision = parse_revision(&result.header.revision)?;
    Ok(Some(WatchEvent::Changed(Changes {
        revision,
        items: items.into(),
        unreadable: unreadable.into(),
        removed: removed.into(),
    })))
}
