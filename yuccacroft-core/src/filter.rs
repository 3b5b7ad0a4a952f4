//! The filter chain that decides about packets and requests.

/// The result of applying one filter to an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict<D> {
    /// The item goes to the next filter of the chain.
    Continue,
    /// The chain ends with this decision.
    Done(D),
}

/// One step of a chain.
///
/// An implementation inspects the item, may add data to it for later filters, and must not block or
/// do I/O. Several threads share it, so any state of its own is sharded.
pub trait Filter<T>: Send + Sync {
    /// The decision that ends the chain.
    type Decision;

    /// Returns a short name for logs and metrics.
    fn name(&self) -> &'static str;

    /// Inspects an item and either passes it on or decides about it.
    fn apply(&self, item: &mut T) -> Verdict<Self::Decision>;
}

/// An ordered list of filters. The first filter that decides ends the run.
pub struct FilterChain<T, D> {
    filters: Box<[Box<dyn Filter<T, Decision = D>>]>,
}

impl<T, D> FilterChain<T, D> {
    /// Creates a chain that applies the filters in the given order.
    pub fn new(filters: Vec<Box<dyn Filter<T, Decision = D>>>) -> Self {
        Self { filters: filters.into_boxed_slice() }
    }

    /// Runs the chain. Returns `None` if no filter decided about the item.
    pub fn run(&self, item: &mut T) -> Option<D> {
        for filter in &self.filters {
            if let Verdict::Done(decision) = filter.apply(item) {
                return Some(decision);
            }
        }
        None
    }

    /// Returns the names of the filters in the order in which they are applied.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.filters.iter().map(|filter| filter.name())
    }
}
