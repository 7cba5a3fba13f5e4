//! Ticket states of a group, which ensure that each ticketed request runs at most once.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    effect::CallerAnswer,
    ids::{GroupIndex, MonotonicTime, OwnerEpoch, RequestTicket, ZoneName},
    message::TicketHandover,
};

use super::state::CallKey;

/// Time after its issue for which an unused ticket is valid, and after its first use for which its
/// state is kept.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(600);
/// Tickets issued within this time of each other share one entry in the list of issue times.
const ISSUE_RESOLUTION: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum TicketState {
    Active(CallKey),
    Ended(CallerAnswer),
}

#[derive(Debug)]
struct TicketEntry {
    first_seen: MonotonicTime,
    digest: Option<u64>,
    state: TicketState,
}

/// Range of the previous term's ticket sequences, as its owner handed it over.
#[derive(Debug)]
struct PreviousTerm {
    epoch: OwnerEpoch,
    next_sequence: u64,
    expired_below: u64,
    until: MonotonicTime,
}

/// Result of looking up the ticket of a request.
#[derive(Debug, PartialEq)]
pub enum TicketLookup {
    /// The ticket is unused, so the request may run once.
    New,
    /// The same request is already in progress.
    InProgress(CallKey),
    /// The request has this final answer.
    Ended(CallerAnswer),
    /// The ticket was used for a different request.
    Conflict,
    /// No owner has issued the ticket.
    NeverIssued,
    /// The state has expired or was lost with an earlier owner, so the request may have run.
    StateLost,
    /// The ticket has a later epoch than this table.
    LaterEpoch,
}

/// Tickets of a group for one epoch, and those handed over from the previous epoch.
#[derive(Debug)]
pub struct TicketTable {
    zone: ZoneName,
    group: GroupIndex,
    epoch: OwnerEpoch,
    next_sequence: u64,
    /// Unused tickets with a lower sequence have expired.
    expired_below: u64,
    /// Issue times, each with the sequence that follows the last ticket issued then.
    issued: VecDeque<(MonotonicTime, u64)>,
    entries: HashMap<RequestTicket, TicketEntry>,
    /// Used tickets, ordered by the start of their retention.
    by_first_use: VecDeque<(MonotonicTime, RequestTicket)>,
    previous_term: Option<PreviousTerm>,
}

impl TicketTable {
    /// Creates an empty table for a new term.
    pub fn new(zone: &str, group: GroupIndex, epoch: OwnerEpoch) -> Self {
        Self {
            zone: zone.to_owned(),
            group,
            epoch,
            next_sequence: 0,
            expired_below: 0,
            issued: VecDeque::new(),
            entries: HashMap::new(),
            by_first_use: VecDeque::new(),
            previous_term: None,
        }
    }

    /// Adds the ticket states that the owner of `epoch` handed over.
    pub fn with_handover(
        mut self,
        epoch: OwnerEpoch,
        next_sequence: u64,
        mut tickets: Vec<TicketHandover>,
        now: MonotonicTime,
    ) -> Self {
        let mut expired_below = 0;
        tickets.sort_by_key(|ticket| std::cmp::Reverse(ticket.age_ms));
        for TicketHandover { ticket, answer, age_ms } in tickets {
            let age = Duration::from_millis(age_ms);
            if age >= TICKET_LIFETIME && answer.is_none() {
                if ticket.epoch == epoch {
                    expired_below = expired_below.max(ticket.sequence + 1);
                }
                continue;
            }
            let lost = || CallerAnswer::new_unknown("the owner changed while the call ran");
            let answer = answer.unwrap_or_else(lost);
            // The clock of this process may have started after the first use. The subtraction then
            // saturates at zero, and the state is kept longer than necessary.
            let first_seen = now.saturating_sub(age);
            let state = TicketState::Ended(answer);
            self.by_first_use.push_back((first_seen, ticket.clone()));
            self.entries.insert(ticket, TicketEntry { first_seen, digest: None, state });
        }
        let until = now + TICKET_LIFETIME;
        self.previous_term = Some(PreviousTerm { epoch, next_sequence, expired_below, until });
        self
    }

    /// Issues `count` tickets with consecutive sequence numbers.
    pub fn issue(&mut self, count: u64, now: MonotonicTime) -> Vec<RequestTicket> {
        let first = self.next_sequence;
        self.next_sequence += count;
        match self.issued.back_mut() {
            Some((at, below)) if now < *at + ISSUE_RESOLUTION => *below = self.next_sequence,
            _ => self.issued.push_back((now, self.next_sequence)),
        }
        (first..self.next_sequence).map(|sequence| self.ticket(sequence)).collect()
    }

