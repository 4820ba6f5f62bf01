//! CI tasks for which cargo has no command: running all tests except those that `KNOWN-RED.txt`
//! lists.

pub mod known_red;
pub mod run_tests;
pub mod test_binary;
