//! The public parts of the edge node's library that need no socket: formats that it reads, and what
//! it reads them to.

mod call_terms;
mod config_file;
mod config_restart;
mod config_translate;
mod header_value;
mod phase;
mod rate_limiter;
mod request_error;
mod request_head;
