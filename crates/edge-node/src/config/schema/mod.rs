//! The keys of a configuration, in one table. Configuration files are validated, translated and
//! compared by this table, and `edge-node keys` prints it.

mod keys;
mod locate;
mod markdown;
mod restart;
mod spec;
mod suggest;
mod translate;
mod validate;

pub(crate) use keys::MIN_FILE_DESCRIPTORS;
pub use markdown::markdown_table;
pub use restart::RestartValues;
pub use translate::to_platform_json;
pub(super) use validate::validate;
