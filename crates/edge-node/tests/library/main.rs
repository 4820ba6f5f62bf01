//! Tests of the public items of the edge node's library that need no socket, mainly of its parsers.

mod call_terms;
mod config_file;
mod config_restart;
mod config_translate;
mod header_value;
mod phase;
mod rate_limiter;
mod request_error;
mod request_head;
