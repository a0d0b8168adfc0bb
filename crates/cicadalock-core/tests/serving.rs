//! Routes, tokens, prompts and the freshness of the configuration.

use std::sync::Arc;
use std::time::Duration;

use cicadalock_core::serving::{
    PromptShape, RouteConfig, RouteKind, RouteTable, ServingConfig, StoreFreshness,
};
use cicadalock_core::time::ClockTime;
use yare::parameterized;

fn route(name: &str, host: &str, prefix: &str) -> RouteConfig {
    RouteConfig::builder(name, host, prefix)
        .kind(RouteKind::Idempotent)
        .timeout(Duration::from_secs(1))
        .target("desk".parse().expect("a name"), 1)
        .build()
        .expect("the route has no findings")
}

#[parameterized(
    exact = { "a.example", "/x/", Some("x") },
    below = { "a.example", "/x/12", Some("x") },
    longest_wins = { "a.example", "/x/y/12", Some("xy") },
    port_is_ignored = { "a.example:8080", "/x/1", Some("x") },
    case_is_ignored = { "A.Example", "/x/1", Some("x") },
    no_slash_after_prefix = { "a.example", "/xy", Some("root") },
    other_host = { "b.example", "/x/1", None },
    empty_path = { "a.example", "", None },
    no_leading_slash = { "a.example", "x/", None },
)]
fn a_request_matches_the_longest_prefix_of_its_host(host: &str, path: &str, found: Option<&str>) {
    let table = RouteTable::new([
        route("root", "a.example", "/"),
        route("x", "a.example", "/x/"),
        route("xy", "a.example", "/x/y/"),
    ]);
    let route = table.find(host, path);
    assert_eq!(route.map(|route| &*route.name), found);
}

#[test]
fn requests_are_split_by_weight() {
    let route = RouteConfig::builder("r", "h", "/")
        .timeout(Duration::from_secs(1))
        .target("large".parse().expect("a name"), 90)
        .target("small".parse().expect("a name"), 10)
        .target("none".parse().expect("a name"), 0)
        .build()
        .expect("the route has no findings");
    let picks: Vec<&str> = (0..100)
        .filter_map(|number| route.target(number))
        .map(|service| service.as_str())
        .collect();
    let count = |name| picks.iter().filter(|pick| **pick == name).count();
    assert_eq!((count("large"), count("small"), count("none")), (90, 10, 0));
}

#[test]
fn a_route_reports_all_findings_at_once() {
    let faults = RouteConfig::builder("r", "", "x").max_attempts(0).build();
    let faults = faults.expect_err("the route has findings");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @"
    `r`: prefix `x` does not begin and end with `/`
    `r`: host is empty
    `r`: timeout is zero
    `r`: max_attempts is zero
    `r`: no service has a weight
    ");
}

#[test]
fn a_token_belongs_to_one_customer() {
    let token: Arc<str> = Arc::from("t");
    let (a, b) = ("a".parse().expect("a name"), "b".parse().expect("a name"));
    let config = ServingConfig::builder(1)
        .customer(a, [Arc::clone(&token)])
        .customer(b, [token])
        .build();
    let faults = config.expect_err("the configuration has findings");
    assert_eq!(faults[0].to_string(), "`b`: has a token of customer `a`");
}

#[test]
fn a_configuration_with_customers_but_no_tokens_rejects_every_token() {
    let config = ServingConfig::builder(1).with_customers().build();
    let config = config.expect("the configuration has no findings");
    assert!(config.has_customers());
    assert_eq!(config.customer("t"), None);
}

#[test]
fn freshness_expires_unless_it_is_confirmed_again() {
    let at = ClockTime::from_millis;
    let limit = Duration::from_millis(3_500);
    let mut freshness = StoreFreshness::default();
    assert!(!freshness.is_within(limit, at(1)));
    freshness.confirm(at(1_000));
    freshness.confirm(at(500));
    assert!(freshness.is_within(limit, at(4_500)));
    assert!(!freshness.is_within(limit, at(4_501)));
    assert_eq!(freshness.age(at(2_000)), Some(Duration::from_secs(1)));
}

#[parameterized(
    whole = { "5c1e07a2:800,91bd3f06:410,e4402b7d:250", Some(3) },
    spaces = { " 5c:800, 91:410", Some(2) },
    not_hexadecimal = { "xy:800", None },
    no_length = { "5c", None },
    negative = { "5c:-1", None },
    empty = { "", None },
    too_large = { "5c:99999999999", None },
)]
fn prompt_parts_are_parsed_or_rejected(text: &str, parts: Option<usize>) {
    let parsed = PromptShape::parse_parts(text).ok();
    assert_eq!(parsed.map(|parts| parts.len()), parts);
}

#[test]
fn too_many_prompt_parts_are_rejected() {
    let text = vec!["a:1"; 65].join(",");
    assert!(PromptShape::parse_parts(&text).is_err());
}

#[test]
fn a_prompt_reports_its_own_tokens_shared_parts_and_cost() {
    let prompt = PromptShape {
        input: 1_460,
        output_limit: 80,
        output_hint: Some(30),
        parts: PromptShape::parse_parts("a:800,b:410,c:250").expect("parts"),
    };
    assert_eq!(prompt.own_tokens(), 250);
    assert_eq!(prompt.shared().len(), 2);
    assert_eq!(prompt.cost(), 1_460 + 2 * 30);
}

#[test]
fn oversized_token_counts_do_not_overflow() {
    let prompt = PromptShape {
        input: 1,
        output_limit: u32::MAX,
        output_hint: None,
        parts: PromptShape::parse_parts("a:4294967295,b:4294967295").expect("parts"),
    };
    assert_eq!(prompt.tokens(), u32::MAX);
    assert_eq!(prompt.cost(), 3 * u64::from(u32::MAX));
}
