//! Listings of a store that also holds entries of other writers.

use std::collections::HashMap;
use std::net::SocketAddr;

use axum::Json;
use axum::extract::Query;
use axum::routing::get;
use bluebellferry_platform::objects;
use bluebellferry_platform::registry;
use bluebellferry_standin_platform::contents;
use serde_json::Value;
use serde_json::json;

fn server(name: &str) -> Value {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = contents::registration("rental", address, false);
    json!({"meta": {"Name": name, "Revision": 4}, "spec": entry})
}

/// Serves a listing of two pages, the second of which is requested with the name `last`.
async fn serve_pages(first: Value, last: &'static str) -> SocketAddr {
    let page = move |query: HashMap<String, String>| match query.get("after") {
        None => json!({"items": first, "More": true, "AsOf": 7}),
        Some(after) if after == last => {
            json!({"items": [server("i-z")], "More": false, "AsOf": 9})
        }
        Some(_) => json!({"items": [], "More": false, "AsOf": 9}),
    };
    let list =
        get(move |Query(query): Query<HashMap<String, String>>| async move { Json(page(query)) });
    let router = axum::Router::new().route("/objects/servers", list);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("the address can be bound");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

async fn list_databases(address: SocketAddr) -> Result<Vec<String>, objects::StoreError> {
    let listing = objects::ObjectClient::new(address).list("servers").await?;
    assert_eq!(listing.revision.number(), 7);
    let entries = registry::decode_registrations(&listing);
    Ok(entries.iter().map(|entry| entry.id.to_string()).collect())
}

#[tokio::test]
async fn a_page_that_ends_with_an_entry_of_another_writer_hides_no_other_page() {
    let damaged = json!([server("i-a"), {"meta": {"Name": 7}, "spec": null}, "text"]);
    let address = serve_pages(damaged, "i-a").await;
    assert_eq!(
        list_databases(address).await,
        Ok(vec!["i-a".into(), "i-z".into()])
    );
    // Without any name the next page can't be requested, so the listing fails.
    let nameless = json!([{"meta": {}, "spec": null}, 4]);
    let address = serve_pages(nameless, "").await;
    assert!(list_databases(address).await.is_err());
}

#[tokio::test]
async fn a_page_may_end_with_a_name_that_needs_url_encoding() {
    let special = json!([server("i-a"), server("i b&More=\u{e9}%2F#?")]);
    let address = serve_pages(special, "i b&More=\u{e9}%2F#?").await;
    assert_eq!(
        list_databases(address).await,
        Ok(vec!["i-a".into(), "i-z".into()])
    );
}
