//! Compares the table of the capacity page with the slopes that it is computed from.

use std::path::Path;

use trial::capacity::{FleetSize, Slopes, capacity_table};

#[test]
fn the_page_holds_the_table_of_the_slopes() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let read = |name: &str| std::fs::read_to_string(docs.join(name)).expect("the file is readable");
    let slopes: Slopes =
        serde_json::from_str(&read("slopes.json")).expect("slopes.json holds slopes");
    let page = read("CAPACITY.md");
    let begin = page
        .find("<!-- table -->\n")
        .expect("the page has a start marker of the table")
        + "<!-- table -->\n".len();
    let end = page
        .find("<!-- end -->")
        .expect("the page has an end marker of the table");
    assert_eq!(
        &page[begin..end],
        capacity_table(&slopes, &FleetSize::two_year_target())
    );
}
