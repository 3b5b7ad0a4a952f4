//! Admission limiter: drives the [`AdmissionController`] and holds the requests that wait for a
//! slot of the upstream.

use {
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{Notify, oneshot},
    yuccacroft_core::{
        admission::{
            Action, AdmissionController, Event, SlotRequest, class::Class, limit::AttemptOutcome,
            peers::SiblingLoad,
        },
        controller::Controller,
        ids::RequestId,
        request::RefusalReason,
        shards::Shards,
        time::{Moment, Span},
        units::Slots,
    },
    yuccacroft_rpc::clock::Clock,
};

/// Interval between steps while the controller schedules no wake-up.
const IDLE_WAKE_INTERVAL: Duration = Duration::from_secs(3_600);

/// The admission controller and the requests in its queue.
#[derive(Debug)]
pub struct Limiter {
    controller: Mutex<AdmissionController>,
    waiters: Shards<RequestId, oneshot::Sender<AdmissionDecision>>,
    wakeup_changed: Notify,
    clock: Clock,
}

/// Result of a request for a slot.
#[derive(Debug)]
pub enum AdmissionStatus {
    /// The request has a slot and may run.
    Granted(Slot),
    /// The request is queued.
    Queued(QueueTicket),
    /// The request is refused.
    Refused(RefusalReason),
}

/// A slot of the upstream, released on drop.
#[derive(Debug)]
pub struct Slot {
    limiter: Arc<Limiter>,
    request_id: RequestId,
    outcome: AttemptOutcome,
}

/// A place in the queue, withdrawn on drop.
#[derive(Debug)]
pub struct QueueTicket {
    limiter: Arc<Limiter>,
    request_id: RequestId,
    receiver: oneshot::Receiver<AdmissionDecision>,
    is_pending: bool,
}

#[derive(Clone, Copy, Debug)]
enum AdmissionDecision {
    Start,
    Refuse(RefusalReason),
}

impl Limiter {
    /// Creates a limiter that drives `controller`.
    pub fn new(controller: AdmissionController, clock: Clock) -> Self {
        let (waiters, wakeup_changed) = (Shards::new(), Notify::new());
        Self { controller: Mutex::new(controller), waiters, wakeup_changed, clock }
    }

    /// Returns the route class of a request.
    pub fn classify(&self, method: &str, path: &str) -> Class {
        self.controller().classify(method, path)
    }

