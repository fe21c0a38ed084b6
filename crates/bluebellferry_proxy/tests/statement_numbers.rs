//! Numbers of prepared statements.

use bluebellferry_proxy::prepared;

fn definition(sql: &str, type_oids: &[u32]) -> prepared::StatementDefinition {
    prepared::StatementDefinition {
        sql: sql.to_owned(),
        type_oids: type_oids.to_vec(),
    }
}

// Guards against names in which a type OID could take the place of the text's end.
#[test]
fn only_equal_statements_share_a_number() {
    let table = prepared::StatementTable::default();
    let type_oid = u32::from_be_bytes(*b" + 1");
    let definitions = [
        definition("SELECT 1", &[]),
        definition("SELECT 1", &[type_oid]),
        definition("SELECT 1 + 1", &[]),
        definition("SELECT 1", &[0]),
        definition("SELECT 1", &[0, 0]),
    ];
    let ids = definitions
        .each_ref()
        .map(|one| table.number_statement(one));
    let distinct: std::collections::HashSet<_> = ids.iter().collect();
    assert_eq!(distinct.len(), definitions.len());
    let again = definitions
        .each_ref()
        .map(|one| table.number_statement(one));
    assert_eq!(again, ids);
}

// Guards against a number that passes from a forgotten statement to another.
#[test]
fn a_forgotten_statement_gets_a_new_number() {
    let table = prepared::StatementTable::default();
    let first = definition("SELECT 1", &[]);
    let mut ids = std::collections::HashSet::from([table.number_statement(&first)]);
    for index in 0..20_000 {
        let other = definition(&format!("SELECT {index} AS other"), &[]);
        assert!(ids.insert(table.number_statement(&other)));
    }
    assert!(ids.insert(table.number_statement(&first)));
}

// Guards against a table whose memory grows with the size of callers' texts.
#[test]
fn large_statements_are_forgotten_sooner() {
    let table = prepared::StatementTable::default();
    let padding = " ".repeat(1024 * 1024);
    let first = definition("SELECT 1", &[]);
    let id = table.number_statement(&first);
    for index in 0..32 {
        table.number_statement(&definition(&format!("SELECT {index}{padding}"), &[]));
    }
    assert_ne!(table.number_statement(&first), id);
    let huge = definition(&padding.repeat(4), &[]);
    assert_ne!(table.number_statement(&huge), table.number_statement(&huge));
}
