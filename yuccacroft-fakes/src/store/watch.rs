//! Watches of the store: streams of JSON objects, one per line.

use {
    super::{
        Shared,
        data::{WatchResult, bytes, number},
        faults::CallKind,
    },
    axum::{Json, body::Body, extract::State, http::StatusCode},
    bytes::Bytes,
    futures::stream,
    serde_json::{Value, json},
    std::{convert::Infallible, sync::Arc},
    tokio::sync::watch as signal,
};

struct Watch {
    shared: Arc<Shared>,
    changes: signal::Receiver<u64>,
    key: Vec<u8>,
    end: Vec<u8>,
    /// The next revision to deliver.
    next_revision: u64,
    /// Whether the line that confirms the creation was sent.
    is_created: bool,
    is_cancelled: bool,
}

/// Opens a watch and returns its stream as the body of the answer.
pub async fn open(
    State(shared): State<Arc<Shared>>,
    Json(query): Json<Value>,
) -> Result<Body, StatusCode> {
    shared.begin_call(CallKind::Watch).await?;
    let create = &query["create_request"];
    let changes = shared.changes.subscribe();
    let from = number(&create["start_revision"]);
    let next_revision = if from == 0 { shared.data().revision() + 1 } else { from };
    let (key, end) = (bytes(&create["key"]), bytes(&create["range_end"]));
    let watch =
        Watch { shared, changes, key, end, next_revision, is_created: false, is_cancelled: false };
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = watch.next_line().await?;
        Some((Ok::<_, Infallible>(Bytes::from(format!("{line}\n"))), watch))
    });
    Ok(Body::from_stream(lines))
}

impl Watch {
    /// Waits for the next line; `None` ends the stream.
    async fn next_line(&mut self) -> Option<Value> {
        if !std::mem::replace(&mut self.is_created, true) {
            let revision = self.shared.data().revision().to_string();
            return Some(json!({"result": {"header": {"revision": revision}, "created": true}}));
        }
        loop {
            self.changes.borrow_and_update();
            if self.is_cancelled || self.shared.faults.is_down() {
                return None;
            }
            if let Some(line) = self.pending_line() {
                return Some(line);
            }
            self.changes.changed().await.ok()?;
        }
    }

    /// Returns the line with the undelivered events, or the one that cancels the watch.
    fn pending_line(&mut self) -> Option<Value> {
        let result = self.shared.data().changes_since(self.next_revision, &self.key, &self.end);
        match result {
            WatchResult::Compacted(revision) => {
                self.is_cancelled = true;
                let revision = revision.to_string();
                Some(json!({"result": {"canceled": true, "compact_revision": revision}}))
            }
            WatchResult::Events(events, revision) => {
                self.next_revision = revision + 1;
                let header = json!({"revision": revision.to_string()});
                let has_events = !events.is_empty();
                has_events.then(|| json!({"result": {"header": header, "events": events}}))
            }
        }
    }
}
