//! Which documents a process asks its peers for.

use cicadalock_core::revision::DocumentKind;
use cicadalock_core::time::ClockTime;
use cicadalock_node::hub::DocumentKeeper;

#[test]
fn a_newer_revision_is_asked_for_at_once_and_the_same_one_only_after_a_pause() {
    let mut keeper = DocumentKeeper::new("fyn");
    let mut wants = |revision, millis| {
        keeper.wants(
            DocumentKind::Config,
            revision,
            ClockTime::from_millis(millis),
        )
    };
    assert!(wants(5, 1_000));
    assert!(!wants(5, 1_001));
    assert!(wants(6, 1_002), "the newer revision may not be told again");
    assert!(!wants(5, 1_003));
    assert!(wants(6, 2_000));
}
