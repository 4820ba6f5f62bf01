//! The keys of a configuration: one table of them, by which files are validated, translated and
//! compared, and which `edge-node keys` prints.

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
