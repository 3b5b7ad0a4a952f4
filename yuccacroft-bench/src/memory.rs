//! Memory use of this process.

/// The page size on the supported platforms.
const PAGE_BYTES: usize = 4_096;

/// Returns the resident set size of this process in bytes, from `/proc/self/statm` (proc(5)), or
/// zero if it cannot be read.
pub fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
