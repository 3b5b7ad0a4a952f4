//! The callers of the demo.

use {
    super::{
        Outcome,
        system::{PACK_CHUNK_BYTES, Site, System},
        tally::Ending,
    },
    bytes::Bytes,
    http::StatusCode,
    rustls_pki_types::CertificateDer,
    std::{net::SocketAddr, time::Duration},
    tokio::{sync::watch, task::JoinHandle},
    yuccacroft_fakes::caller::{Answer, Caller},
};

/// The deadline of the booking service.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which an open board shows new seats, a lost packet included.
const BOARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts of one caller at a reservation.
const ATTEMPTS: u32 = 5;
/// Pause after a refusal, as `Retry-After` asks for.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
const SEATS: &[u8] = b"two seats";

/// An open seat board on a parent's screen.
pub struct Board {
    line: watch::Receiver<Option<u64>>,
    reader: JoinHandle<()>,
}

impl Board {
    /// Opens a board and waits for its first line.
    pub async fn open(system: &System) -> Outcome<Self> {
        let (address, root) = system.entry(Site::Booking);
        let mut caller = Caller::connect(address, Site::Booking.name(), &root).await?;
        let mut feed = caller.open_stream("/board").await?;
        let (sender, mut line) = watch::channel(None);
        let reader = tokio::spawn(async move {
            // The connection lives as long as the board.
            let _caller = caller;
            while let Ok(Some(part)) = feed.next().await {
                let text = String::from_utf8_lossy(&part);
                let numbers = text.lines().filter_map(|line| line.strip_prefix("board "));
                if let Some(latest) = numbers.filter_map(|number| number.parse().ok()).next_back() {
                    sender.send_replace(Some(latest));
                }
            }
        });
        line.wait_for(Option::is_some).await?;
        Ok(Self { line, reader })
    }

    /// Waits until the board shows a line; false when it does not in time.
    pub async fn shows(&mut self, line: u64) -> bool {
        let shown = self.line.wait_for(|shown| shown.is_some_and(|shown| shown >= line));
        matches!(tokio::time::timeout(BOARD_TIMEOUT, shown).await, Ok(Ok(_)))
    }

    /// Returns true when the board has ended.
    pub fn is_broken(&self) -> bool {
        self.reader.is_finished()
    }
}

impl Drop for Board {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// One attempt at a reservation.
pub struct Attempt {
    /// The idempotency key.
    pub key: Box<str>,
    /// How it ended.
    pub ending: Ending,
}

/// Makes a reservation on a connection of its own. An attempt that was refused as not run is
/// followed by another one under a new key, as `docs/requests.md` tells callers.
pub async fn reserve(system: &System, seat: String) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for number in 0..ATTEMPTS {
        let key = format!("{seat}-{number}");
        // A caller that got no answer at all does not know more than one with a broken answer.
        let ending = attempt(system, &key).await.unwrap_or(Ending::Broken);
        attempts.push(Attempt { key: key.into(), ending });
        if ending != Ending::NotRun {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    attempts
}

async fn attempt(system: &System, key: &str) -> Outcome<Ending> {
    let (address, root) = system.entry(Site::Booking);
    let call = async {
        let mut caller = Caller::connect(address, Site::Booking.name(), &root).await?;
        caller.reserve(key, Bytes::from_static(SEATS)).await
    };
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, call).await??;
    let expected = format!("reserved {key} with {} bytes", SEATS.len());
    Ok(ending(&answer, answer.body == expected))
}

/// Downloads a camp pack.
pub async fn download(system: &System, chunks: u32) -> Outcome<Ending> {
    let (address, root) = system.entry(Site::Pack);
    download_from(address, root, chunks).await
}

/// Downloads a camp pack from an address.
pub async fn download_from(
    address: SocketAddr,
    root: CertificateDer<'static>,
    chunks: u32,
) -> Outcome<Ending> {
    let mut caller = Caller::connect(address, Site::Pack.name(), &root).await?;
    let answer = caller.get(&format!("/pack/{chunks}")).await?;
    let whole = answer.body.len() == chunks as usize * PACK_CHUNK_BYTES
        && answer.body.iter().all(|&byte| byte == b'p');
    Ok(ending(&answer, whole))
}

fn ending(answer: &Answer, whole: bool) -> Ending {
    if answer.status == StatusCode::OK && whole {
        Ending::Whole
    } else if answer.proxy_status.contains("not-run") {
        Ending::NotRun
    } else {
        Ending::Broken
    }
}
