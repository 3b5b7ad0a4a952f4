//! Watches of the store: a stream of one JSON object a line.

use {
    super::{
        Shared,
        data::{Found, bytes, number},
        faults::Kind,
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
    next: u64,
    created: bool,
    ended: bool,
}

/// Opens a watch.
pub async fn open(
    State(shared): State<Arc<Shared>>,
    Json(query): Json<Value>,
) -> Result<Body, StatusCode> {
    shared.begin(Kind::Watch).await?;
    let create = &query["create_request"];
    let changes = shared.changes.subscribe();
    let from = number(&create["start_revision"]);
    let next = if from == 0 { shared.data().revision() + 1 } else { from };
    let (key, end) = (bytes(&create["key"]), bytes(&create["range_end"]));
    let watch = Watch { shared, changes, key, end, next, created: false, ended: false };
    let lines = stream::unfold(watch, |mut watch| async move {
        let line = watch.line().await?;
        Some((Ok::<_, Infallible>(Bytes::from(format!("{line}\n"))), watch))
    });
    Ok(Body::from_stream(lines))
}

impl Watch {
    async fn line(&mut self) -> Option<Value> {
        if !std::mem::replace(&mut self.created, true) {
            let revision = self.shared.data().revision().to_string();
            return Some(json!({"result": {"header": {"revision": revision}, "created": true}}));
        }
        loop {
            self.changes.borrow_and_update();
            if self.ended || self.shared.faults.is_down() {
                return None;
            }
            if let Some(line) = self.poll() {
                return Some(line);
            }
            self.changes.changed().await.ok()?;
        }
    }

    fn poll(&mut self) -> Option<Value> {
        let found = self.shared.data().since(self.next, &self.key, &self.end);
        match found {
            Found::Compacted(revision) => {
                self.ended = true;
                let revision = revision.to_string();
                Some(json!({"result": {"canceled": true, "compact_revision": revision}}))
            }
            Found::Events(events, revision) => {
                self.next = revision + 1;
                let header = json!({"revision": revision.to_string()});
                let some = !events.is_empty();
                some.then(|| json!({"result": {"header": header, "events": events}}))
            }
        }
    }
}
