//! Forwarding of calls and ticket requests to peers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use rand::Rng;

use crate::{
    effect::{CallerAnswer, EntryEffect},
    event::{CallRequest, ExchangeError},
    ids::{GroupIndex, ReplyId, RequestTicket, ZoneName},
    message::{PeerReply, PeerRequest},
    reducer::records::RecordPart,
    reducer::step::{ReducerPart, StepContext},
    reducer::CallView,
};

use super::{
    state::{CallWaiter, PendingCall, PendingForward},
    CallContext, CallPart,
};

/// Minimum reduction of the expected wait for which a call is forwarded. It covers the network
/// delay of 1 ms each way and the age of the peer's estimate, which is sent in heartbeats every 500
/// ms.
const MIN_FORWARD_GAIN: Duration = Duration::from_millis(20);
/// Assumed increase of a peer's wait for each call forwarded to it and not answered yet.
const WAIT_PER_FORWARD: Duration = Duration::from_millis(2);
/// A group may issue tickets if its expected wait exceeds the shortest one by no more than this.
const EQUAL_WAIT_MARGIN: Duration = Duration::from_millis(50);
/// Time between attempts to find the owner for a call.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time to wait for a peer's reply in addition to the deadline and the maximum run time, since the
/// peer has to probe the executor after a lost response.
const FORWARD_SLACK: Duration = Duration::from_secs(5);
/// Upper bound on the sum of deadline and maximum run time, used if this instance does not know the
/// profile.
const MAX_FORWARD_TIME: Duration = Duration::from_secs(660);
/// Time limit for a peer to issue tickets.
const TICKET_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of tickets in one answer.
const MAX_TICKETS: u32 = 100;

impl CallPart {
    /// Returns a peer and its group whose expected wait is shorter than `local_wait` by
    /// [`MIN_FORWARD_GAIN`]. Other zones are considered only if no owner in this zone is known.
    pub(super) fn better_peer(
        &self,
        context: &CallContext<'_>,
        local_wait: Option<Duration>,
    ) -> Option<(SocketAddr, GroupIndex)> {
        let own_zone = self.peer_in_zone(context, &self.zone);
        let best = match (own_zone, local_wait) {
            (None, None) => {
                let zones = context.step.settings.peers.keys();
                let others = zones.filter(|zone| **zone != self.zone);
                others.filter_map(|zone| self.peer_in_zone(context, zone)).min_by_key(|peer| peer.2)
            }
            (own_zone, _) => own_zone,
        };
        let (address, group, wait) = best?;
        local_wait
            .is_none_or(|local_wait| wait + MIN_FORWARD_GAIN < local_wait)
            .then_some((address, group))
    }

    fn peer_in_zone(
        &self,
        context: &CallContext<'_>,
        zone: &ZoneName,
    ) -> Option<(SocketAddr, GroupIndex, Duration)> {
        let groups = 0..context.step.settings.groups_per_zone;
        let foreign = groups.filter(|group| *zone != self.zone || !self.terms.contains_key(group));
        let owners = foreign.filter_map(|group| {
            let (address, wait) = context.view.groups.owner_of(zone, group, context.step.now())?;
            let forwarded_per_group = self.forwarded_per_group.get(&group).copied().unwrap_or(0);
            Some((address, group, wait + WAIT_PER_FORWARD * forwarded_per_group))
        });
        owners.min_by_key(|&(_, _, wait)| wait)
    }

    /// Forwards a call to the owner of a group.
    pub(super) fn forward(
        &mut self,
        context: &mut CallContext<'_>,
        waiter: CallWaiter,
        call: CallRequest,
        address: SocketAddr,
        group: GroupIndex,
    ) {
        let now = context.now();
        let profile = context.view.config.profile(&call.profile);
        let time_left = waiter.deadline.map(|deadline| deadline.saturating_sub(now));
        let timeout = match (time_left, profile) {
            (Some(left), Some(profile)) => left + profile.max_run(),
            _ => MAX_FORWARD_TIME,
        };
        let waited_ms = now.saturating_sub(waiter.arrived).as_millis() as u64;
        let exchange = context.step.begin_exchange(ReducerPart::Calls);
        context.step.push(EntryEffect::CallPeer {
            exchange,
            to: address,
            request: PeerRequest::ForwardCall { group, call: call.clone(), waited_ms },
            timeout: timeout + FORWARD_SLACK,
        });
        *self.forwarded_per_group.entry(group).or_default() += 1;
        self.forwards.insert(exchange, PendingForward { waiter, call, group, address });
    }

