//! The metrics of the configuration show its version, its skipped entries and when the store
//! last answered a read of it.

#[path = "fixtures/settings.rs"]
mod fixtures;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bluebellferry_catalog::configuration;
use bluebellferry_edge::control::metrics;
use bluebellferry_edge::shared;
use bluebellferry_platform::objects;
use bluebellferry_runtime::clock;
use bluebellferry_types::name;

/// Returns the value of a metric without labels.
fn gauge(registry: &prometheus::Registry, name: &str) -> f64 {
    let families = registry.gather();
    let family = families.iter().find(|family| family.name() == name);
    let family = family.expect("the metric is registered");
    family.get_metric()[0].get_gauge().get_value()
}

#[test]
fn metrics_tell_an_outdated_configuration_from_an_incomplete_one() {
    let data_centre = name::DataCentreName::try_from("amman-a").expect("a valid name");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = fixtures::settings("vm-0", data_centre, address);
    let (shared, _evidence) = shared::EdgeShared::new(settings, 1);
    let registry = prometheus::Registry::new();
    let metrics =
        metrics::ConfigurationMetrics::new(&registry, &shared).expect("the metrics are registered");
    let read_age = "bluebellferry_configuration_read_age_seconds";
    assert_eq!(gauge(&registry, "bluebellferry_configuration_version"), 0.0);
    assert_eq!(gauge(&registry, read_age), -1.0);

    let snapshot = shared::EdgeSnapshot {
        configuration: Arc::new(configuration::Configuration {
            version: 7,
            skipped_entries: 2,
            ..configuration::Configuration::default()
        }),
        ..shared::EdgeSnapshot::default()
    };
    shared.replace_snapshot(snapshot, true);
    let read_at = clock::now() - Duration::from_secs(5);
    shared.record_configuration_read(read_at);
    shared.record_configuration_read(read_at - Duration::from_secs(5));
    let unanswered = objects::StoreError::Unanswered("timed out".to_owned());
    metrics.count_read("list", &Ok(()));
    metrics.count_read::<()>("watch", &Err(unanswered));

    assert_eq!(gauge(&registry, "bluebellferry_configuration_version"), 7.0);
    assert_eq!(
        gauge(&registry, "bluebellferry_configuration_skipped_entries"),
        2.0
    );
    let age = gauge(&registry, read_age);
    assert!((5.0..9.0).contains(&age), "{age}");
    let encoder = prometheus::TextEncoder::new();
    let text = encoder
        .encode_to_string(&registry.gather())
        .expect("the metrics can be encoded");
    for line in [
        r#"bluebellferry_configuration_reads_total{call="list",result="answered"} 1"#,
        r#"bluebellferry_configuration_reads_total{call="watch",result="unanswered"} 1"#,
    ] {
        assert!(text.contains(line), "{text}");
    }
}
