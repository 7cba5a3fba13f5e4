//! Gauges of what a process holds, and of its limits.

use crate::{input_budget::InputBudget, memory_plan::MemoryPlan, process_memory::ProcessMemory};

/// Part of the memory of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryPart {
    /// Name in the metrics.
    pub name: &'static str,
    /// Bytes that the process holds, or number of connections.
    pub used: u64,
    /// Limit on [`Self::used`].
    pub limit: u64,
}

/// Returns the parts of the memory of the calling process. `accepted_work` is what accepted jobs hold.
///
/// The parts that the kernel counts are missing if it does not provide them.
pub fn memory_parts(
    plan: &MemoryPlan,
    budget: &InputBudget,
    accepted_work: u64,
) -> Vec<MemoryPart> {
    let counts = budget.counts();
    let part = |name, used, limit| MemoryPart { name, used, limit: limit as u64 };
    let mut parts = vec![
        part("input", counts.used as u64, plan.handling),
        part("answers", counts.answer_bytes as u64, plan.answers),
        part("connections", counts.connections as u64, plan.connections),
        part("accepted_work", accepted_work, plan.accepted_work),
    ];
    if let Ok(memory) = ProcessMemory::read_own() {
        parts.extend([
            part("total", memory.total(), plan.memory),
            part("resident", memory.resident, plan.memory),
            part("received", memory.received, plan.socket_bytes()),
            part("unsent", memory.unsent, plan.socket_bytes()),
        ]);
    }
    parts
}
