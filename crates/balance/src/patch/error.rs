//! Why a patch cannot be applied.

use thiserror::Error;

/// Why a patch cannot be applied. The whole configuration is needed instead.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// There is no configuration to apply it to.
    #[error("there is no configuration to change")]
    NoBase,
    /// It applies to another version.
    #[error("it changes version {expected}, not version {found}")]
    OtherBase {
        /// The version that it applies to.
        expected: u32,
        /// The version that is known.
        found: u32,
    },
    /// The result is not the configuration that it was made for.
    #[error("version {0} has another digest than its author's")]
    OtherResult(u32),
}
