//! Numbered log events. `docs/EVENTS.md` lists every entry of [`CATALOGUE`].

/// Severity of a log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Expected and worth knowing.
    Info,
    /// Unexpected, handled.
    Warn,
    /// Needs an operator.
    Error,
}

/// A kind of log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogCode {
    /// Number, printed as `EV0101`.
    pub number: u16,
    /// Severity.
    pub level: LogLevel,
    /// What happened.
    pub summary: &'static str,
}

/// A log event with its details.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Kind of event.
    pub code: LogCode,
    /// Names and figures of this occurrence.
    pub detail: String,
}

macro_rules! catalogue {
    ($($name:ident = ($number:literal, $level:ident, $summary:literal);)*) => {
        $(
            #[doc = $summary]
            pub const $name: LogCode =
                LogCode { number: $number, level: LogLevel::$level, summary: $summary };
        )*
        /// All kinds of log events, by number.
        pub const CATALOGUE: &[LogCode] = &[$($name),*];
    };
}

// Ranges: 01xx process, 02xx calls, 03xx batch tasks, 04xx groups and membership, 05xx
// configuration, 06xx day records, 07xx jobs on a pool of executors.
catalogue! {
    PROCESS_STARTED = (101, Info, "The process started.");
    DRAIN_STARTED = (102, Info, "A planned stop began.");
    DRAIN_ENDED = (103, Info, "The planned stop is complete.");
    CALL_OUTCOME_UNKNOWN = (201, Warn, "A call ended with an unknown outcome.");
    TARGET_QUARANTINED = (202, Warn, "A target was quarantined because it fails what it starts.");
    TARGET_RELEASED = (203, Info, "A target left quarantine.");
    CONNECTION_SILENT = (204, Warn, "A connection was silent for too long and was closed.");
    CALLS_INHERITED = (205, Info, "An executor runs calls of an earlier owner; they keep their slots.");
    JOURNAL_LOADED = (301, Info, "The task ledger of a group was loaded.");
    JOURNAL_FENCED = (302, Warn, "A journal write was refused because the group has a new owner.");
    TASK_EVICTED = (303, Info, "A task was evicted with its checkpoint.");
    TASK_RESUMED = (304, Info, "An evicted or interrupted task was started again.");
    TASK_FAILED = (305, Warn, "A task ended without a result.");
    TASK_ADOPTED = (306, Info, "A running attempt was adopted from the previous owner.");
    JOURNAL_UNREADABLE = (307, Error, "The task ledger of a group cannot be read.");
    TASK_THROTTLED = (308, Info, "A task was throttled or got its full share again.");
    WORKER_QUARANTINED = (309, Warn, "A worker was quarantined because it fails what it starts.");
    TASK_DOUBLED = (310, Error, "A second result was reported for a finished task.");
    GROUP_ACQUIRED = (401, Info, "The instance became the owner of a group.");
    GROUP_RELEASED = (402, Info, "The instance gave up a group.");
    GROUP_LOST = (403, Warn, "The instance may no longer act for a group.");
    STORE_UNREACHABLE = (404, Error, "The store does not answer; groups are kept by promises.");
    STORE_REACHABLE = (405, Info, "The store answers again.");
    TARGET_SUSPECT = (406, Warn, "A target does not answer and gets no new work.");
    TARGET_RECOVERED = (407, Info, "A suspect target answers again.");
    TARGET_LEAVING = (408, Info, "A target is leaving and gets no new work.");
    CONFIG_IN_FORCE = (501, Info, "A change of configuration is in force.");
    CONFIG_REJECTED = (502, Error, "A committed profile is not valid and is not in force.");
    CONFIG_STARTED = (503, Info, "The first configuration was read.");
    RECORD_SAVED = (601, Info, "A day record was saved.");
    RECORD_DELAYED = (602, Warn, "A day record could not be saved and is kept for the next try.");
    JOB_ANSWERED = (701, Info, "A client's request for a job was answered.");
    JOB_LOADED = (702, Info, "The owner of the pool has read an accepted job.");
    JOB_CANCELLED = (703, Info, "A client has cancelled a job.");
    JOB_ENDED = (704, Info, "A job has its outcome.");
    JOB_UNREADABLE = (705, Error, "A record of a job cannot be read.");
    RUN_STARTED = (711, Info, "A run of a task was ordered.");
    RUN_REJECTED = (712, Warn, "An executor did not start a run.");
    RUN_STOPPED = (713, Info, "A run was ordered to stop.");
    RUN_ENDED = (714, Info, "An executor has listed the end of a run.");
    RUN_LOST = (715, Warn, "A run was given up because it surely runs no more.");
    RUN_ADOPTED = (716, Info, "A run of an earlier owner was found on an executor.");
    RUN_UNKNOWN = (717, Warn, "An executor names a run of a job that the store does not have.");
    RUN_STUCK = (718, Warn, "A run makes no progress and is stopped.");
    GANG_WAITS = (719, Info, "A gang waits for room for all its members.");
    BEST_EFFORT_MOVED = (720, Info, "A filling task is moved away from a serving task that it disturbs.");
    ADVICE_ASKED = (721, Info, "The advice service was asked about a step.");
    ADVICE_GIVEN = (722, Info, "The advice service has given tickets for a step.");
    ADVICE_MISSING = (723, Warn, "The advice service has no answer for a step.");
    TASK_WAITS = (724, Info, "A lasting task has waited for an executor for some time.");
    EXECUTOR_LISTED = (731, Info, "The list names a new executor.");
    EXECUTOR_REACHED = (732, Info, "An executor answers.");
    EXECUTOR_UNREACHABLE = (733, Warn, "An executor does not answer and gets no new work.");
    EXECUTOR_LAPSED = (734, Warn, "The leases of an executor out of reach have ended.");
    EXECUTOR_RESTARTED = (735, Warn, "An executor has begun a new life under its name.");
    EXECUTOR_DRAINING = (736, Info, "An executor drains and gets no new work.");
    EXECUTOR_GONE = (737, Info, "An executor was forgotten.");
    OWNERSHIP_BEGAN = (741, Info, "The instance became the owner of a cell of the pool.");
    OWNERSHIP_RESUMED = (742, Info, "The owner's record stands again in the same epoch.");
    OWNERSHIP_ENDED = (743, Warn, "The instance no longer owns a cell of the pool.");
    POOL_LOADED = (744, Info, "The owner has read the records of the pool.");
    POOL_RECONCILED = (745, Info, "All runs of earlier owners are accounted for.");
    PROGRESS_REFUSED = (746, Warn, "A write of progress was refused by its conditions.");
    PROGRESS_UNANSWERED = (747, Warn, "A write of progress has no answer and is sent again.");
    PREDECESSOR_ENDED = (748, Info, "The owner before gives no more orders.");
    POOL_SURVEYED = (749, Info, "Room, work and queue of a cell.");
    POOL_STORE_UNREACHABLE = (751, Warn, "The platform's store does not answer.");
    POOL_STORE_REACHABLE = (752, Info, "The platform's store answers again.");
    POOL_CONFIG_IN_FORCE = (753, Info, "A configuration of the pool is in force.");
    POOL_CONFIG_UNREADABLE = (754, Error, "A configuration of the pool cannot be read.");
    SETTINGS_CHECKED = (755, Info, "The settings file was checked again.");
    LINES_DROPPED = (756, Warn, "Log lines were dropped because the reader is too slow.");
    STORE_UNREADABLE = (757, Error, "An item of the store cannot be read.");
    POOL_DIVIDED = (758, Info, "The division of the pool into cells was proposed or taken.");
    STARTS_NOT_RELAYED = (759, Warn, "Another instance did not send starts, or did not say what came of them.");
}

impl LogRecord {
    /// Creates a log event.
    pub fn new(code: LogCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into() }
    }
}
