//! The report of a case: a readable table, followed by one machine-readable line per figure.

use std::fmt::{Display, Formatter};

/// The bound of a figure. Targets come from `docs/design.md`, section 12, and not from earlier runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    /// The figure must be at most this value.
    AtMost(f64),
    /// The figure must be at least this value.
    AtLeast(f64),
    /// The figure has no bound and is printed for comparison.
    None,
}

/// One measured figure.
#[derive(Clone, Debug)]
pub struct Figure {
    case: &'static str,
    variant: Box<str>,
    name: Box<str>,
    value: f64,
    target: Target,
}

/// All figures of one case.
#[derive(Debug)]
pub struct Report {
    case: &'static str,
    figures: Vec<Figure>,
}

impl Target {
    fn is_met_by(self, value: f64) -> bool {
        match self {
            Self::AtMost(bound) => value <= bound,
            Self::AtLeast(bound) => value >= bound,
            Self::None => true,
        }
    }
}

impl Report {
    /// Creates an empty report of a case.
    pub fn new(case: &'static str) -> Self {
        Self { case, figures: Vec::new() }
    }

    /// Adds a figure. Its name ends with its unit, for example `p99_ms`.
    pub fn add(&mut self, variant: &str, name: &str, value: f64, target: Target) {
        let (variant, name) = (variant.into(), name.into());
        self.figures.push(Figure { case: self.case, variant, name, value, target });
    }

    /// Adds all figures of another report.
    pub fn append(&mut self, other: Self) {
        self.figures.extend(other.figures);
    }

    /// Returns true if all targets are met.
    pub fn all_targets_met(&self) -> bool {
        self.figures.iter().all(|figure| figure.target.is_met_by(figure.value))
    }
}

impl Display for Target {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::AtMost(bound) => write!(f, "<={bound}"),
            Self::AtLeast(bound) => write!(f, ">={bound}"),
            Self::None => f.write_str("none"),
        }
    }
}

impl Display for Figure {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let Self { case, variant, name, value, target } = self;
        let met = if target.is_met_by(*value) { "yes" } else { "no" };
        write!(f, "case={case} variant={variant} figure={name} value={value:.4} ")?;
        write!(f, "target={target} met={met}")
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let variant_width =
            self.figures.iter().map(|figure| figure.variant.len()).max().unwrap_or(0);
        let name_width = self.figures.iter().map(|figure| figure.name.len()).max().unwrap_or(0);
        for Figure { variant, name, value, target, .. } in &self.figures {
            writeln!(f, "{variant:variant_width$}  {name:name_width$}  {value:>14.4}  {target}")?;
        }
        for figure in &self.figures {
            writeln!(f, "{figure}")?;
        }
        Ok(())
    }
}