    /// Holds a caller's call until an owner is known, at most until
    /// [`Self::owner_wait_deadline`].
    pub(super) fn wait_for_owner(
        &mut self,
        context: &mut CallContext<'_>,
        waiter: CallWaiter,
        call: CallRequest,
    ) {
        let give_up_at = self.owner_wait_deadline(&waiter);
        let retry_at = context.now() + OWNER_RETRY_INTERVAL;
        self.pending.push(PendingCall { waiter, call, retry_at, give_up_at });
    }

    /// Handles a peer's reply to a forwarded call, or the failure of the forward. The call is
    /// routed again only if the peer certainly did not accept it.
    pub(super) fn end_forward(
        &mut self,
        step: &mut StepContext,
        records: &mut RecordPart,
        forward: PendingForward,
        result: Result<PeerReply, ExchangeError>,
    ) {
        let PendingForward { waiter, call, group, .. } = forward;
        if let Some(count) = self.forwarded_per_group.get_mut(&group) {
            *count = count.saturating_sub(1);
        }
        let answer = match result {
            Ok(PeerReply::Answer(answer)) => answer,
            Ok(PeerReply::NotOwner) | Err(ExchangeError::NotSent | ExchangeError::Refused(_)) => {
                let give_up_at = self.owner_wait_deadline(&waiter);
                let retry_at = step.now() + OWNER_RETRY_INTERVAL;
                self.pending.push(PendingCall { waiter, call, retry_at, give_up_at });
                return;
            }
            Ok(_) | Err(ExchangeError::Lost) => {
                CallerAnswer::new_unknown("the answer of the owner of the group was lost")
            }
        };
        self.answer_waiter(step, records, waiter, answer);
    }

    /// Ends the calls forwarded to peers whose heartbeats have stopped. The connection to a paused
    /// or unreachable peer may stay open, and its timeout can be much longer than the deadline.
    pub(super) fn end_silent_forwards(&mut self, context: &mut CallContext<'_>) {
        let silent = context.view.groups.silent_peers(context.now());
        if silent.is_empty() {
            return;
        }
        let waiting = self.forwards.iter().filter(|(_, forward)| silent.contains(&forward.address));
        let mut ended: Vec<_> = waiting.map(|(exchange, _)| *exchange).collect();
        ended.sort_unstable();
        for exchange in ended {
            if let Some(forward) = self.forwards.remove(&exchange) {
                let lost = Err(ExchangeError::Lost);
                self.end_forward(context.step, context.records, forward, lost);
            }
        }
    }

    /// Routes pending calls again, and ends those that waited too long or whose caller
    /// disconnected.
    pub(super) fn route_pending(&mut self, context: &mut CallContext<'_>) {
        let now = context.now();
        for pending in std::mem::take(&mut self.pending) {
            let disconnected = self.replies.is_disconnected(pending.waiter.reply);
            if disconnected || pending.give_up_at < now {
                self.give_up_pending(context, pending);
            } else if pending.retry_at <= now {
                self.route(context, pending.waiter, pending.call);
            } else {
                self.pending.push(pending);
            }
        }
    }

    fn give_up_pending(&mut self, context: &mut CallContext<'_>, pending: PendingCall) {
        let now = context.now();
        let answer = match pending.call.ticket {
            // The owner of the issuing group may have run an earlier copy of the request.
            Some(_) => CallerAnswer::new_unknown("the home of the ticket could not be reached"),
            None => {
                let (drain_time, service_interval) =
                    (OWNER_RETRY_INTERVAL * 10, OWNER_RETRY_INTERVAL / 10);
                let rng = &mut context.step.rng;
                let delay = self.retry_schedule.draw_delay(rng, now, drain_time, service_interval);
                CallerAnswer::new_busy("no owner of a group could be reached in time", delay)
            }
        };
        self.answer_waiter(context.step, context.records, pending.waiter, answer);
    }

    /// Answers a caller with tickets, issued by an owned group or by a peer.
    pub(super) fn issue_to_caller(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        reply: ReplyId,
        count: u32,
    ) {
        if count == 0 {
            step.answer(reply, CallerAnswer::new_not_run(400, "count has to be 1 to 100"));
            return;
        }
        let Some(issuer) = self.draw_ticket_issuer(step, view) else {
            self.refuse_tickets(step, reply, "no owner of a group is known");
            return;
        };
        let TicketIssuer::Peer(address) = issuer else {
            match self.issue_tickets(step, view, count) {
                Some(tickets) => step.answer(reply, ticket_answer(&tickets)),
                None => self.refuse_tickets(step, reply, "no owner of a group is known"),
            }
            return;
        };
        let exchange = step.begin_exchange(ReducerPart::Calls);
        let request = PeerRequest::IssueTickets { count: count.min(MAX_TICKETS) };
        step.push(EntryEffect::CallPeer {
            exchange,
            to: address,
            request,
            timeout: TICKET_TIMEOUT,
        });
        self.replies.add(reply);
        self.ticket_forwards.insert(exchange, reply);
    }

