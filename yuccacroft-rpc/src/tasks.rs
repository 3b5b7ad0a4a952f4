//! The tasks of a process, and the confinement of panics and unexpected errors to the message or
//! the task in which they occur.
//!
//! A panic while one message is handled ends the handling of that message, see [`contain`]. A task
//! that ends although it should run as long as the process is started again, see
//! [`Tasks::supervise`]. A task that keeps ending, or that cannot be started again, stops the
//! process: one that looks alive and receives nothing would get requests that it never handles.
//! `docs/faults.md` lists the tasks.

use {
    futures::FutureExt,
    metrics::counter,
    slog::{Logger, error},
    std::{
        any::Any,
        collections::HashMap,
        fmt::{Display, Formatter},
        future::Future,
        panic::{AssertUnwindSafe, catch_unwind},
        time::Duration,
    },
    tokio::{
        task::{AbortHandle, Id, JoinError, JoinSet},
        time::Instant,
    },
};

/// Metric: number of tasks that were started again, labelled with the task.
pub const RESTARTS_METRIC: &str = "yuccacroft_task_restarts_total";
/// Metric: number of messages whose handling panicked, labelled with their source.
pub const PANICS_METRIC: &str = "yuccacroft_message_panics_total";

/// Pause before a task is started again, since its error may last.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// Number of restarts of one task in [`RESTART_WINDOW`] after which it is not started again.
const MAX_RESTARTS: u32 = 20;
const RESTART_WINDOW: Duration = Duration::from_secs(10);

/// A panic that did not end its task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Panic(Box<str>);

/// The end of a task that should run as long as its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskEnd {
    /// The name of the task.
    pub task: &'static str,
    /// The panic that ended it, or `None` if it returned.
    pub panic: Option<Panic>,
}

/// The running tasks of a process. They end when this is dropped.
#[derive(Debug)]
pub struct Tasks {
    running: JoinSet<()>,
    names: HashMap<Id, &'static str>,
    log: Logger,
}

/// Handles one message, and returns the panic if that panics. The state that `handle` shares with
/// others must not depend on its completion.
pub fn contain<R>(source: &'static str, handle: impl FnOnce() -> R) -> Result<R, Panic> {
    catch_unwind(AssertUnwindSafe(handle)).map_err(|payload| {
        counter!(PANICS_METRIC, "source" => source).increment(1);
        Panic::new(&*payload)
    })
}

impl Tasks {
    /// Creates an empty set. Restarts and their causes are written to `log`.
    pub fn new(log: Logger) -> Self {
        Self { running: JoinSet::new(), names: HashMap::new(), log }
    }

    /// Starts a task that is not started again when it ends.
    pub fn spawn(
        &mut self,
        task: &'static str,
        run: impl Future<Output = ()> + Send + 'static,
    ) -> AbortHandle {
        let handle = self.running.spawn(run);
        self.names.insert(handle.id(), task);
        handle
    }

    /// Starts a task that is started again, with a clone of what it shares, when it returns or panics.
    pub fn supervise<T: Clone + Send + 'static, F: Future<Output = ()> + Send + 'static>(
        &mut self,
        task: &'static str,
        shared: &T,
        run: impl Fn(T) -> F + Send + 'static,
    ) -> AbortHandle {
        let (shared, log) = (shared.clone(), self.log.clone());
        self.spawn(task, restart(task, move || run(shared.clone()), log))
    }

    /// Waits until a task has ended and returns how. It does not return while all are running.
    pub async fn ended(&mut self) -> TaskEnd {
        match self.running.join_next_with_id().await {
            Some(Ok((id, ()))) => self.end(id, None),
            Some(Err(error)) => self.end(error.id(), panic_of(error)),
            None => std::future::pending().await,
        }
    }

    /// Ends all tasks and waits until they have ended.
    pub async fn shutdown(&mut self) {
        self.running.shutdown().await;
    }

    fn end(&mut self, id: Id, panic: Option<Panic>) -> TaskEnd {
        let end = TaskEnd { task: self.names.remove(&id).unwrap_or("unknown"), panic };
        error!(self.log, "task ended"; "task" => end.task, "cause" => %end);
        end
    }
}

/// Runs a task again whenever it ends, until it ends too often.
async fn restart<F: Future<Output = ()>>(task: &'static str, start: impl Fn() -> F, log: Logger) {
    let (mut restarts, mut window_started) = (0, Instant::now());
    loop {
        let result = AssertUnwindSafe(start()).catch_unwind().await;
        let end = TaskEnd { task, panic: result.err().map(|payload| Panic::new(&*payload)) };
        if window_started.elapsed() >= RESTART_WINDOW {
            (restarts, window_started) = (0, Instant::now());
        }
        restarts += 1;
        error!(log, "task failed"; "task" => task, "cause" => %end, "restarts" => restarts);
        if restarts > MAX_RESTARTS {
            return;
        }
        counter!(RESTARTS_METRIC, "task" => task).increment(1);
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

fn panic_of(error: JoinError) -> Option<Panic> {
    error.try_into_panic().ok().map(|payload| Panic::new(&*payload))
}

impl Panic {
    fn new(payload: &(dyn Any + Send)) -> Self {
        let text = payload.downcast_ref::<&str>().copied();
        let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        Self(text.unwrap_or("panic without a message").into())
    }
}

impl Display for Panic {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "panic: {}", self.0)
    }
}

impl std::error::Error for Panic {}

impl Display for TaskEnd {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match &self.panic {
            Some(panic) => write!(f, "task {} ended: {panic}", self.task),
            None => write!(f, "task {} ended", self.task),
        }
    }
}

impl std::error::Error for TaskEnd {}
