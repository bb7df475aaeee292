//! The memory of the process.

use std::fs;
use std::io;

/// The size of a page in bytes.
const PAGE: f64 = 4096.0;

/// Returns the bytes that the process has in memory, by the kernel's count of pages.
pub(crate) fn resident() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<f64>().ok());
    let pages = pages.ok_or(io::ErrorKind::InvalidData)?;
    Ok(pages * PAGE)
}
