//! The shell of the admission gate: requests wait here for a slot of the upstream.

use {
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::oneshot,
    yuccacroft_core::{
        admission::{Gate, Offer},
        request::{Queued, Reason, Refusal, Request},
        shards::Shards,
        time::Span,
    },
    yuccacroft_rpc::clock::Clock,
};

/// The gate and the requests that wait for it.
#[derive(Debug)]
pub struct Desk {
    gate: Mutex<Gate>,
    waiting: Shards<yuccacroft_core::ids::Call, oneshot::Sender<()>>,
    clock: Clock,
}

/// A slot of the upstream, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    desk: Arc<Desk>,
}

impl Desk {
    /// Creates the shell of a gate.
    pub fn new(gate: Gate, clock: Clock) -> Self {
        Self { gate: Mutex::new(gate), waiting: Shards::new(), clock }
    }

    /// Waits for a slot, at most for `wait` and at most until the request's deadline.
    pub async fn admit(
        self: &Arc<Self>,
        request: Request<Queued>,
        wait: Span,
    ) -> Result<(Request<Queued>, Slot), Refusal> {
        let call = request.call();
        let now = self.clock.now();
        let wait = wait.min(request.remaining(now));
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(call, sender);
        let offer = self.gate().offer(call, now + wait);
        match offer {
            Offer::Start => {
                self.waiting.remove(&call);
                return Ok((request, Slot { desk: self.clone() }));
            }
            Offer::Refuse => {
                self.waiting.remove(&call);
                return Err(request.refuse(Reason::Overload));
            }
            Offer::Wait => {}
        }
        let granted = tokio::time::timeout(wait.into(), receiver).await;
        self.waiting.remove(&call);
        // The grant may cross the timeout; the gate knows whether the slot was given.
        if matches!(granted, Ok(Ok(()))) || !self.gate().withdraw(call) {
            return Ok((request, Slot { desk: self.clone() }));
        }
        Err(request.refuse(Reason::Overload))
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.gate().running().get()
    }

    fn gate(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = self.desk.gate().finish(self.desk.clock.now());
        if let Some(sender) = next.and_then(|call| self.desk.waiting.remove(&call)) {
            // A receiver that is gone has timed out and finds its slot through `withdraw`.
            let _ = sender.send(());
        }
    }
}
