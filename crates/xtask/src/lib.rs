//! What CI runs beyond cargo's own commands: all tests but those that `KNOWN-RED.txt` lists.

pub mod known_red;
pub mod run_tests;
pub mod test_binary;
