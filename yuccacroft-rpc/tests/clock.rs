//! Tests of the clocks of the system.

use {yuccacroft_core::time::Span, yuccacroft_rpc::clock};

/// The file in which Linux reports the time since its start, in seconds with two decimals.
const UPTIME_FILE: &str = "/proc/uptime";
/// Resolution of the reported time.
const UPTIME_RESOLUTION: Span = Span::from_millis(10);

/// Returns the time since the machine started, as Linux reports it.
fn uptime() -> Span {
    let text = std::fs::read_to_string(UPTIME_FILE).unwrap();
    format!("{} s", text.split(' ').next().unwrap()).parse().unwrap()
}

/// Guards against a boot clock that is another clock: one that jumps, or one that counts from
/// another moment or in another unit.
#[test]
fn the_boot_clock_is_the_uptime_of_the_machine() {
    let before = uptime();
    let now = clock::boot_clock();
    let after = uptime() + UPTIME_RESOLUTION;
    assert!(before <= now && now <= after, "{before}, {now}, {after}");
}
