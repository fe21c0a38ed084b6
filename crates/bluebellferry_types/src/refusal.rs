//! The error answer to a refused request: the reason, whether the request took effect, and when
//! to retry it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestExecution {
    /// The request had no effect, so the caller can safely retry it.
    NotRun,
    /// The request took effect.
    Ran,
    /// The request may or may not have taken effect.
    Unknown,
}

impl RequestExecution {
    /// Returns the stable text for the detail line of an error, for logs and for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! refusal_reasons {
    ($($(#[$meta:meta])* $variant:ident => $code:literal, $sqlstate:literal, $sentence:literal;)*) => {
        /// The reason for a refusal. The codes and SQLSTATEs are stable, so callers may match on
        /// them.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalReason {
            $($(#[$meta])* $variant,)*
        }

        impl RefusalReason {
            /// All reasons, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the stable code for the detail line of an error, for logs and for metrics.
            pub const fn code(self) -> &'static str {
                match self { $(Self::$variant => $code,)* }
            }

            /// Returns the SQLSTATE sent to the caller.
            pub const fn sqlstate(self) -> &'static str {
                match self { $(Self::$variant => $sqlstate,)* }
            }

            /// Returns one sentence that explains the reason to non-technical readers.
            pub const fn sentence(self) -> &'static str {
                match self { $(Self::$variant => $sentence,)* }
            }
        }
    };
}

refusal_reasons! {
    /// The workspace exceeded its rate limit and has no burst tokens left.
    RateExceeded => "rate_exceeded", "53400",
        "The workspace sent more requests than its agreed rate allows.";
    /// No database connection became free before the wait limit.
    QueueTimeout => "queue_timeout", "53300",
        "All connections to the database were busy for too long.";
    /// The queue of requests that wait for a connection to the database is full.
    QueueFull => "queue_full", "53300",
        "Too many requests were already waiting for the database.";
    /// The service currently has no primary, for example during a failover.
    NoPrimary => "no_primary", "57P03",
        "The main database was being replaced, so nothing could be written.";
    /// No reachable database replayed the log up to the session's floor in time.
    PositionUnreachable => "position_unreachable", "57P03",
        "No reachable database held the caller's own latest changes yet.";
    /// The primary's log position at session start, which is the session's first floor, could not
    /// be determined.
    FloorUnknown => "floor_unknown", "57P03",
        "It could not be confirmed which changes the caller must be able to see.";
    /// The database closed the connection before it answered the request.
    DatabaseLost => "database_lost", "08006",
        "The database went away while it was working on the request.";
    /// A request with the same request id was already executed.
    AlreadyRan => "already_ran", "23505",
        "The same request had already been carried out, so it was not carried out again.";
    /// The answer to a commit was lost, so it is unknown whether the commit took effect.
    OutcomeUnknown => "outcome_unknown", "08007",
        "The database went away before it confirmed the change.";
    /// The API key is unknown or has been withdrawn.
    KeyRefused => "key_refused", "28P01",
        "The key that was presented is not valid.";
    /// The API key was withdrawn while the caller was connected.
    KeyWithdrawn => "key_withdrawn", "57P01",
        "The key was withdrawn while the caller was connected.";
    /// The workspace is not authorised to use this service.
    ServiceForbidden => "service_forbidden", "42501",
        "The workspace is not allowed to use this database service.";
    /// No route matches the database name in the caller's startup message.
    UnknownRoute => "unknown_route", "3D000",
        "The caller asked for a database name that the configuration does not know.";
    /// The VM cannot currently confirm which database is the primary.
    LeadershipUnconfirmed => "leadership_unconfirmed", "57P03",
        "It could not be confirmed which database was the main one.";
    /// The database did not answer within the statement timeout.
    StatementTimeout => "statement_timeout", "57014",
        "The database did not answer within the time that is allowed for one request.";
    /// The configuration defines no read kind of this name for the service.
    UnknownReadKind => "unknown_read_kind", "22023",
        "The request named a kind of read that the configuration does not know.";
    /// The text of the request contains the API key of the session.
    KeyInRequest => "key_in_request", "42501",
        "The request contained the caller's own key, which must never reach a database.";
    /// The statement needs session state on the database connection, which pooled connections
    /// don't preserve between statements.
    SessionState => "session_state", "0A000",
        "The request needed a lasting database connection, and none can be reserved.";
    /// The caller sent a message that violates the protocol.
    ProtocolViolation => "protocol_violation", "08P01",
        "The caller's software sent a message that could not be understood.";
    /// The VM is draining its sessions before it shuts down.
    VmDraining => "vm_draining", "57P01",
        "This server is being shut down in an orderly way.";
    /// The VM has not loaded a configuration yet.
    NotReady => "not_ready", "57P03",
        "This server has not received its configuration yet.";
    /// The transaction was rolled back when an earlier statement in it was refused.
    TransactionAborted => "transaction_aborted", "25P02",
        "An earlier step of the same transaction failed, so all of it was undone.";
    /// A setting in the request has an invalid value.
    InvalidSetting => "invalid_setting", "22023",
        "The request carried a setting with a value that is not valid.";
    /// The route and the workspace allow no database that could run the request.
    OutsideHomes => "outside_homes", "57P03",
        "The request must stay in its home regions, and no database there could serve it.";
    /// Every database that could run the request is in a data centre that is being evacuated.
    Evacuated => "evacuated", "57P03",
        "The data centres that could serve the request are being emptied by their operators.";
    /// A database that has just started or recovered takes only a limited number of requests.
    DatabaseWarmingUp => "database_warming_up", "53300",
        "The database has just started and takes only a few requests until it is up to speed.";
    /// No database accepted the session's settings and prepared statements.
    SetupRefused => "setup_refused", "57P03",
        "No database accepted the settings or the prepared statement of the caller's session.";
    /// The VM reached its limit of connected callers.
    TooManyCallers => "too_many_callers", "53300",
        "This server already has as many callers as it can hold.";
}

/// The error answer to a request that the proxy stopped processing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// The reason, which determines the code, SQLSTATE and sentence.
    pub reason: RefusalReason,
    /// Whether the request took effect.
    pub execution: RequestExecution,
    /// How long the caller should wait before it retries; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
    /// The error message for the caller's log, with the particulars of this request.
    pub message: String,
}

impl RequestRefusal {
    /// Creates a refusal of a request that had no effect.
    pub fn not_run(reason: RefusalReason, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            reason,
            execution: RequestExecution::NotRun,
            retry_after: None,
            message,
        }
    }

    /// Creates a refusal of a request that may or may not have taken effect.
    pub fn unknown(reason: RefusalReason, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            reason,
            execution: RequestExecution::Unknown,
            retry_after: None,
            message,
        }
    }

    /// Sets how long the caller should wait before it retries.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the machine-readable detail line that is sent along with the SQLSTATE.
    pub fn detail(&self) -> String {
        let reason = self.reason.code();
        let execution = self.execution.as_str();
        match self.retry_after {
            Some(delay) => {
                let delay_ms = delay.as_millis().max(1);
                format!("reason={reason} execution={execution} retry_after_ms={delay_ms}")
            }
            None => format!("reason={reason} execution={execution}"),
        }
    }
}