    /// Returns whether a request with this digest may run under the ticket.
    pub fn look_up(
        &mut self,
        ticket: &RequestTicket,
        digest: u64,
        now: MonotonicTime,
    ) -> TicketLookup {
        self.expire(now);
        if let Some(entry) = self.entries.get(ticket) {
            if entry.digest.is_some_and(|known| known != digest) {
                return TicketLookup::Conflict;
            }
            return match &entry.state {
                TicketState::Active(call) => TicketLookup::InProgress(*call),
                TicketState::Ended(answer) => TicketLookup::Ended(answer.clone()),
            };
        }
        if ticket.epoch > self.epoch {
            return TicketLookup::LaterEpoch;
        }
        let previous =
            self.previous_term.as_ref().filter(|previous| previous.epoch == ticket.epoch);
        let (next_sequence, expired_below) = match previous {
            Some(previous) => (previous.next_sequence, previous.expired_below),
            None if ticket.epoch == self.epoch => (self.next_sequence, self.expired_below),
            None => return TicketLookup::StateLost,
        };
        if ticket.sequence >= next_sequence {
            return TicketLookup::NeverIssued;
        }
        if ticket.sequence < expired_below {
            return TicketLookup::StateLost;
        }
        TicketLookup::New
    }

    /// Records that the request of a ticket is in progress.
    pub fn begin(&mut self, ticket: RequestTicket, digest: u64, call: CallKey, now: MonotonicTime) {
        self.by_first_use.push_back((now, ticket.clone()));
        let state = TicketState::Active(call);
        self.entries.insert(ticket, TicketEntry { first_seen: now, digest: Some(digest), state });
    }

    /// Records the final answer of a ticket.
    pub fn record_answer(&mut self, ticket: &RequestTicket, answer: &CallerAnswer) {
        if let Some(entry) = self.entries.get_mut(ticket) {
            entry.state = TicketState::Ended(answer.clone());
        }
    }

    /// Returns the number of tickets with a recorded state.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no ticket has a recorded state.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the next sequence number and all states for the next owner.
    ///
    /// The last entry may be a marker without an answer and with the full lifetime as its age. It
    /// means that all tickets up to its sequence have expired; without it the next owner would
    /// consider them unused.
    pub fn handover_state(&self, now: MonotonicTime) -> (u64, Vec<TicketHandover>) {
        let mut tickets: Vec<TicketHandover> = self
            .entries
            .iter()
            .map(|(ticket, entry)| TicketHandover {
                ticket: ticket.clone(),
                answer: match &entry.state {
                    TicketState::Active(_) => None,
                    TicketState::Ended(answer) => Some(answer.clone()),
                },
                age_ms: now
                    .saturating_sub(entry.first_seen)
                    .min(TICKET_LIFETIME - Duration::from_millis(1))
                    .as_millis() as u64,
            })
            .collect();
        tickets.sort_by(|a, b| a.ticket.cmp(&b.ticket));
        if let Some(last_expired) = self.expired_below.checked_sub(1) {
            tickets.push(TicketHandover {
                ticket: self.ticket(last_expired),
                answer: None,
                age_ms: TICKET_LIFETIME.as_millis() as u64,
            });
        }
        (self.next_sequence, tickets)
    }

    /// Removes states older than [`TICKET_LIFETIME`].
    pub fn expire(&mut self, now: MonotonicTime) {
        while self.issued.front().is_some_and(|(at, _)| *at + TICKET_LIFETIME < now) {
            let below = self.issued.pop_front().map_or(0, |(_, below)| below);
            self.expired_below = self.expired_below.max(below);
        }
        while self.by_first_use.front().is_some_and(|(seen, _)| *seen + TICKET_LIFETIME < now) {
            let Some((_, ticket)) = self.by_first_use.pop_front() else { return };
            self.expire_entry(ticket, now);
        }
        if self.previous_term.as_ref().is_some_and(|previous| previous.until < now) {
            self.previous_term = None;
        }
    }

    fn expire_entry(&mut self, ticket: RequestTicket, now: MonotonicTime) {
        let Some(entry) = self.entries.get(&ticket) else { return };
        if matches!(entry.state, TicketState::Active(_)) {
            self.by_first_use.push_back((now, ticket));
            return;
        }
        self.entries.remove(&ticket);
        // Tickets with lower sequences were issued no later, so they have expired too. Without this
        // bound the ticket would look unused, and a late copy of the request would run again.
        if ticket.epoch == self.epoch {
            self.expired_below = self.expired_below.max(ticket.sequence + 1);
        }
        if let Some(previous) =
            self.previous_term.as_mut().filter(|previous| previous.epoch == ticket.epoch)
        {
            previous.expired_below = previous.expired_below.max(ticket.sequence + 1);
        }
    }

    fn ticket(&self, sequence: u64) -> RequestTicket {
        let (zone, group, epoch) = (self.zone.clone(), self.group, self.epoch);
        RequestTicket { zone, group, epoch, sequence }
    }
}
