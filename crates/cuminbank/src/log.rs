//! Numbered log events. `docs/EVENTS.md` lists every entry of [`CATALOGUE`].

/// Severity of a log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Expected event in normal operation.
    Info,
    /// Unexpected event that the scheduler handles itself.
    Warn,
    /// Event that an operator has to investigate.
    Error,
}

/// Kind of log event, with its number and severity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogCode {
    /// Number of the event, printed as `EV0101`.
    pub number: u16,
    /// Severity of the event.
    pub level: LogLevel,
    /// Description of what happened.
    pub summary: &'static str,
}

/// Log event with its details.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Kind of the event.
    pub code: LogCode,
    /// Names, ids and values of this event.
    pub detail: String,
}

macro_rules! catalogue {
    ($($name:ident = ($number:literal, $level:ident, $summary:literal);)*) => {
        $(
            #[doc = $summary]
            pub const $name: LogCode =
                LogCode { number: $number, level: LogLevel::$level, summary: $summary };
        )*
        /// All kinds of log events, in ascending order of their numbers.
        pub const CATALOGUE: &[LogCode] = &[$($name),*];
    };
}

// Number ranges: 01xx process, 02xx calls, 03xx batch tasks, 04xx groups and membership, 05xx
// configuration, 06xx day records, 07xx jobs on a pool of executors.
catalogue! {
    PROCESS_STARTED = (101, Info, "The process started.");
    DRAIN_STARTED = (102, Info, "A planned stop began.");
    DRAIN_ENDED = (103, Info, "A planned stop is complete.");
    CALL_OUTCOME_UNKNOWN = (201, Warn, "A call ended with an unknown outcome.");
    TARGET_QUARANTINED = (202, Warn, "A target was quarantined because calls on it fail.");
    TARGET_RELEASED = (203, Info, "A target was released from quarantine.");
    CONNECTION_SILENT = (204, Warn, "A connection was closed because it was silent for too long.");
    CALLS_INHERITED = (205, Info, "An executor runs calls of a previous owner; they keep their slots.");
    JOURNAL_LOADED = (301, Info, "The task ledger of a group was loaded from the store.");
    JOURNAL_FENCED = (302, Warn, "A journal write was refused because the group has a new owner.");
    TASK_EVICTED = (303, Info, "A task was evicted with its checkpoint.");
    TASK_RESUMED = (304, Info, "An evicted or interrupted task was started again.");
    TASK_FAILED = (305, Warn, "A task ended without a result.");
    TASK_ADOPTED = (306, Info, "A running attempt was adopted from the previous owner.");
    JOURNAL_UNREADABLE = (307, Error, "The task ledger of a group is incomplete or undecodable.");
    TASK_THROTTLED = (308, Info, "A task was throttled, or its throttling was lifted.");
    WORKER_QUARANTINED = (309, Warn, "A worker was quarantined because attempts on it fail.");
    TASK_DOUBLED = (310, Error, "A second result was reported for a finished task.");
    GROUP_ACQUIRED = (401, Info, "The instance became the owner of a group.");
    GROUP_RELEASED = (402, Info, "The instance released a group.");
    GROUP_LOST = (403, Warn, "The instance may no longer act for a group.");
    STORE_UNREACHABLE = (404, Error, "The store does not answer; promises of electors keep groups owned.");
    STORE_REACHABLE = (405, Info, "The store answers again.");
    TARGET_SUSPECT = (406, Warn, "A target does not answer and is suspect: it gets no new work.");
    TARGET_RECOVERED = (407, Info, "A suspect target answers again.");
    TARGET_LEAVING = (408, Info, "A target is leaving and gets no new work.");
    CONFIG_IN_FORCE = (501, Info, "A configuration change is in force.");
    CONFIG_REJECTED = (502, Error, "A committed profile is invalid and is not in force.");
    CONFIG_STARTED = (503, Info, "The configuration was read for the first time.");
    RECORD_SAVED = (601, Info, "A day record was saved.");
    RECORD_DELAYED = (602, Warn, "A day record could not be saved and will be retried.");
    JOB_ANSWERED = (701, Info, "A client's request for a job was answered.");
    JOB_LOADED = (702, Info, "The owner of a cell has loaded an accepted job.");
    JOB_CANCELLED = (703, Info, "A client cancelled a job.");
    JOB_ENDED = (704, Info, "A job ended with its outcome.");
    JOB_UNREADABLE = (705, Error, "A job record cannot be decoded.");
    RUN_STARTED = (711, Info, "An executor was ordered to start a run of a task.");
    RUN_REJECTED = (712, Warn, "An executor did not start a run.");
    RUN_STOPPED = (713, Info, "An executor was ordered to stop a run.");
    RUN_ENDED = (714, Info, "An executor reported the end of a run.");
    RUN_LOST = (715, Warn, "A run was given up because it is certain that it no longer runs.");
    RUN_ADOPTED = (716, Info, "An executor reported a run that a previous owner started.");
    RUN_UNKNOWN = (717, Warn, "An executor reported a run of a job that is not in the store.");
    RUN_STUCK = (718, Warn, "A run makes no progress and is being stopped.");
    GANG_WAITS = (719, Info, "A gang waits until all its members can be placed.");
    BEST_EFFORT_MOVED = (720, Info, "A best-effort task was moved away, as it slowed a latency-critical one.");
    ADVICE_REQUESTED = (721, Info, "The advice service was asked for tickets for a step.");
    ADVICE_GRANTED = (722, Info, "The advice service granted tickets for a step.");
    ADVICE_UNANSWERED = (723, Warn, "The advice service did not answer for a step.");
    TASK_WAITS = (724, Info, "A long-running task has been waiting for an executor.");
    EXECUTOR_LISTED = (731, Info, "The platform's list contains a new executor.");
    EXECUTOR_REACHED = (732, Info, "An executor answers.");
    EXECUTOR_UNREACHABLE = (733, Warn, "An executor does not answer and gets no new work.");
    EXECUTOR_LEASES_EXPIRED = (734, Warn, "All leases on an unreachable executor have expired.");
    EXECUTOR_RESTARTED = (735, Warn, "An executor was restarted under the same name.");
    EXECUTOR_DRAINING = (736, Info, "An executor is draining and gets no new work.");
    EXECUTOR_REMOVED = (737, Info, "An executor was removed from the pool.");
    ORDER_FOR_EARLIER_INCARNATION = (738, Warn, "An order was not sent, since its lease was for an earlier incarnation of the executor.");
    EPOCH_RAISED = (739, Info, "The owner of a cell raised its epoch, as executors had restarted or did not answer.");
    EXECUTOR_RETURNED = (740, Info, "A removed executor is listed again, and is fenced before it gets work.");
    OWNERSHIP_BEGAN = (741, Info, "The instance became the owner of a cell.");
    OWNERSHIP_RESUMED = (742, Info, "A cell's ownership record was restored in the same epoch.");
    OWNERSHIP_ENDED = (743, Warn, "The instance no longer owns a cell.");
    POOL_LOADED = (744, Info, "The new owner of a cell has loaded its records.");
    POOL_RECONCILED = (745, Info, "All runs of previous owners are reconciled.");
    PROGRESS_REFUSED = (746, Warn, "A progress write was refused because a comparison failed.");
    PROGRESS_UNANSWERED = (747, Warn, "A progress write got no answer and is sent again.");
    PREDECESSOR_ENDED = (748, Info, "The previous owner of a cell sends no more orders.");
    POOL_SUMMARIZED = (749, Info, "Periodic summary of the capacity, load and queue of a cell.");
    POOL_STORE_UNREACHABLE = (751, Warn, "The platform's store does not answer.");
    POOL_STORE_REACHABLE = (752, Info, "The platform's store answers again.");
    POOL_CONFIG_IN_FORCE = (753, Info, "A configuration of the pool is in force.");
    POOL_CONFIG_UNREADABLE = (754, Error, "A configuration of the pool is invalid.");
    SETTINGS_CHECKED = (755, Info, "The settings file was checked again.");
    LINES_DROPPED = (756, Warn, "Log lines were dropped because the reader is too slow.");
    STORE_UNREADABLE = (757, Error, "An item in the store cannot be decoded.");
    POOL_DIVIDED = (758, Info, "A division of the pool into cells was proposed or adopted.");
    STARTS_NOT_RELAYED = (759, Warn, "Another instance did not relay starts or report their results.");
    EVACUATIONS_IN_FORCE = (760, Info, "The zones under evacuation have changed.");
    ZONE_EVACUATED = (761, Info, "The owner of a cell starts nothing more in a zone under evacuation.");
    ZONE_REOPENED = (762, Info, "The evacuation of a zone was taken back.");
    POOL_FORMAT_CHANGED = (763, Info, "The format version of the pool, or what holds it back, has changed.");
    POOL_FORMAT_UNSUPPORTED = (764, Error, "The pool's records may have a newer format than this build reads; the instance serves nothing.");
    WATCH_FAILED = (765, Warn, "A watch of the platform's store got no usable reply.");
    POOL_CONFIG_READ_AGAIN = (766, Warn, "A request needed the configuration, which was not confirmed in time.");
    CONNECTIONS_BOUNDED = (767, Warn, "Connections are cut off or refused, since they need too much memory or are too many, or answers from outside are lost, since they are too large.");
    CONNECTIONS_UNBOUNDED = (768, Info, "No connection was cut off or refused, and no answer lost, for 10 s.");
    ADMISSION_REFUSED = (770, Warn, "Jobs of a queue are refused, as their cell has no room for them.");
    ADMISSION_RESUMED = (771, Info, "Jobs of a queue are no longer refused.");
    ROOM_KNOWN = (772, Info, "The room of a cell is known; submissions are admitted by it.");
    ROOM_UNKNOWN = (773, Info, "The room of a cell is not known; all submissions are admitted.");
    RESERVATION_MADE = (775, Info, "An executor was reserved for a waiting task.");
    RESERVATION_USED = (776, Info, "A task started on the executor reserved for it.");
    RESERVATION_ENDED = (777, Info, "A reservation of an executor was given up.");
    POOL_DIVISION_DERIVED = (780, Info, "A division of the pool was derived from the registered instances and proposed.");
    JOB_MOVED = (781, Info, "A waiting job moved to a cell with room.");
    JOB_MOVE_REFUSED = (782, Info, "A waiting job could not move to another cell and stays.");
    JOB_MOVE_UNANSWERED = (783, Warn, "The move of a job to another cell got no answer; it starts nowhere until the store tells.");
    CELL_HANDED_OVER = (784, Info, "The owner of a cell hands it over, since its link cannot carry the traffic.");
    CLEAR_ROOM_AMPLE = (785, Info, "Executors without latency-critical tasks have room for all best-effort work.");
    CLEAR_ROOM_SHORT = (786, Info, "Executors without latency-critical tasks lack room for some best-effort work.");
    WORK_REFUSED = (790, Warn, "Jobs of a queue are refused, as the owner of their cell has no memory for more accepted work.");
    WORK_ACCEPTED_AGAIN = (791, Info, "Jobs of a queue are no longer refused for lack of memory.");
}

impl LogRecord {
    /// Creates a log event of a kind with its details.
    pub fn new(code: LogCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into() }
    }
}
