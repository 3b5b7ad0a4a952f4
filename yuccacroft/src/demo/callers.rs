//! Callers of the demo: seat boards, reservations and downloads.

use {
    super::{
        DemoResult,
        counts::RequestOutcome,
        system::{PACK_CHUNK_BYTES, Service, System},
    },
    bytes::Bytes,
    http::StatusCode,
    rustls_pki_types::CertificateDer,
    std::{net::SocketAddr, time::Duration},
    tokio::{sync::watch, task::JoinHandle},
    yuccacroft_fakes::caller::{Answer, Caller},
};

/// Time limit of one reservation: the deadline of the booking service.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for an open board to show a new line. It leaves time to repeat a lost packet.
const BOARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts of one caller to make a reservation.
const MAX_ATTEMPTS: u32 = 5;
/// Delay after a refusal: the value of `Retry-After`.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Body of a reservation.
const SEATS: &[u8] = b"two seats";

/// An open seat board: a caller that reads a streaming response.
pub struct Board {
    latest_line: watch::Receiver<Option<u64>>,
    reader: JoinHandle<()>,
}

impl Board {
    /// Opens a board and waits for its first line.
    pub async fn open(system: &System) -> DemoResult<Self> {
        let (address, root) = system.endpoint(Service::Booking);
        let mut caller = Caller::connect(address, Service::Booking.host_name(), &root).await?;
        let mut stream = caller.open_stream("/board").await?;
        let (sender, mut latest_line) = watch::channel(None);
        let reader = tokio::spawn(async move {
            // The connection stays open as long as the board.
            let _caller = caller;
            while let Ok(Some(part)) = stream.next().await {
                let text = String::from_utf8_lossy(&part);
                let numbers = text.lines().filter_map(|line| line.strip_prefix("board "));
                if let Some(latest) = numbers.filter_map(|number| number.parse().ok()).next_back() {
                    sender.send_replace(Some(latest));
                }
            }
        });
        latest_line.wait_for(Option::is_some).await?;
        Ok(Self { latest_line, reader })
    }

    /// Waits until the board shows the given line or a later one. Returns false on a timeout or
    /// when the board has ended.
    pub async fn wait_for_line(&mut self, line: u64) -> bool {
        let shown = self.latest_line.wait_for(|shown| shown.is_some_and(|shown| shown >= line));
        matches!(tokio::time::timeout(BOARD_TIMEOUT, shown).await, Ok(Ok(_)))
    }

    /// Returns true when the board has ended.
    pub fn has_ended(&self) -> bool {
        self.reader.is_finished()
    }
}

impl Drop for Board {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// One attempt to make a reservation.
pub struct Attempt {
    /// The idempotency key.
    pub key: Box<str>,
    /// The outcome of the attempt.
    pub outcome: RequestOutcome,
}

/// Makes a reservation on a new connection. An attempt that was refused as not run is followed by
/// another one with a new idempotency key, as `docs/requests.md` advises.
pub async fn reserve(system: &System, seat: String) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for number in 0..MAX_ATTEMPTS {
        let key = format!("{seat}-{number}");
        // Without an answer the caller knows no more about the request than with a broken one.
        let outcome = attempt(system, &key).await.unwrap_or(RequestOutcome::Broken);
        attempts.push(Attempt { key: key.into(), outcome });
        if outcome != RequestOutcome::NotRun {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    attempts
}

/// Makes one attempt and returns its outcome. An error means that no answer was received.
async fn attempt(system: &System, key: &str) -> DemoResult<RequestOutcome> {
    let (address, root) = system.endpoint(Service::Booking);
    let call = async {
        let mut caller = Caller::connect(address, Service::Booking.host_name(), &root).await?;
        caller.reserve(key, Bytes::from_static(SEATS)).await
    };
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, call).await??;
    let expected = format!("reserved {key} with {} bytes", SEATS.len());
    Ok(outcome_of(&answer, answer.body == expected))
}

/// Downloads a camp pack of `chunks` chunks.
pub async fn download(system: &System, chunks: u32) -> DemoResult<RequestOutcome> {
    let (address, root) = system.endpoint(Service::Pack);
    download_from(address, root, chunks).await
}

/// Downloads a camp pack from the service at `address`.
pub async fn download_from(
    address: SocketAddr,
    root: CertificateDer<'static>,
    chunks: u32,
) -> DemoResult<RequestOutcome> {
    let mut caller = Caller::connect(address, Service::Pack.host_name(), &root).await?;
    let answer = caller.get(&format!("/pack/{chunks}")).await?;
    let is_complete = answer.body.len() == chunks as usize * PACK_CHUNK_BYTES
        && answer.body.iter().all(|&byte| byte == b'p');
    Ok(outcome_of(&answer, is_complete))
}

fn outcome_of(answer: &Answer, is_complete: bool) -> RequestOutcome {
    if answer.status == StatusCode::OK && is_complete {
        RequestOutcome::Complete
    } else if answer.proxy_status.contains("not-run") {
        RequestOutcome::NotRun
    } else {
        RequestOutcome::Broken
    }
}
