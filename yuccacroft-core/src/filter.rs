//! The filter chain that packets and requests pass.

/// What a filter says of the item it was shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict<D> {
    /// The next filter of the chain is asked.
    Continue,
    /// The chain ends with this decision.
    Done(D),
}

/// One step of a chain.
///
/// An implementer looks at the item, may add what later filters need, and must not block or do
/// I/O. It is shared by several threads, so its own state lives in shards.
pub trait Filter<T>: Send + Sync {
    /// The decision that ends the chain.
    type Decision;

    /// Returns a short name for logs and metrics.
    fn name(&self) -> &'static str;

    /// Looks at an item and either lets it pass or decides.
    fn apply(&self, item: &mut T) -> Verdict<Self::Decision>;
}

/// An ordered list of filters. The first one that decides ends the run.
pub struct Chain<T, D> {
    filters: Box<[Box<dyn Filter<T, Decision = D>>]>,
}

impl<T, D> Chain<T, D> {
    /// Creates a chain that asks the filters in the given order.
    pub fn new(filters: Vec<Box<dyn Filter<T, Decision = D>>>) -> Self {
        Self { filters: filters.into_boxed_slice() }
    }

    /// Runs the chain. `None` means that every filter let the item pass.
    pub fn run(&self, item: &mut T) -> Option<D> {
        for filter in &self.filters {
            if let Verdict::Done(decision) = filter.apply(item) {
                return Some(decision);
            }
        }
        None
    }

    /// Returns the names of the filters in their order.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.filters.iter().map(|filter| filter.name())
    }
}
