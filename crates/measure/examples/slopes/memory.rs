//! Memory use of the process.

use std::fs;
use std::io;

const PAGE_BYTES: f64 = 4096.0;

/// Returns the resident memory of the process in bytes, from the kernel's page count.
pub(crate) fn resident() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<f64>().ok());
    let pages = pages.ok_or(io::ErrorKind::InvalidData)?;
    Ok(pages * PAGE_BYTES)
}