    /// Issues tickets from one of the usable groups with about the shortest expected wait. Returns
    /// `None` if there is none (see [`Self::usable_groups`]).
    pub(super) fn issue_tickets(
        &mut self,
        step: &mut StepContext,
        view: CallView<'_>,
        count: u32,
    ) -> Option<Vec<RequestTicket>> {
        let now = step.now();
        let group = self.draw_ticket_group(step, view)?;
        let term = self.terms.get_mut(&group)?;
        Some(term.tickets.issue(u64::from(count.clamp(1, MAX_TICKETS)), now))
    }

    /// Draws the issuer of a caller's tickets from all groups of the zone. The load balancer
    /// spreads callers evenly over the entry instances, but the instances do not own equally many
    /// targets. Issuing only from own groups would overload some groups and leave others idle.
    fn draw_ticket_issuer(
        &self,
        step: &mut StepContext,
        view: CallView<'_>,
    ) -> Option<TicketIssuer> {
        let now = step.now();
        let usable = self.usable_groups(view, now);
        let issuers = (0..step.settings.groups_per_zone).filter_map(|group| {
            if usable.contains(&group) {
                return Some((group, self.expected_wait(group, now), TicketIssuer::Own));
            }
            let (address, wait) = view.groups.owner_of(&self.zone, group, now)?;
            Some((group, wait, TicketIssuer::Peer(address)))
        });
        draw_by_targets(issuers.collect(), step, view)
    }

    /// Draws one of the owned groups for issuing tickets.
    fn draw_ticket_group(&self, step: &mut StepContext, view: CallView<'_>) -> Option<GroupIndex> {
        let now = step.now();
        let usable = self.usable_groups(view, now).into_iter();
        let groups = usable.map(|group| (group, self.expected_wait(group, now), group));
        draw_by_targets(groups.collect(), step, view)
    }

    /// Handles the reply of a peer to a ticket request.
    pub(super) fn end_ticket_forward(
        &mut self,
        step: &mut StepContext,
        reply: ReplyId,
        result: Result<PeerReply, ExchangeError>,
    ) {
        if !self.replies.complete(reply) {
            return;
        }
        match result {
            Ok(PeerReply::Tickets(tickets)) => step.answer(reply, ticket_answer(&tickets)),
            _ => self.refuse_tickets(step, reply, "the owner of a group issued no tickets"),
        }
    }

    fn refuse_tickets(&mut self, step: &mut StepContext, reply: ReplyId, reason: &str) {
        let (now, rng) = (step.now(), &mut step.rng);
        let (drain_time, service_interval) = (OWNER_RETRY_INTERVAL * 10, OWNER_RETRY_INTERVAL / 10);
        let delay = self.retry_schedule.draw_delay(rng, now, drain_time, service_interval);
        step.answer(reply, CallerAnswer::new_busy(reason, delay));
    }
}

/// Instance that issues the tickets for a caller.
#[derive(Clone, Copy, Debug)]
enum TicketIssuer {
    Own,
    Peer(SocketAddr),
}

/// Draws one of the groups with about the shortest wait, weighted by their number of targets. A
/// request with a ticket is scheduled by the owner of the issuing group, so a fixed choice would
/// send all ticketed work to one owner.
fn draw_by_targets<T: Copy>(
    mut groups: Vec<(GroupIndex, Duration, T)>,
    step: &mut StepContext,
    view: CallView<'_>,
) -> Option<T> {
    let shortest = groups.iter().map(|(_, wait, _)| *wait).min()?;
    groups.retain(|(_, wait, _)| *wait <= shortest + EQUAL_WAIT_MARGIN);
    let targets = |group| view.groups.targets().in_group(group).count();
    let total: usize = groups.iter().map(|(group, ..)| targets(*group)).sum();
    let mut drawn = step.rng.random_range(0..total.max(1));
    for (group, _, choice) in &groups {
        let count = targets(*group);
        if drawn < count {
            return Some(*choice);
        }
        drawn -= count;
    }
    groups.first().map(|(_, _, choice)| *choice)
}

fn ticket_answer(tickets: &[RequestTicket]) -> CallerAnswer {
    let tickets: Vec<String> = tickets.iter().map(RequestTicket::to_string).collect();
    let body = serde_json::json!({ "tickets": tickets });
    CallerAnswer::new_done(200, Bytes::from(body.to_string()))
}
