//! Batch tasks: journal, attempts, worker leases and evictions.
//!
//! Each group of a zone has one owning instance, which keeps the task ledger of the group and runs
//! its tasks on the workers of the group. Requests that arrive at another instance are forwarded to
//! the owner.

pub mod group;
pub mod journal;
pub mod queue;
pub mod renewing;
pub mod sizes;
pub mod workers;

mod eviction;
mod loading;
mod queries;
mod refused_tickets;
mod segment;
mod snapshot;
mod starting;

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    effect::{CallerAnswer, EntryEffect},
    event::{ExchangeError, ListedRole, TaskQuery, TaskSubmission},
    ids::{ExchangeId, GroupIndex, MonotonicTime, ReplyId, RequestTicket, ZoneName},
    ledger::TaskId,
    message::{PeerReply, PeerRequest},
    settings::EntrySettings,
    store::StoreReply,
    worker::{ResourceSize, WorkerReply},
};

use self::group::{GroupView, TaskGroup, TaskModels, TaskWaiter};

use super::{
    groups::{GroupChange, GroupPart},
    records::RecordPart,
    step::{ReducerPart, StepContext},
    TaskView, TRANSIT_BOUND,
};

// Must exceed the time for which the owner may delay its answer to a submission.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_UNOWNED: Duration = Duration::from_secs(1);

/// A request that was forwarded to the owner of the group that issued its ticket.
#[derive(Clone, Copy, Debug)]
struct ForwardedRequest {
    reply: ReplyId,
    /// Whether the request changes state, so that its outcome is unknown if the answer is lost.
    changes_state: bool,
    /// Whether the request submits a task. Only the owner can make a refusal final for its ticket,
    /// so the outcome of a submission without an answer is unknown: a copy of it may still be
    /// accepted.
    is_submission: bool,
}

/// Batch task part of the reducer: the tasks of the groups that this instance owns, and requests
/// forwarded to other owners.
#[derive(Debug)]
pub struct TaskPart {
    zone: ZoneName,
    groups: BTreeMap<GroupIndex, TaskGroup>,
    models: TaskModels,
    forwards: HashMap<ExchangeId, ForwardedRequest>,
}