    /// Requests a slot.
    pub fn acquire(self: &Arc<Self>, request: SlotRequest) -> AdmissionStatus {
        let request_id = request.request_id;
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(request_id, sender);
        let actions = self.step_controller(Event::Acquire(request));
        if actions.contains(&Action::Start(request_id)) {
            return AdmissionStatus::Granted(Slot::new(self.clone(), request_id));
        }
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse(refused, reason) if *refused == request_id => Some(*reason),
            _ => None,
        });
        match refused {
            Some(reason) => AdmissionStatus::Refused(reason),
            None => AdmissionStatus::Queued(QueueTicket {
                limiter: self.clone(),
                request_id,
                receiver,
                is_pending: true,
            }),
        }
    }

    /// Steps the controller at each wake-up that it schedules.
    pub async fn run(&self) {
        loop {
            let now = self.clock.now();
            let wakeup = self.controller().next_wakeup(now);
            let pause =
                wakeup.map_or(IDLE_WAKE_INTERVAL, |wakeup| Duration::from(wakeup.since(now)));
            tokio::select! {
                () = tokio::time::sleep(pause) => drop(self.step_controller(Event::Tick)),
                () = self.wakeup_changed.notified() => {}
            }
        }
    }

    /// Sets the number of slots and the longest wait.
    pub fn set_limits(&self, slots: Slots, wait: Span) {
        self.step_controller(Event::Change(slots, wait));
    }

    /// Stops starting requests: sets the slots and the wait to zero.
    pub fn close(&self) {
        self.set_limits(Slots::default(), Span::ZERO);
    }

    /// Returns the load that is sent to siblings.
    pub fn load(&self) -> SiblingLoad {
        let now = self.clock.now();
        self.controller().load(now)
    }

    /// Returns the retry delay for a refused caller.
    pub fn retry_after(&self) -> Span {
        let now = self.clock.now();
        self.controller().retry_after(now)
    }

    /// Returns true if answers of the class are known to end.
    pub fn is_known_finite(&self, class: Class) -> bool {
        self.controller().is_known_finite(class)
    }

    /// Returns true if answers of the class are streaming: they stay open without work.
    pub fn is_streaming(&self, class: Class) -> bool {
        self.controller().is_streaming(class)
    }

    /// Records whether an answer of the class was streaming or ended.
    pub fn set_streaming(&self, class: Class, is_streaming: bool) {
        if self.is_streaming(class) != is_streaming {
            self.step_controller(Event::SetStreaming(class, is_streaming));
        }
    }

    /// Returns the current time of the controller's clock.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Steps the controller under its lock and carries out its actions after releasing the lock.
    fn step_controller(&self, event: Event) -> Vec<Action> {
        let actions = {
            let mut controller = self.controller();
            let now = self.clock.now();
            controller.step(event, now)
        };
        let mut wait_changed = false;
        for action in &actions {
            match action {
                Action::Start(request_id) => {
                    self.send_decision(*request_id, AdmissionDecision::Start)
                }
                Action::Refuse(request_id, reason) => {
                    self.send_decision(*request_id, AdmissionDecision::Refuse(*reason))
                }
                Action::Withdrawn(request_id) => drop(self.waiters.remove(request_id)),
                Action::Wait(_) => wait_changed = true,
            }
        }
        if wait_changed {
            self.wakeup_changed.notify_one();
        }
        actions
    }

    fn send_decision(&self, request_id: RequestId, decision: AdmissionDecision) {
        if let Some(sender) = self.waiters.remove(&request_id) {
            // Sending fails only while the ticket is being dropped, which releases the slot.
            let _ = sender.send(decision);
        }
    }

    fn controller(&self) -> MutexGuard<'_, AdmissionController> {
        self.controller.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    fn new(limiter: Arc<Limiter>, request_id: RequestId) -> Self {
        Self { limiter, request_id, outcome: AttemptOutcome::Cancelled }
    }

    /// Returns the limiter that granted the slot.
    pub fn limiter(&self) -> &Arc<Limiter> {
        &self.limiter
    }

    /// Releases the slot and reports how its request ended.
    pub fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.limiter.step_controller(Event::Finish(self.request_id, self.outcome));
    }
}

impl QueueTicket {
    /// Waits until the request gets a slot or is refused.
    pub async fn wait(mut self) -> Result<Slot, RefusalReason> {
        let decision = (&mut self.receiver).await;
        self.is_pending = false;
        match decision {
            Ok(AdmissionDecision::Start) => Ok(Slot::new(self.limiter.clone(), self.request_id)),
            Ok(AdmissionDecision::Refuse(reason)) => Err(reason),
            Err(_) => Err(RefusalReason::Overload),
        }
    }

    /// Withdraws the request from the queue. Returns `Some` when the controller has already
    /// decided.
    pub fn withdraw(mut self) -> Option<Result<Slot, RefusalReason>> {
        self.is_pending = false;
        if self
            .limiter
            .step_controller(Event::Withdraw(self.request_id))
            .contains(&Action::Withdrawn(self.request_id))
        {
            return None;
        }
        match self.receiver.try_recv() {
            Ok(AdmissionDecision::Refuse(reason)) => Some(Err(reason)),
            // The controller has started the request, although the message may not have arrived
            // yet.
            Ok(AdmissionDecision::Start) | Err(_) => {
                Some(Ok(Slot::new(self.limiter.clone(), self.request_id)))
            }
        }
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        if !self.is_pending {
            return;
        }
        let actions = self.limiter.step_controller(Event::Withdraw(self.request_id));
        if !actions.contains(&Action::Withdrawn(self.request_id)) {
            self.limiter.step_controller(Event::Finish(self.request_id, AttemptOutcome::Cancelled));
        }
    }
}
