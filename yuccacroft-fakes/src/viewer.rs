//! A caller that keeps a feed open and moves it when it is asked to.

use {
    crate::caller::{Caller, Error, Feed},
    bytes::Bytes,
    rustls_pki_types::CertificateDer,
    std::{net::SocketAddr, time::Duration},
};

/// Time for one attempt to open a connection and its feed.
const ATTEMPT: Duration = Duration::from_secs(3);

/// A feed that is open without a gap, on one connection or two.
pub struct Viewer {
    service: SocketAddr,
    name: Box<str>,
    path: Box<str>,
    root: CertificateDer<'static>,
    caller: Caller,
    feed: Feed,
    moves: u32,
}

impl Viewer {
    /// Opens the feed at `path` on a connection of its own.
    pub async fn open(
        service: SocketAddr,
        name: &str,
        path: &str,
        root: &CertificateDer<'static>,
    ) -> Result<Self, Error> {
        let mut caller = Caller::connect(service, name, root).await?;
        let feed = caller.feed(path).await?;
        let (name, path, root) = (name.into(), path.into(), root.clone());
        Ok(Self { service, name, path, root, caller, feed, moves: 0 })
    }

    /// Waits for the next part. A request to move is followed first: the new feed is open before
    /// the old one is closed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            tokio::select! {
                part = self.feed.next() => return part,
                () = self.caller.leaving() => self.relocate().await,
            }
        }
    }

    /// Returns the caller whose connection carries the feed now.
    pub fn caller(&mut self) -> &mut Caller {
        &mut self.caller
    }

    /// Returns how often the feed has moved.
    pub fn moves(&self) -> u32 {
        self.moves
    }

    async fn relocate(&mut self) {
        loop {
            let open = Self::open(self.service, &self.name, &self.path, &self.root);
            if let Ok(Ok(next)) = tokio::time::timeout(ATTEMPT, open).await {
                // The old connection is closed here, when it is dropped.
                let moves = self.moves + 1;
                *self = Self { moves, ..next };
                return;
            }
        }
    }
}
