//! Memory of connections and bodies that is counted against limits from the configuration.

mod budget;
mod head_end;
mod read_buffer;

pub(crate) use budget::{MemoryBudget, MemoryExhausted, MemoryReservation};
pub(crate) use read_buffer::{ReadBufferMemory, MAX_HEAD_BYTES};
