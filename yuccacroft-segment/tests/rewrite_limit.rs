//! Test of the limit on how often an agent writes a replaced entry again.

use {
    std::time::Duration, tokio::time::Instant,
    yuccacroft_segment::agent::rewrite_limit::RewriteLimit,
};

/// Guards against two writers that replace each other's value as fast as the store allows, and
/// against a single replacement that is repaired late.
#[test]
fn replacements_in_a_row_are_answered_more_and_more_slowly() {
    let start = Instant::now();
    let mut limit = RewriteLimit::default();
    let mut now = start;
    let mut delays = Vec::new();
    for _ in 0..7 {
        limit.record(now);
        let next = limit.next_check(now);
        delays.push((next - now).as_secs());
        now = next;
    }
    assert_eq!(delays, [0, 4, 8, 16, 30, 30, 30]);
    let later = now + Duration::from_secs(60);
    limit.record(later);
    assert_eq!(limit.next_check(later), later);
}
