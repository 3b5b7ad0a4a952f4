//! TCP proxy that can stop forwarding without closing its connections, as a firewall or NAT does that
//! lost its connection state.

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

/// Forwards TCP connections to one address.
#[derive(Debug)]
pub struct TcpProxy {
    address: SocketAddr,
    /// Incremented by each stall; connections stop forwarding when it changes.
    stalls: watch::Sender<u64>,
    listener: JoinHandle<()>,
}

impl TcpProxy {
    /// Starts a proxy for a target address on a free port of the loopback interface.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (stalls, stall_receiver) = watch::channel(0);
        let listener = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, target, stall_receiver.clone()));
            }
        });
        Ok(Self { address, stalls, listener })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding on all open connections, which stay open until the proxy is
    /// dropped. New connections are forwarded.
    pub fn stall_connections(&self) {
        self.stalls.send_modify(|count| *count += 1);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

async fn forward(client: TcpStream, target: SocketAddr, mut stalls: watch::Receiver<u64>) {
    // Stalls before the connection was accepted do not affect it.
    stalls.mark_unchanged();
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let reverse_stalls = stalls.clone();
    tokio::join!(
        copy(client_read, server_write, stalls),
        copy(server_read, client_write, reverse_stalls),
    );
}

async fn copy(from: OwnedReadHalf, to: OwnedWriteHalf, mut stalls: watch::Receiver<u64>) {
    let transfer = async {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            from.readable().await?;
            let length = match from.try_read(&mut buffer) {
                Ok(0) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                result => result?,
            };
            let mut written = 0;
            while written < length {
                to.writable().await?;
                match to.try_write(&buffer[written..length]) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    result => written += result?,
                }
            }
        }
    };
    let result: Option<io::Result<()>> = tokio::select! {
        result = transfer => Some(result),
        _ = stalls.changed() => None,
    };
    if result.is_none() {
        // Keeps both halves open and idle until the proxy is dropped.
        let _ = stalls.wait_for(|_| false).await;
    }
}
