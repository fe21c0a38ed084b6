//! What sessions, waiting requests and logins get after keys or documents have changed: each cell of
//! the second table in docs/design/access.md, without I/O.

use std::sync::Arc;
use std::time::Duration;

use bluebellferry_document::check;
use bluebellferry_document::hash;
use bluebellferry_keys::digest;
use bluebellferry_keys::table;
use bluebellferry_proxy::session::access;
use bluebellferry_proxy::settings;
use bluebellferry_proxy::shared;
use bluebellferry_proxy::snapshot;
use bluebellferry_types::name;
use bluebellferry_types::refusal;
use refusal::RefusalReason as Reason;

const KEY: &str = "key-of-families";
const SERVICE: &str = "rental-core";

/// The owner of the key and the services of the workspaces in a version.
#[derive(Debug, Clone, Copy)]
struct AccessVersion {
    owner: Option<&'static str>,
    families: &'static [&'static str],
    counter: &'static [&'static str],
    is_keyless: bool,
}

const BOTH: &[&str] = &[SERVICE, "repairs"];
const FIRST: AccessVersion = AccessVersion {
    owner: Some("families"),
    families: BOTH,
    counter: BOTH,
    is_keyless: false,
};
const WITHDRAWN: AccessVersion = AccessVersion {
    owner: None,
    ..FIRST
};
const PASSED_ON: AccessVersion = AccessVersion {
    owner: Some("counter"),
    ..FIRST
};
const SERVICE_TAKEN: AccessVersion = AccessVersion {
    families: &["repairs"],
    ..FIRST
};

/// A change under an open session: the newest version, what the session gets, and for which
/// workspace a login with its key is accepted.
struct AccessCase {
    name: &'static str,
    newest: AccessVersion,
    session: Option<Reason>,
    login: Result<&'static str, Reason>,
}

#[rustfmt::skip]
const CASES: [AccessCase; 8] = [
    AccessCase { name: "nothing, or all given back", newest: FIRST, session: None, login: Ok("families") },
    AccessCase { name: "key withdrawn", newest: WITHDRAWN,
        session: Some(Reason::KeyWithdrawn), login: Err(Reason::KeyRefused) },
    AccessCase { name: "key passes on", newest: PASSED_ON,
        session: Some(Reason::KeyWithdrawn), login: Ok("counter") },
    AccessCase { name: "service taken", newest: SERVICE_TAKEN,
        session: Some(Reason::ServiceForbidden), login: Err(Reason::ServiceForbidden) },
    AccessCase { name: "key withdrawn, service taken", newest: AccessVersion { owner: None, ..SERVICE_TAKEN },
        session: Some(Reason::KeyWithdrawn), login: Err(Reason::KeyRefused) },
    AccessCase { name: "key passes on, service taken", newest: AccessVersion { families: &["repairs"], ..PASSED_ON },
        session: Some(Reason::KeyWithdrawn), login: Ok("counter") },
    AccessCase { name: "key passes on to a workspace without the service",
        newest: AccessVersion { counter: &["repairs"], ..PASSED_ON },
        session: Some(Reason::KeyWithdrawn), login: Err(Reason::ServiceForbidden) },
    AccessCase { name: "workspace becomes keyless", newest: AccessVersion { is_keyless: true, ..FIRST },
        session: None, login: Ok("families") },
];

fn workspace(text: &str) -> name::WorkspaceName {
    name::WorkspaceName::try_from(text).expect("a valid name")
}

fn snapshot_of(version: AccessVersion) -> snapshot::ControlSnapshot {
    let service = serde_json::json!({"connections": 20, "slots": 4, "reads": {}});
    let workspace_value = |services: &[&str], is_keyless: bool| {
        let mut value = serde_json::json!({"services": services, "rate_per_second": 100,
            "burst": 100, "weight": 1});
        if is_keyless {
            value["open"] = true.into();
        }
        value
    };
    let text = serde_json::json!({"format": 1, "data_centres": {"amman": {"vms": 1}},
        "services": {SERVICE: service, "repairs": service},
        "workspaces": {"families": workspace_value(version.families, version.is_keyless),
            "counter": workspace_value(version.counter, false)}})
    .to_string();
    let document = check::parse_document(text.as_bytes()).expect("the document is valid");
    let active = snapshot::ActiveDocument {
        document,
        version: 1,
        hash: hash::DocumentHash::compute(text.as_bytes()),
    };
    let mut keys = table::KeyTable::default();
    if let Some(owner) = version.owner {
        keys.replace_workspace(&workspace(owner), 1, vec![digest::KeyDigest::compute(KEY)]);
    }
    snapshot::ControlSnapshot {
        active_document: Some(Arc::new(active)),
        keys: Arc::new(keys),
        ..snapshot::ControlSnapshot::default()
    }
}

