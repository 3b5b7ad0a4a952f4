//! The requirements of a deployment, which switch on the parts of the system that answer them.

use {
    serde::{Deserialize, Serialize},
    std::{convert::Infallible, str::FromStr},
};

/// The requirements that a deployment's settings name. Without any of them placement rests on load
/// alone, and no failure domain is evacuated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requirements {
    /// Upstreams may fail requests while their health checks succeed, or the reverse, so placement
    /// rests on the outcomes and the times that agents measure.
    pub health: bool,
    /// Operators evacuate failure domains, and upstreams that warm up have limits.
    pub places: bool,
}

impl FromStr for Requirements {
    type Err = Infallible;

    /// Reads a list of names that are separated by commas. Unknown names belong to other parts of
    /// the platform and are ignored.
    fn from_str(text: &str) -> Result<Self, Infallible> {
        let has = |name| text.split(',').any(|part| part.trim() == name);
        Ok(Self { health: has("health"), places: has("places") })
    }
}
