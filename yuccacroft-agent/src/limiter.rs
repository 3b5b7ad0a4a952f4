//! The shell of the admission gate: requests wait here for a slot of the upstream.

use {
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{Notify, oneshot},
    yuccacroft_core::{
        admission::{
            Action, AdmissionController, Event, SlotRequest,
            class::Class,
            limit::{AttemptOutcome, Hint},
            peers::Load,
        },
        controller::Controller,
        ids::RequestId,
        request::Reason,
        shards::Shards,
        time::{Moment, Span},
        units::Slots,
    },
    yuccacroft_rpc::clock::Clock,
};

const IDLE_WAKE: Duration = Duration::from_secs(3_600);

/// The gate and the requests that wait for it.
#[derive(Debug)]
pub struct Limiter {
    gate: Mutex<AdmissionController>,
    waiting: Shards<RequestId, oneshot::Sender<Grant>>,
    changed: Notify,
    clock: Clock,
}

/// What the gate said to a request.
#[derive(Debug)]
pub enum Entry {
    /// It has a slot.
    Started(Slot),
    /// It waits for one.
    Waiting(Ticket),
    /// It does not run here.
    Refused(Reason),
}

/// A slot of the upstream, given back when dropped.
#[derive(Debug)]
pub struct Slot {
    limiter: Arc<Limiter>,
    call: RequestId,
    observed: AttemptOutcome,
}

/// A place in the queue, given up when dropped.
#[derive(Debug)]
pub struct Ticket {
    limiter: Arc<Limiter>,
    call: RequestId,
    receiver: oneshot::Receiver<Grant>,
    open: bool,
}

#[derive(Clone, Copy, Debug)]
enum Grant {
    Start,
    Refuse(Reason),
}

impl Limiter {
    /// Creates the shell of a gate.
    pub fn new(gate: AdmissionController, clock: Clock) -> Self {
        let (waiting, changed) = (Shards::new(), Notify::new());
        Self { gate: Mutex::new(gate), waiting, changed, clock }
    }

    /// Returns the class of a request.
    pub fn classify(&self, method: &str, path: &str) -> Class {
        self.gate().classify(method, path)
    }

    /// Asks for a slot.
    pub fn ask(self: &Arc<Self>, ask: SlotRequest) -> Entry {
        let call = ask.call;
        let (sender, receiver) = oneshot::channel();
        self.waiting.insert(call, sender);
        let actions = self.step(Event::Acquire(ask));
        if actions.contains(&Action::Start(call)) {
            return Entry::Started(Slot::new(self.clone(), call));
        }
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse(refused, reason) if *refused == call => Some(*reason),
            _ => None,
        });
        match refused {
            Some(reason) => Entry::Refused(reason),
            None => Entry::Waiting(Ticket { limiter: self.clone(), call, receiver, open: true }),
        }
    }

    /// Steps the gate whenever the time that it named has come.
    pub async fn run(&self) {
        loop {
            let now = self.clock.now();
            let wake = self.gate().next_wakeup(now);
            let pause = wake.map_or(IDLE_WAKE, |wake| Duration::from(wake.since(now)));
            tokio::select! {
                () = tokio::time::sleep(pause) => drop(self.step(Event::Tick)),
                () = self.changed.notified() => {}
            }
        }
    }

    /// Puts the slots and the longest wait of a contract in force.
    pub fn change(&self, slots: Slots, wait: Span) {
        self.step(Event::Change(slots, wait));
    }

    /// Lets no further request begin.
    pub fn close(&self) {
        self.change(Slots::default(), Span::ZERO);
    }

    /// Takes in what the endpoints of the upstream say.
    pub fn hint(&self, hint: Hint) {
        self.step(Event::Hint(hint));
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.gate().running().get()
    }

    /// Returns the load that siblings are told.
    pub fn load(&self) -> Load {
        let now = self.clock.now();
        self.gate().load(now)
    }

    /// Returns the advice for a refused caller.
    pub fn retry_after(&self) -> Span {
        let now = self.clock.now();
        self.gate().retry_after(now)
    }

    /// Returns true when requests of the class are known to be answered as a whole.
    pub fn is_whole(&self, class: Class) -> bool {
        self.gate().is_known_finite(class)
    }

    /// Returns true when the answers of the class are feeds.
    pub fn is_streaming(&self, class: Class) -> bool {
        self.gate().is_streaming(class)
    }

    /// Notes that an answer of the class turned out to be a feed, or to end.
    pub fn set_streaming(&self, class: Class, is_streaming: bool) {
        if self.is_streaming(class) != is_streaming {
            self.step(Event::SetStreaming(class, is_streaming));
        }
    }

    /// Returns the present moment of the clock that the gate is fed with.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Steps the gate under its lock and carries out the actions after it is released.
    fn step(&self, event: Event) -> Vec<Action> {
        let actions = {
            let mut gate = self.gate();
            let now = self.clock.now();
            gate.step(event, now)
        };
        let mut waits = false;
        for action in &actions {
            match action {
                Action::Start(call) => self.grant(*call, Grant::Start),
                Action::Refuse(call, reason) => self.grant(*call, Grant::Refuse(*reason)),
                Action::Withdrawn(call) => drop(self.waiting.remove(call)),
                Action::Wait(_) => waits = true,
            }
        }
        if waits {
            self.changed.notify_one();
        }
        actions
    }

    fn grant(&self, call: RequestId, grant: Grant) {
        if let Some(sender) = self.waiting.remove(&call) {
            // A dropped receiver belongs to a ticket that is being given up, which frees the slot.
            let _ = sender.send(grant);
        }
    }

    fn gate(&self) -> MutexGuard<'_, AdmissionController> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    fn new(limiter: Arc<Limiter>, call: RequestId) -> Self {
        Self { limiter, call, observed: AttemptOutcome::Cancelled }
    }

    /// Returns the shell of the gate that gave the slot.
    pub fn limiter(&self) -> &Arc<Limiter> {
        &self.limiter
    }

    /// Gives the slot back and tells what became of its request.
    pub fn finish(mut self, observed: AttemptOutcome) {
        self.observed = observed;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.limiter.step(Event::Finish(self.call, self.observed));
    }
}

impl Ticket {
    /// Waits until the gate starts or refuses the request.
    pub async fn wait(mut self) -> Result<Slot, Reason> {
        let grant = (&mut self.receiver).await;
        self.open = false;
        match grant {
            Ok(Grant::Start) => Ok(Slot::new(self.limiter.clone(), self.call)),
            Ok(Grant::Refuse(reason)) => Err(reason),
            Err(_) => Err(Reason::Overload),
        }
    }

    /// Gives up the place. `Some` means that the gate decided just before.
    pub fn withdraw(mut self) -> Option<Result<Slot, Reason>> {
        self.open = false;
        if self.limiter.step(Event::Withdraw(self.call)).contains(&Action::Withdrawn(self.call)) {
            return None;
        }
        match self.receiver.try_recv() {
            Ok(Grant::Refuse(reason)) => Some(Err(reason)),
            // The gate has started the request although the message may still be on its way.
            Ok(Grant::Start) | Err(_) => Some(Ok(Slot::new(self.limiter.clone(), self.call))),
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let actions = self.limiter.step(Event::Withdraw(self.call));
        if !actions.contains(&Action::Withdrawn(self.call)) {
            self.limiter.step(Event::Finish(self.call, AttemptOutcome::Cancelled));
        }
    }
}