fn identity() -> Arc<access::SessionIdentity> {
    Arc::new(access::SessionIdentity {
        workspace: workspace("families"),
        service: name::ServiceName::try_from(SERVICE).expect("a valid name"),
        digest: Some(digest::KeyDigest::compute(KEY)),
        key: KEY.into(),
    })
}

fn shared_with(snapshot: snapshot::ControlSnapshot) -> Arc<shared::ProxyShared> {
    let value = serde_json::json!({
        "vm": "amman-0", "environment": "trial", "data_centre": "amman", "ordinal": 0,
        "listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2", "peer_listen": "127.0.0.1:3",
        "store": "127.0.0.1:4", "database_account": {"user": "proxy", "password": "secret"},
        "peer_secret": "a secret of sixteen bytes"
    });
    let wire = serde_json::from_value::<settings::ProxySettingsWire>(value);
    let settings = settings::ProxySettings::try_from(wire.expect("the fields are there"));
    let settings = settings.expect("the settings are valid");
    let shared = shared::ProxyShared::new(settings, 1).expect("the metric names are unique");
    shared.replace_snapshot(snapshot);
    shared
}

/// Guards against refusals that name another cause: a session whose service was taken away was told
/// that its key had been withdrawn.
#[test]
fn a_session_goes_on_only_with_its_key_and_its_service() {
    for case in &CASES {
        let confirmed = identity().confirm(&snapshot_of(case.newest));
        let refusal = confirmed.err();
        let reason = refusal.as_ref().map(|refusal| refusal.reason);
        assert_eq!(reason, case.session, "{}", case.name);
        let is_not_run = |refusal: &refusal::RequestRefusal| {
            refusal.execution == refusal::RequestExecution::NotRun
        };
        assert!(refusal.as_ref().is_none_or(is_not_run), "{}", case.name);
    }
}

#[test]
fn a_login_gets_what_the_newest_version_says() {
    for case in &CASES {
        let snapshot = snapshot_of(case.newest);
        let login = access::find_workspace(&snapshot, KEY)
            .and_then(|(owner, _)| access::find_service(&snapshot, &owner, SERVICE).map(|_| owner));
        let login = login.map_err(|refusal| refusal.reason);
        let expected = case.login.map(workspace);
        assert_eq!(login, expected, "{}", case.name);
    }
}

#[test]
fn a_keyless_session_goes_on_only_while_its_workspace_is_keyless() {
    let mut session = identity();
    Arc::make_mut(&mut session).digest = None;
    let keyless = AccessVersion {
        is_keyless: true,
        ..WITHDRAWN
    };
    assert!(session.confirm(&snapshot_of(keyless)).is_ok());
    let reason_of = |version| session.confirm(&snapshot_of(version)).map_err(|r| r.reason);
    assert_eq!(reason_of(FIRST), Err(Reason::KeyWithdrawn));
    let taken = AccessVersion {
        families: &["repairs"],
        ..keyless
    };
    assert_eq!(reason_of(taken), Err(Reason::ServiceForbidden));
}

/// Guards against requests that wait until their time is up, or run at last, although the key or the
/// service has gone.
#[tokio::test]
async fn a_waiting_request_is_refused_at_once() {
    for case in &CASES {
        let shared = shared_with(snapshot_of(FIRST));
        let watch = access::AccessWatch {
            shared: Arc::clone(&shared),
            identity: identity(),
            wakeups: shared.subscribe_to_wakeups(),
        };
        let waiting = watch.confirm_during(std::future::pending::<()>());
        let waiting = tokio::time::timeout(Duration::from_millis(30), waiting);
        let changing = async {
            for version in [WITHDRAWN, case.newest] {
                shared.replace_snapshot(snapshot_of(version));
            }
            shared.wake_sessions();
        };
        let (result, ()) = tokio::join!(waiting, changing);
        let reason = result
            .ok()
            .and_then(Result::err)
            .map(|refusal| refusal.reason);
        assert_eq!(reason, case.session, "{}", case.name);
    }
}
