//! A seat board as a caller shows it: it reads and moves on its own.

use {
    super::DEADLINE,
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    tokio::{sync::mpsc, task::JoinHandle},
    yuccacroft_fakes::{caller::Error, migrating_stream::MigratingStream},
};

/// An open seat board.
pub struct Board {
    /// The index of the agent at which it was opened.
    pub agent: usize,
    parts: mpsc::UnboundedReceiver<Result<String, Error>>,
    moves: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl Board {
    /// Begins to read. `agent` is the index of the agent at which the board was opened.
    pub fn new(mut viewer: MigratingStream, agent: usize) -> Self {
        let (sender, parts) = mpsc::unbounded_channel();
        let moves = Arc::new(AtomicU32::new(0));
        let counted = moves.clone();
        let task = tokio::spawn(async move {
            loop {
                let part = match viewer.next().await {
                    Ok(Some(part)) => Ok(String::from_utf8_lossy(&part).into_owned()),
                    Ok(None) => Err("the board ended".into()),
                    Err(error) => Err(error),
                };
                counted.store(viewer.migrations(), Ordering::Relaxed);
                let ended = part.is_err();
                if sender.send(part).is_err() || ended {
                    return;
                }
            }
        });
        Self { agent, parts, moves, task }
    }

    /// Waits until the board shows a line.
    pub async fn shows(&mut self, line: u64) -> Result<(), Error> {
        let wanted = format!("board {line}\n");
        let read = async {
            loop {
                match self.parts.recv().await {
                    Some(part) if *part.as_ref().unwrap_or(&String::new()) == wanted => {
                        return Ok(());
                    }
                    Some(Ok(_)) => {}
                    Some(Err(error)) => return Err(error),
                    None => return Err("the board ended earlier".into()),
                }
            }
        };
        let read = tokio::time::timeout(DEADLINE, read).await;
        read.unwrap_or_else(|_| Err("no line in time".into()))
    }

    /// Returns how often the board has moved.
    pub fn moves(&self) -> u32 {
        self.moves.load(Ordering::Relaxed)
    }
}

impl Drop for Board {
    fn drop(&mut self) {
        self.task.abort();
    }
}
