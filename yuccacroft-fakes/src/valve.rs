//! Something between two ends of TCP connections that can lose their state.

use {
    std::{io, net::SocketAddr},
    tokio::{
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinHandle,
    },
};

const CHUNK_BYTES: usize = 16 << 10;

/// Passes connections on to one address.
#[derive(Debug)]
pub struct Valve {
    address: SocketAddr,
    epoch: watch::Sender<u64>,
    listener: JoinHandle<()>,
}

impl Valve {
    /// Opens the valve in front of an address.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (epoch, epochs) = watch::channel(0);
        let listener = tokio::spawn(async move {
            while let Ok((inner, _)) = listener.accept().await {
                tokio::spawn(pass(inner, target, epochs.clone()));
            }
        });
        Ok(Self { address, epoch, listener })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all open connections silent for good: they stay open and pass nothing. New ones work.
    pub fn silence(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }
}

impl Drop for Valve {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

async fn pass(inner: TcpStream, target: SocketAddr, mut epochs: watch::Receiver<u64>) {
    // Only a later change concerns this connection.
    epochs.mark_unchanged();
    let Ok(outer) = TcpStream::connect(target).await else { return };
    let (inner_read, inner_write) = inner.into_split();
    let (outer_read, outer_write) = outer.into_split();
    let back = epochs.clone();
    tokio::join!(copy(inner_read, outer_write, epochs), copy(outer_read, inner_write, back));
}

async fn copy(from: OwnedReadHalf, to: OwnedWriteHalf, mut epochs: watch::Receiver<u64>) {
    let open = async {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            from.readable().await?;
            let length = match from.try_read(&mut buffer) {
                Ok(0) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                result => result?,
            };
            let mut sent = 0;
            while sent < length {
                to.writable().await?;
                match to.try_write(&buffer[sent..length]) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    result => sent += result?,
                }
            }
        }
    };
    let result: Option<io::Result<()>> = tokio::select! {
        result = open => Some(result),
        _ = epochs.changed() => None,
    };
    if result.is_none() {
        // Both halves stay open without a word until the valve is gone.
        let _ = epochs.wait_for(|_| false).await;
    }
}
