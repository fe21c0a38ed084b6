//! Refusals: the reason, whether the request ran, and when to come back.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestExecution {
    /// The request had no effect and can be sent again.
    NotRun,
    /// The request took effect.
    Ran,
    /// The request may or may not have taken effect.
    Unknown,
}

impl RequestExecution {
    /// Returns the stable text that callers and logs see.
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
        /// The reason for a refusal. Codes and SQLSTATEs are stable.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalReason {
            $($(#[$meta])* $variant,)*
        }

        impl RefusalReason {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the stable code used in details, logs and counters.
            pub const fn code(self) -> &'static str {
                match self { $(Self::$variant => $code,)* }
            }

            /// Returns the SQLSTATE sent to the caller.
            pub const fn sqlstate(self) -> &'static str {
                match self { $(Self::$variant => $sqlstate,)* }
            }

            /// Returns one plain sentence for people without a technical background.
            pub const fn sentence(self) -> &'static str {
                match self { $(Self::$variant => $sentence,)* }
            }
        }
    };
}

refusal_reasons! {
    /// The workspace has used up its rate and burst.
    RateExceeded => "rate_exceeded", "53400",
        "The workspace sent more requests than its agreed rate allows.";
    /// No database connection came free in time.
    QueueTimeout => "queue_timeout", "53300",
        "All connections to the database were busy for too long.";
    /// The queue for the database is full.
    QueueFull => "queue_full", "53300",
        "Too many requests were already waiting for the database.";
    /// The service has no primary at present.
    NoPrimary => "no_primary", "57P03",
        "The main database was being replaced, so nothing could be written.";
    /// No database that holds the session's own writes could be reached in time.
    PositionUnreachable => "position_unreachable", "57P03",
        "No reachable database held the caller's own latest changes yet.";
    /// The primary's position at session start could not be learnt.
    FloorUnknown => "floor_unknown", "57P03",
        "It could not be confirmed which changes the caller must be able to see.";
    /// The database closed the connection before it answered.
    DatabaseLost => "database_lost", "08006",
        "The database went away while it was working on the request.";
    /// A request with this identity has run before.
    AlreadyRan => "already_ran", "23505",
        "The same request had already been carried out, so it was not carried out again.";
    /// The answer to a commit was lost.
    OutcomeUnknown => "outcome_unknown", "08007",
        "The database went away before it confirmed the change.";
    /// The key is not known or has been withdrawn.
    KeyRefused => "key_refused", "28P01",
        "The key that was presented is not valid.";
    /// The key was withdrawn while the caller was connected.
    KeyWithdrawn => "key_withdrawn", "57P01",
        "The key was withdrawn while the caller was connected.";
    /// The workspace may not use this service.
    ServiceForbidden => "service_forbidden", "42501",
        "The workspace is not allowed to use this database service.";
    /// No route has the database name that the caller asked for.
    UnknownRoute => "unknown_route", "3D000",
        "The caller asked for a database name that the configuration does not know.";
    /// The VM does not know at present which database is the primary.
    LeadershipUnconfirmed => "leadership_unconfirmed", "57P03",
        "It could not be confirmed which database was the main one.";
    /// No answer came within the time for one statement.
    StatementTimeout => "statement_timeout", "57014",
        "The database did not answer within the time that is allowed for one request.";
    /// The read kind is not declared for the service.
    UnknownReadKind => "unknown_read_kind", "22023",
        "The request named a kind of read that the configuration does not know.";
    /// The request contains the session's key.
    KeyInRequest => "key_in_request", "42501",
        "The request contained the caller's own key, which must never reach a database.";
    /// The statement needs session state that pooling cannot keep.
    SessionState => "session_state", "0A000",
        "The request needed a lasting database connection, and none can be reserved.";
    /// The message broke the protocol.
    ProtocolViolation => "protocol_violation", "08P01",
        "The caller's software sent a message that could not be understood.";
    /// The VM is shutting down.
    VmDraining => "vm_draining", "57P01",
        "This server is being shut down in an orderly way.";
    /// The VM has no configuration yet.
    NotReady => "not_ready", "57P03",
        "This server has not received its configuration yet.";
    /// The transaction was rolled back by an earlier refusal.
    TransactionAborted => "transaction_aborted", "25P02",
        "An earlier step of the same transaction failed, so all of it was undone.";
    /// A setting's value is not valid.
    InvalidSetting => "invalid_setting", "22023",
        "The request carried a setting with a value that is not valid.";
    /// Too many callers are connected to this VM.
    TooManyCallers => "too_many_callers", "53300",
        "This server already has as many callers as it can hold.";
}

/// The final answer to a request that was given up on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Whether the request had an effect.
    pub execution: RequestExecution,
    /// How long the caller should wait before it tries again; `None` when
    /// trying again cannot help.
    pub retry_after: Option<Duration>,
    /// What happened, for the caller's log.
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

    /// Creates a refusal of a request whose effect is not known.
    pub fn unknown(reason: RefusalReason, message: impl Into<String>) -> Self {
        let message = message.into();
        Self {
            reason,
            execution: RequestExecution::Unknown,
            retry_after: None,
            message,
        }
    }

    /// Sets the time after which the caller should come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the machine-readable detail line sent with the SQLSTATE.
    pub fn detail(&self) -> String {
        let reason = self.reason.code();
        let execution = self.execution.as_str();
        match self.retry_after {
            Some(wait) => {
                let wait_ms = wait.as_millis().max(1);
                format!("reason={reason} execution={execution} retry_after_ms={wait_ms}")
            }
            None => format!("reason={reason} execution={execution}"),
        }
    }
}
