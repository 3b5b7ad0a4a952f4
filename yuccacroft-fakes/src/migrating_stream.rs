//! Caller that keeps a streaming answer open and reopens it on a new connection after a GOAWAY.

use {
    crate::caller::{AnswerStream, Caller, Error},
    bytes::Bytes,
    rustls_pki_types::CertificateDer,
    std::{net::SocketAddr, time::Duration},
};

/// Time limit of one attempt to open a connection and its stream.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);

/// A streaming answer that moves between connections without a gap; both are open during a
/// migration.
pub struct MigratingStream {
    service: SocketAddr,
    name: Box<str>,
    path: Box<str>,
    root: CertificateDer<'static>,
    caller: Caller,
    stream: AnswerStream,
    migrations: u32,
}

impl MigratingStream {
    /// Opens a connection and the stream at `path` on it.
    pub async fn open(
        service: SocketAddr,
        name: &str,
        path: &str,
        root: &CertificateDer<'static>,
    ) -> Result<Self, Error> {
        let mut caller = Caller::connect(service, name, root).await?;
        let stream = caller.open_stream(path).await?;
        let (name, path, root) = (name.into(), path.into(), root.clone());
        Ok(Self { service, name, path, root, caller, stream, migrations: 0 })
    }

    /// Waits for the next chunk; `None` is the end of the answer. After a GOAWAY, opens the stream on
    /// a new connection before the old one is closed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            tokio::select! {
                chunk = self.stream.next() => return chunk,
                () = self.caller.wait_for_goaway() => self.migrate().await,
            }
        }
    }

    /// Returns the caller whose connection currently carries the stream.
    pub fn caller(&mut self) -> &mut Caller {
        &mut self.caller
    }

    /// Returns the number of completed migrations.
    pub fn migrations(&self) -> u32 {
        self.migrations
    }

    async fn migrate(&mut self) {
        loop {
            let open = Self::open(self.service, &self.name, &self.path, &self.root);
            if let Ok(Ok(next)) = tokio::time::timeout(ATTEMPT_TIMEOUT, open).await {
                let migrations = self.migrations + 1;
                // The assignment drops and so closes the old connection.
                *self = Self { migrations, ..next };
                return;
            }
        }
    }
}
