//! The memory of this process.

/// Bytes of a page on the platforms that the project runs on.
const PAGE_BYTES: usize = 4_096;

/// Returns the resident bytes of this process, from `/proc/self/statm` (proc(5)). Zero when the
/// system does not tell.
pub fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
