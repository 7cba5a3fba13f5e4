//! Arrival of calls: validation, ticket lookup and choice of the group.

use std::time::Duration;

use rand::Rng;

use crate::{
    effect::{CallOutcome, CallerAnswer},
    event::CallRequest,
    guards::GuardSwitches,
    ids::{GroupIndex, MonotonicTime, RequestTicket},
    profile::{WorkKind, WorkProfile},
    reducer::CallView,
};

use super::{
    queueing::UNKNOWN_WAIT,
    state::{digest_of, CallRecord, CallStage, CallWaiter, WaiterOrigin},
    tickets::TicketLookup,
    CallContext, CallPart,
};

/// Time for which a ticketed call waits for an owner if its profile is unknown, so that it has no
/// deadline.
const UNKNOWN_PROFILE_WAIT: Duration = Duration::from_secs(5);

impl CallPart {
    /// Routes a caller's call: to the issuer of its ticket, or without a ticket to the owned group
    /// or peer with the shortest expected wait.
    pub(super) fn route(
        &mut self,
        context: &mut CallContext<'_>,
        waiter: CallWaiter,
        call: CallRequest,
    ) {
        if let Some(ticket) = call.ticket.clone() {
            self.route_by_ticket(context, waiter, call, &ticket);
            return;
        }
        let profile = match check_call(context.view, &call) {
            Ok(profile) => profile,
            Err(answer) => {
                self.answer_waiter(context.step, context.records, waiter, answer);
                return;
            }
        };
        let local = self.best_owned_group(context, &call, profile);
        let local_wait = local.map(|(_, wait)| wait);
        if local_wait.is_none_or(|wait| wait > Duration::ZERO) {
            if let Some((address, group)) = self.better_peer(context, local_wait) {
                self.forward(context, waiter, call, address, group);
                return;
            }
        }
        let Some((group, _)) = local else {
            self.wait_for_owner(context, waiter, call);
            return;
        };
        let profile = profile.clone();
        self.admit(context, waiter, group, call, &profile);
    }

    /// Admits or refuses a call that a peer forwarded. Answers `NotOwner` if this instance has no
    /// authority over `group`, or if another group issued the ticket of the call.
    pub(super) fn accept_forwarded(
        &mut self,
        context: &mut CallContext<'_>,
        waiter: CallWaiter,
        group: GroupIndex,
        call: CallRequest,
    ) {
        let now = context.now();
        if !self.terms.contains_key(&group)
            || context.view.groups.authority_until(group, now).is_none()
        {
            self.answer_not_owner(context.step, &waiter);
            return;
        }
        if let Some(ticket) = call.ticket.clone() {
            if ticket.zone != self.zone || ticket.group != group {
                self.answer_not_owner(context.step, &waiter);
                return;
            }
            self.accept_ticketed(context, waiter, call, &ticket);
            return;
        }
        match check_call(context.view, &call) {
            Ok(profile) => {
                let profile = profile.clone();
                self.admit(context, waiter, group, call, &profile);
            }
            Err(answer) => self.answer_waiter(context.step, context.records, waiter, answer),
        }
    }

    /// Routes a ticketed call to the group that issued the ticket. Only the owner of that group
    /// knows whether the request ran before, so no other instance may refuse it.
    fn route_by_ticket(
        &mut self,
        context: &mut CallContext<'_>,
        waiter: CallWaiter,
        call: CallRequest,
        ticket: &RequestTicket,
    ) {
        if ticket.zone == self.zone && self.terms.contains_key(&ticket.group) {
            self.accept_ticketed(context, waiter, call, ticket);
            return;
        }
        let now = context.now();
        let owner = context.view.groups.owner_of(&ticket.zone, ticket.group, now);
        match owner {
            Some((address, _)) => self.forward(context, waiter, call, address, ticket.group),
            None => self.wait_for_owner(context, waiter, call),
        }
    }

    fn accept_ticketed(
        &mut self,
        context: &mut CallContext<'_>,
        waiter: CallWaiter,
        call: CallRequest,
        ticket: &RequestTicket,
    ) {
        let (now, digest) = (context.now(), digest_of(&call));
        let Some(term) = self.terms.get_mut(&ticket.group) else { return };
        let lookup = term.tickets.look_up(ticket, digest, now);
        let answer = match apply_guards(context.step.guards, lookup, ticket.epoch < term.epoch) {
            TicketLookup::New => {
                self.begin_ticketed(context, waiter, call, ticket, digest);
                return;
            }
            TicketLookup::InProgress(key) => {
                if let Some(record) = self.calls.get_mut(key) {
                    record.waiters.push(waiter);
                    return;
                }
                CallerAnswer::new_unknown("the state of the ticket is incomplete")
            }
            TicketLookup::LaterEpoch
                if context.view.groups.authority_until(ticket.group, now).is_none() =>
            {
                // A later owner may exist whose heartbeat has not arrived here yet.
                self.decline_or_wait(context, waiter, call);
                return;
            }
            TicketLookup::Ended(answer) => answer,
            TicketLookup::Conflict => {
                CallerAnswer::new_not_run(409, "the ticket was used for a different request")
            }
            TicketLookup::NeverIssued | TicketLookup::LaterEpoch => {
                CallerAnswer::new_not_run(400, "the ticket was never issued")
            }
            TicketLookup::StateLost => CallerAnswer::new_unknown(
                "the state of the ticket has expired or was lost with an earlier owner",
            ),
        };
        self.answer_waiter(context.step, context.records, waiter, answer);
    }

