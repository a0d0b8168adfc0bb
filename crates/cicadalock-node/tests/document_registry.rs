//! Which document revisions a process fetches from its peers.

use cicadalock_core::revision::DocumentKind;
use cicadalock_core::time::ClockTime;
use cicadalock_node::hub::DocumentRegistry;

#[test]
fn a_newer_revision_is_fetched_at_once_and_the_same_one_only_after_an_interval() {
    let mut registry = DocumentRegistry::new("fyn");
    let mut should_fetch = |revision, millis| {
        registry.should_fetch(
            DocumentKind::Config,
            revision,
            ClockTime::from_millis(millis),
        )
    };
    assert!(should_fetch(5, 1_000));
    assert!(!should_fetch(5, 1_001));
    assert!(
        should_fetch(6, 1_002),
        "a newer revision is fetched at once, since peers might not announce it again"
    );
    assert!(!should_fetch(5, 1_003));
    assert!(should_fetch(6, 2_000));
}
