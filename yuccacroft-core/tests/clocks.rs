//! Tests of the readings of a machine's clocks.

use yuccacroft_core::{clocks::Reading, time::Span};

const fn reading(wall_secs: u64, boot_secs: u64) -> Reading {
    Reading { wall: Span::from_secs(wall_secs), boot: Span::from_secs(boot_secs) }
}

const EARLIER: Reading = reading(1_000_000, 500);

/// Guards against an age that is trusted although the wall clock was set back, and against a restart
/// of the machine that counts as such a step.
#[test]
fn a_wall_clock_that_was_set_back_is_not_steady() {
    assert!(reading(1_000_100, 600).is_steady_since(EARLIER));
    assert!(!reading(1_000_099, 600).is_steady_since(EARLIER), "set back by a second");
    assert!(!reading(999_500, 600).is_steady_since(EARLIER), "set back by ten minutes");
    assert!(reading(1_000_130, 600).is_steady_since(EARLIER), "set forward");
    assert!(reading(1_000_100, 2).is_steady_since(EARLIER), "the machine has restarted");
    let slewed = Reading { wall: Span::from_millis(1_000_099_900), ..reading(0, 600) };
    assert!(slewed.is_steady_since(EARLIER));
}
