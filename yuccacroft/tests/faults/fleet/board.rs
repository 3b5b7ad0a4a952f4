//! A seat board, which is read in the background and migrates to a new connection after GOAWAY.

use {
    super::WAIT_TIMEOUT,
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    tokio::{sync::mpsc, task::JoinHandle},
    yuccacroft_fakes::{caller::Error, migrating_stream::MigratingStream},
};

/// An open seat board.
pub struct Board {
    /// The index of the agent that got the flow when the board was opened.
    pub agent_index: usize,
    parts: mpsc::UnboundedReceiver<Result<String, Error>>,
    migrations: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl Board {
    /// Starts to read in the background. `agent_index` is the index of the agent that got the flow.
    pub fn new(mut stream: MigratingStream, agent_index: usize) -> Self {
        let (sender, parts) = mpsc::unbounded_channel();
        let migrations = Arc::new(AtomicU32::new(0));
        let shared_migrations = migrations.clone();
        let task = tokio::spawn(async move {
            loop {
                let part = match stream.next().await {
                    Ok(Some(part)) => Ok(String::from_utf8_lossy(&part).into_owned()),
                    Ok(None) => Err("the board ended".into()),
                    Err(error) => Err(error),
                };
                shared_migrations.store(stream.migrations(), Ordering::Relaxed);
                let ended = part.is_err();
                if sender.send(part).is_err() || ended {
                    return;
                }
            }
        });
        Self { agent_index, parts, migrations, task }
    }

    /// Waits until the board shows the given line.
    pub async fn wait_for_line(&mut self, line: u64) -> Result<(), Error> {
        let expected = format!("board {line}\n");
        let read = async {
            loop {
                match self.parts.recv().await {
                    Some(part) if *part.as_ref().unwrap_or(&String::new()) == expected => {
                        return Ok(());
                    }
                    Some(Ok(_)) => {}
                    Some(Err(error)) => return Err(error),
                    None => return Err("the board has already ended".into()),
                }
            }
        };
        let read = tokio::time::timeout(WAIT_TIMEOUT, read).await;
        read.unwrap_or_else(|_| Err("the line did not arrive in time".into()))
    }

    /// Returns how often the board has migrated to a new connection.
    pub fn migrations(&self) -> u32 {
        self.migrations.load(Ordering::Relaxed)
    }
}

impl Drop for Board {
    fn drop(&mut self) {
        self.task.abort();
    }
}