/// Calls a function with read access to the other parts, restricted to what one group needs.
fn with_group_view<R>(
    view: TaskView<'_>,
    now: MonotonicTime,
    group: GroupIndex,
    run: impl FnOnce(&GroupView<'_>) -> R,
) -> R {
    run(&GroupView {
        authority_until: view.groups.authority_until(group, now),
        profile: &|name| view.config.profile(name),
        classes_on: &|machine| view.calls.classes_on(machine),
        fits_any_worker: &|size| fits_any_worker(view.groups, size),
    })
}

/// Returns whether some worker of the zone is large enough; `None` if no worker is known.
fn fits_any_worker(groups: &GroupPart, size: &ResourceSize) -> Option<bool> {
    let mut fits = None;
    for target in groups.targets().targets.values() {
        let ListedRole::Worker { size: worker_size } = &target.role else { continue };
        if size.fits(worker_size) {
            return Some(true);
        }
        fits = Some(false);
    }
    fits
}

impl TaskPart {
    /// Creates the part, without any group.
    pub fn new(settings: &EntrySettings) -> Self {
        Self {
            zone: settings.zone.clone(),
            groups: BTreeMap::new(),
            models: TaskModels::default(),
            forwards: HashMap::new(),
        }
    }

    /// Handles a submission of a caller, or forwards it if this instance does not own the group
    /// that issued the ticket.
    pub fn on_submission(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        reply: ReplyId,
        submission: TaskSubmission,
    ) {
        let waiter = TaskWaiter { reply, from_peer: false };
        if self.may_act(step, view, &submission.ticket) {
            return self.submit(step, view, records, waiter, submission);
        }
        let ticket = submission.ticket.clone();
        let request = PeerRequest::ForwardTask(submission);
        self.forward(
            step,
            view,
            &ticket,
            request,
            ForwardedRequest { reply, changes_state: true, is_submission: true },
        );
    }

    /// Handles a submission that a peer forwarded. Answers `NotOwner` if this instance has no
    /// authority over the group that issued the ticket.
    pub fn on_forwarded_submission(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        reply: ReplyId,
        submission: TaskSubmission,
    ) {
        if !self.may_act(step, view, &submission.ticket) {
            return step.push(EntryEffect::AnswerPeer { reply, answer: PeerReply::NotOwner });
        }
        self.submit(step, view, records, TaskWaiter { reply, from_peer: true }, submission);
    }

    fn submit(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        waiter: TaskWaiter,
        submission: TaskSubmission,
    ) {
        let index = submission.ticket.group;
        let Some(group) = self.groups.get_mut(&index) else { return };
        with_group_view(view, step.now(), index, |view| {
            group.submit(step, view, waiter, submission)
        });
        self.count_samples(records);
    }

    /// Handles a status, result or cancel request of a caller.
    pub fn on_query(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        reply: ReplyId,
        ticket: RequestTicket,
        query: TaskQuery,
    ) {
        if self.may_act(step, view, &ticket) {
            return self.answer_query(step, TaskWaiter { reply, from_peer: false }, &ticket, query);
        }
        let changes_state = query == TaskQuery::Cancel;
        let request = PeerRequest::ForwardQuery(ticket.clone(), query);
        self.forward(
            step,
            view,
            &ticket,
            request,
            ForwardedRequest { reply, changes_state, is_submission: false },
        );
    }

    /// Handles a status, result or cancel request that a peer forwarded.
    pub fn on_forwarded_query(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        reply: ReplyId,
        ticket: RequestTicket,
        query: TaskQuery,
    ) {
        if !self.may_act(step, view, &ticket) {
            return step.push(EntryEffect::AnswerPeer { reply, answer: PeerReply::NotOwner });
        }
        self.answer_query(step, TaskWaiter { reply, from_peer: true }, &ticket, query);
    }

    fn answer_query(
        &mut self,
        step: &mut StepContext,
        waiter: TaskWaiter,
        ticket: &RequestTicket,
        query: TaskQuery,
    ) {
        let Some(group) = self.groups.get_mut(&ticket.group) else { return };
        group.query(step, waiter, TaskId::of(ticket), query);
    }

    /// Returns whether this instance owns the group that issued a ticket and has authority over it.
    fn may_act(&self, step: &StepContext, view: TaskView<'_>, ticket: &RequestTicket) -> bool {
        ticket.zone == self.zone
            && self.groups.contains_key(&ticket.group)
            && view.groups.authority_until(ticket.group, step.now()).is_some()
    }

    fn forward(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        ticket: &RequestTicket,
        request: PeerRequest,
        forwarded: ForwardedRequest,
    ) {
        let Some((to, _)) = view.groups.owner_of(&ticket.zone, ticket.group, step.now()) else {
            let reason = "the home of the task is not known";
            let answer = match forwarded.is_submission {
                true => CallerAnswer::new_unknown(reason),
                false => CallerAnswer::new_busy(reason, RETRY_UNOWNED),
            };
            return step.answer(forwarded.reply, answer);
        };
        let exchange = step.begin_exchange(ReducerPart::Tasks);
        self.forwards.insert(exchange, forwarded);
        step.push(EntryEffect::CallPeer { exchange, to, request, timeout: FORWARD_TIMEOUT });
    }

    /// Handles the result of a forwarded request and answers its caller.
    pub fn on_peer_ended(
        &mut self,
        step: &mut StepContext,
        _records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<PeerReply, ExchangeError>,
    ) {
        let Some(forwarded) = self.forwards.remove(&exchange) else { return };
        let busy = || CallerAnswer::new_busy("the home of the task did not answer", RETRY_UNOWNED);
        let answer = match result {
            Ok(PeerReply::Answer(answer)) => answer,
            Err(ExchangeError::Lost) if forwarded.changes_state => {
                CallerAnswer::new_unknown("the home of the task did not answer")
            }
            Ok(_) | Err(_) if forwarded.is_submission => {
                CallerAnswer::new_unknown("the home of the task could not be reached")
            }
            Ok(_) | Err(_) => busy(),
        };
        step.answer(forwarded.reply, answer);
    }

    /// Handles the result of a worker request.
    pub fn on_worker_ended(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<WorkerReply, ExchangeError>,
    ) {
        self.offer_result(step, view, records, |group, step, view, models| {
            group.on_worker_ended(step, view, models, exchange, &result)
        });
    }

    /// Handles the result of a store request.
    pub fn on_store_ended(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        exchange: ExchangeId,
        result: Result<StoreReply, ExchangeError>,
    ) {
        self.offer_result(step, view, records, |group, step, view, _| {
            group.on_store_ended(step, view, exchange, &result)
        });
    }

    /// Passes the result of an exchange to the groups in turn until one of them accepts it as its
    /// own.
    fn offer_result(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
        handle: impl Fn(&mut TaskGroup, &mut StepContext, &GroupView<'_>, &mut TaskModels) -> bool,
    ) {
        let models = &mut self.models;
        for (index, group) in &mut self.groups {
            if with_group_view(view, step.now(), *index, |view| handle(group, step, view, models)) {
                break;
            }
        }
        self.count_samples(records);
    }

    /// Handles a change of ownership of a group, or of a target.
    pub fn on_group_change(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        change: &GroupChange,
    ) {
        match change {
            GroupChange::Acquired { group, epoch, probe_from, .. } => {
                self.close_group(step, *group);
                let (now, zone) = (step.now(), self.zone.clone());
                let state = TaskGroup::new(&zone, *group, *epoch, now, *probe_from);
                self.open_group(step, view, *group, state);
            }
            GroupChange::Lost { group } => self.close_group(step, *group),
            GroupChange::TargetChanged { name } => self.change_target(step, view, name),
            GroupChange::TargetEnded { name, group } => {
                if let Some(group) = self.groups.get_mut(group) {
                    group.on_target_ended(name);
                }
            }
            GroupChange::Drained => {}
        }
    }

    fn open_group(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        index: GroupIndex,
        mut group: TaskGroup,
    ) {
        let targets = view.groups.targets();
        with_group_view(view, step.now(), index, |view| {
            for (_, target) in targets.in_group(index) {
                if matches!(target.role, ListedRole::Worker { .. }) {
                    group.on_target(step, view, target);
                }
            }
        });
        self.groups.insert(index, group);
    }

    fn close_group(&mut self, step: &mut StepContext, index: GroupIndex) {
        if let Some(mut group) = self.groups.remove(&index) {
            group.close(step);
        }
    }

    fn change_target(&mut self, step: &mut StepContext, view: TaskView<'_>, name: &str) {
        let Some((_, target)) = view.groups.targets().by_name(name) else { return };
        let ListedRole::Worker { .. } = target.role else { return };
        let Some(group) = self.groups.get_mut(&target.group) else { return };
        with_group_view(view, step.now(), target.group, |view| group.on_target(step, view, target));
    }

    /// Runs the periodic work of all groups: journal writes, starts, lease renewals, throttles and
    /// evictions. Also reopens groups whose ledger was dropped.
    pub fn on_tick(
        &mut self,
        step: &mut StepContext,
        view: TaskView<'_>,
        records: &mut RecordPart,
    ) {
        self.reopen_fenced(step, view);
        let models = &mut self.models;
        for (index, group) in &mut self.groups {
            with_group_view(view, step.now(), *index, |view| group.on_tick(step, view, models));
        }
        self.count_samples(records);
    }

    /// Reopens groups whose ledger was dropped, if this instance still owns them under the same
    /// epoch. The attempts that it started before count as started by a previous owner. Requests
    /// sent just before the drop arrive within the send window of a worker and the transit time, so
    /// workers are contacted only after that.
    fn reopen_fenced(&mut self, step: &mut StepContext, view: TaskView<'_>) {
        let now = step.now();
        let fenced: Vec<_> = self
            .groups
            .iter()
            .filter(|(index, group)| {
                group.may_reopen(now)
                    && view.groups.epoch(**index) == Some(group.epoch())
                    && view.groups.authority_until(**index, now).is_some()
            })
            .map(|(index, group)| (*index, group.epoch()))
            .collect();
        for (index, epoch) in fenced {
            let refused = self.groups.get_mut(&index).map(TaskGroup::take_refused);
            let state = TaskGroup::new(&self.zone, index, epoch, now, now + 2 * TRANSIT_BOUND)
                .with_reopened()
                .with_refused(refused.unwrap_or_default());
            self.open_group(step, view, index, state);
        }
    }

    fn count_samples(&mut self, records: &mut RecordPart) {
        for group in self.groups.values_mut() {
            for sample in group.take_samples() {
                let (profile, customer) = (&sample.profile, &sample.customer);
                records.count_task(profile, customer, sample.event, sample.elapsed);
            }
        }
    }

    /// Returns the predicted slowdown factor of a latency-critical class next to the tasks now
    /// running on a machine; 1.0 is none.
    pub fn slowdown(&self, machine: &str, class: &str) -> f64 {
        let groups = self.groups.values();
        groups.map(|group| group.slowdown_on(&self.models, machine, class)).fold(1.0, f64::max)
    }

    /// Returns the status of the part for operators, as JSON.
    pub fn status(&self, now: MonotonicTime) -> serde_json::Value {
        let groups: Vec<_> = self.groups.values().map(|group| group.status(now)).collect();
        serde_json::json!({ "groups": groups, "forwarded": self.forwards.len() })
    }
}
