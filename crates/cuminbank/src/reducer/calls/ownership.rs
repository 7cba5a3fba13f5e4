//! Start and end of ownership terms. A term is the time for which this instance owns a group under
//! one epoch.

use crate::{
    ids::{GroupIndex, MonotonicTime, OwnerEpoch},
    message::TicketHandover,
    placement::ExecutorKey,
};

use super::{state::GroupTerm, tickets::TicketTable, CallContext, CallPart, EndedTerm};

impl CallPart {
    /// Begins a term. Each executor of the group counts as full until a probe shows which calls of
    /// earlier owners still run on it.
    pub(super) fn begin_term(
        &mut self,
        context: &mut CallContext<'_>,
        group: GroupIndex,
        epoch: OwnerEpoch,
        probe_from: MonotonicTime,
        handover: Option<(OwnerEpoch, u64, Vec<TicketHandover>)>,
    ) {
        let now = context.now();
        if self.terms.contains_key(&group) {
            self.end_term(context, group);
        }
        self.ended_terms.remove(&group);
        let mut tickets = TicketTable::new(&self.zone, group, epoch);
        if let Some((epoch, next_sequence, states)) = handover {
            tickets = tickets.with_handover(epoch, next_sequence, states, now);
        }
        let term = GroupTerm::new(epoch, probe_from, tickets, self.queue_order());
        self.terms.insert(group, term);
        for (_, entry) in context.view.groups.targets().in_group(group) {
            self.monitor(context, entry);
            if let Some(key) = self.executors.key_of(&entry.name) {
                self.monitors[key].first_call = 0;
                self.assume_full_until_probe(key, now);
            }
        }
    }

    /// Ends a term. Queued calls leave the group as described at [`Self::leave_group`]. Running
    /// calls are still answered when they end.
    pub(super) fn end_term(&mut self, context: &mut CallContext<'_>, group: GroupIndex) {
        let Some(mut term) = self.terms.remove(&group) else { return };
        let mut waiting = term.queue.drain();
        waiting.extend(term.executor_queues.values_mut().flat_map(|queue| queue.drain()));
        let ended = EndedTerm { epoch: term.epoch, tickets: term.tickets };
        self.ended_terms.insert(group, ended);
        let executors: Vec<ExecutorKey> = self
            .executors
            .iter()
            .filter(|(_, executor)| executor.spec.group == group)
            .map(|(key, _)| key)
            .collect();
        for key in executors {
            self.update_accepting(key, context.now());
            self.remove_if_unused(key);
        }
        for key in waiting {
            self.leave_group(context, key);
        }
    }
}