    /// Handles the first use of a ticket. A refusal is stored with the ticket, so that a delayed
    /// copy of the request is refused as well.
    fn begin_ticketed(
        &mut self,
        context: &mut CallContext<'_>,
        waiter: CallWaiter,
        call: CallRequest,
        ticket: &RequestTicket,
        digest: u64,
    ) {
        let now = context.now();
        let checked = check_call(context.view, &call).cloned();
        let refused = checked.as_ref().err().cloned();
        // The issuing group only stores the state of the ticket. The call may run in any owned
        // group, so that it does not wait while another group has free slots.
        let best = checked
            .as_ref()
            .ok()
            .and_then(|profile| self.best_owned_group(context, &call, profile));
        let group = best.map_or(ticket.group, |(group, _)| group);
        let record = self.new_record(&waiter, group, call, checked.as_ref().ok());
        let key = self.calls.insert(record);
        if let Some(term) = self.terms.get_mut(&ticket.group) {
            term.tickets.begin(ticket.clone(), digest, key, now);
        }
        self.calls[key].waiters.push(waiter);
        match refused {
            Some(answer) => self.finish(context, key, answer),
            None => self.admit_record(context, key),
        }
    }

    fn admit(
        &mut self,
        context: &mut CallContext<'_>,
        waiter: CallWaiter,
        group: GroupIndex,
        call: CallRequest,
        profile: &WorkProfile,
    ) {
        let mut record = self.new_record(&waiter, group, call, Some(profile));
        record.waiters.push(waiter);
        let key = self.calls.insert(record);
        self.admit_record(context, key);
    }

    fn new_record(
        &self,
        waiter: &CallWaiter,
        group: GroupIndex,
        call: CallRequest,
        profile: Option<&WorkProfile>,
    ) -> CallRecord {
        let (arrived, customer) = (waiter.arrived, &call.customer);
        CallRecord {
            group,
            epoch: self.terms.get(&group).map_or(0, |term| term.epoch),
            waiters: Vec::new(),
            stage: CallStage::Queued,
            arrived,
            deadline: profile.map_or(arrived, |profile| arrived + profile.deadline()),
            max_run: profile.map_or(Duration::ZERO, WorkProfile::max_run),
            idempotent: profile.is_some_and(|profile| profile.idempotent),
            weight: profile.map_or(1, |profile| profile.weight(customer)),
            may_have_been_sent: false,
            fallback: None,
            avoid: None,
            call,
        }
    }

    /// Returns the owned group with the shortest expected wait. Ties are broken at random to load
    /// the groups evenly.
    fn best_owned_group(
        &self,
        context: &mut CallContext<'_>,
        call: &CallRequest,
        profile: &WorkProfile,
    ) -> Option<(GroupIndex, Duration)> {
        let mut groups = self.usable_groups(context.view, context.now());
        if groups.is_empty() {
            return None;
        }
        let first = context.step.rng.random_range(0..groups.len());
        groups.rotate_left(first);
        let weight = profile.weight(&call.customer);
        let wait = |group| self.estimate_wait(group, Some((call, weight))).unwrap_or(UNKNOWN_WAIT);
        groups.into_iter().map(|group| (group, wait(group))).min_by_key(|&(_, wait)| wait)
    }

    /// Answers `NotOwner` to a peer, or holds a caller's call until an owner is known.
    pub(super) fn decline_or_wait(
        &mut self,
        context: &mut CallContext<'_>,
        waiter: CallWaiter,
        call: CallRequest,
    ) {
        match waiter.origin {
            WaiterOrigin::Peer => self.answer_not_owner(context.step, &waiter),
            WaiterOrigin::Caller => self.wait_for_owner(context, waiter, call),
        }
    }

    /// Returns the time until which a call without a known owner may wait for one.
    pub(super) fn owner_wait_deadline(&self, waiter: &CallWaiter) -> MonotonicTime {
        match waiter.deadline {
            Some(deadline) => self.latest_start(&waiter.class, waiter.arrived, deadline),
            None => waiter.arrived + UNKNOWN_PROFILE_WAIT,
        }
    }
}

/// Validates a call against the active configuration.
fn check_call<'a>(view: CallView<'a>, call: &CallRequest) -> Result<&'a WorkProfile, CallerAnswer> {
    let refuse = |status, reason: &str| Err(CallerAnswer::new_not_run(status, reason));
    if !view.config.is_ready() {
        return refuse(503, "the instance has not read its configuration yet");
    }
    let Some(profile) = view.config.profile(&call.profile) else {
        // The reason leaves out the name: callers choose it freely, and the refusal is stored with
        // the ticket.
        return refuse(404, "there is no such profile");
    };
    if profile.kind != WorkKind::Urgent {
        return refuse(400, "the profile is for batch tasks; submit the work as a task");
    }
    if call.body.len() > profile.max_body_bytes {
        return refuse(413, &format!("the body is over {} bytes", profile.max_body_bytes));
    }
    if call.ticket.is_none() && !profile.idempotent {
        return refuse(
            400,
            "the profile is not idempotent: a ticket in Idempotency-Key is required",
        );
    }
    Ok(profile)
}

/// Replaces the lookup result by `New` if a test has switched off the guard that prevents the
/// request from running.
fn apply_guards(guards: GuardSwitches, lookup: TicketLookup, is_earlier: bool) -> TicketLookup {
    let runs_again = match &lookup {
        TicketLookup::StateLost => is_earlier && !guards.earlier_epoch_refused,
        TicketLookup::Ended(answer) => {
            answer.outcome == CallOutcome::NotRun && !guards.refusals_final
        }
        _ => false,
    };
    if runs_again {
        TicketLookup::New
    } else {
        lookup
    }
}
