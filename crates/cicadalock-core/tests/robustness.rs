//! Feeds arbitrary messages, bytes and texts to the state machines and parsers: no input may cause
//! a panic, and a damaged configuration is reported with valid line numbers.

mod support;

use std::sync::Arc;

use cicadalock_core::config::{ConfigRelease, ConfigText, FleetConfig};
use cicadalock_core::id::{HostName, Incarnation, LinkId, RequestId, Revision};
use cicadalock_core::member::HostList;
use cicadalock_core::message::{
    AnswerChunk, AnswerEnd, AnswerHead, BidLine, BidUpdate, CancelWork, ClaimKey, ClaimReply,
    Decline, Envelope, GrantOffer, HandOver, LeavingNotice, LedgerHandOff, PeerMessage, Ping,
    ReadCredit, Refusal, ReleaseClaim, TotalLine, TotalsReport, ViewMessage,
};
use cicadalock_core::router::{CallerRequest, RouterMachine};
use cicadalock_core::sidecar::SidecarMachine;
use cicadalock_core::time::{ClockTime, WallTime};
use proptest::prelude::*;
use prost::Message;
use support::{seeded, test_config};

/// Generates boundary values, and small numbers that match existing grants, requests and links.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(u64::MAX),
        Just(1 << 63),
        0..4_u64,
        any::<u64>()
    ]
}

fn message(customer: u32, kind: u32) -> impl Strategy<Value = PeerMessage> {
    let small = || number().prop_map(|value| value as u32);
    let total = prop_oneof![Just(i64::MIN), Just(i64::MAX), -5..5_i64];
    let lead = prop_oneof![
        Just(f32::NAN),
        Just(f32::INFINITY),
        Just(0.0_f32),
        Just(-1e30_f32)
    ];
    prop_oneof![
        small().prop_map(move |count| {
            PeerMessage::Bid(BidUpdate {
                lines: vec![BidLine {
                    customer,
                    kind,
                    count,
                }],
            })
        }),
        number().prop_map(move |grant| PeerMessage::Grant(GrantOffer {
            grant,
            customer,
            kind
        })),
        (number(), small()).prop_map(|(grant, left)| PeerMessage::Decline(Decline { grant, left })),
        (number(), number(), any::<bool>()).prop_map(move |(grant, remaining_ms, keyed)| {
            let key = if keyed {
                "018bcfe6-8c00-7000-8000-000000000001"
            } else {
                ""
            };
            PeerMessage::HandOver(HandOver {
                grant,
                remaining_ms,
                customer,
                kind,
                left: grant as u32,
                key: key.into(),
                ..HandOver::default()
            })
        }),
        (number(), small())
            .prop_map(|(grant, reason)| PeerMessage::Refusal(Refusal { grant, reason })),
        (number(), small()).prop_map(|(grant, status)| {
            PeerMessage::Head(AnswerHead {
                grant,
                status,
                headers: Vec::new(),
            })
        }),
        (number(), number()).prop_map(|(grant, offset)| {
            PeerMessage::Chunk(AnswerChunk {
                grant,
                offset,
                bytes: vec![1, 2, 3],
            })
        }),
        (number(), small(), number()).prop_map(|(grant, state, length)| PeerMessage::End(
            AnswerEnd {
                grant,
                state,
                length
            }
        )),
        (number(), small())
            .prop_map(|(grant, units)| PeerMessage::Credit(ReadCredit { grant, units })),
        number().prop_map(|grant| PeerMessage::Cancel(CancelWork { grant })),
        (number(), total, any::<bool>(), lead).prop_map(
            move |(sequence, total, backlogged, lead)| {
                PeerMessage::Totals(TotalsReport {
                    sequence,
                    lines: vec![TotalLine {
                        customer,
                        total,
                        pending: total,
                        backlogged,
                        lead,
                    }],
                })
            }
        ),
        (number(), number(), number(), number()).prop_map(|(set_hash, epoch, stamp, echo)| {
            PeerMessage::View(ViewMessage {
                set_hash,
                epoch,
                stamp,
                echo,
            })
        }),
        any::<bool>().prop_map(|is_back| PeerMessage::Leaving(LeavingNotice { is_back })),
        any::<bool>().prop_map(|resync| PeerMessage::Ping(Ping { resync })),
        (number(), "[a-z0-9-]{0,40}").prop_map(move |(request, key)| {
            PeerMessage::Claim(ClaimKey {
                request,
                customer,
                kind,
                key,
                digest: vec![7; 32],
            })
        }),
        (number(), small()).prop_map(|(request, verdict)| {
            PeerMessage::ClaimReply(ClaimReply {
                request,
                verdict,
                ..ClaimReply::default()
            })
        }),
        number().prop_map(|request| PeerMessage::Release(ReleaseClaim { request })),
        (number(), number()).prop_map(|(incarnation, complete_since)| {
            let host = "s0".into();
            PeerMessage::HandOff(LedgerHandOff {
                host,
                incarnation,
                complete_since,
                keys: Vec::new(),
            })
        }),
    ]
}

fn messages() -> impl Strategy<Value = Vec<(u64, PeerMessage, u64)>> {
    let config = test_config(1);
    let (customer, kind) = (config.customers()[0].id.get(), config.kinds()[0].id.get());
    prop::collection::vec((1..4_u64, message(customer, kind), 0..600_u64), 0..60)
}

fn hosts() -> HostList {
    HostList::parse(
        r#"{"previous": 0, "hosts": [
        {"name": "s0", "role": "sidecar", "service": "udlaan", "zone": "z", "address": "127.0.0.1:1", "state": "live"},
        {"name": "s1", "role": "sidecar", "service": "udlaan", "zone": "z", "address": "127.0.0.1:2", "state": "live"}
    ]}"#,
    )
    .expect("a valid host list")
}

proptest! {
    #![proptest_config(seeded(1_500))]

    #[test]
    fn a_sidecar_never_panics_on_arbitrary_messages(messages in messages()) {
        let config = test_config(1);
        let host: HostName = "s0".parse().expect("a valid name");
        let mut machine = SidecarMachine::builder(host, "udlaan".parse().expect("a valid name"))
            .incarnation(Incarnation::new(5))
            .build();
        machine.set_config(Arc::clone(&config), WallTime::default());
        machine.set_hosts(&hosts(), Revision::new(1));
        let mut now = 1_000;
        machine.router_connected(LinkId::new(1), "r0".parse().expect("a valid name"), ClockTime::from_millis(now));
        machine.peer_connected(LinkId::new(2), "s1".parse().expect("a valid name"), Incarnation::new(7), true);
        for (link, message, pause) in messages {
            let (clock, wall) = (ClockTime::from_millis(now), WallTime::from_unix_millis(now));
            machine.receive(LinkId::new(link), message, clock, wall);
            machine.take_actions(clock, wall);
            machine.tick(clock, wall);
            let _ = machine.report(clock);
            now += pause;
        }
    }

    #[test]
    fn a_router_never_panics_on_arbitrary_messages(messages in messages()) {
        let config = test_config(1);
        let mut machine = RouterMachine::new(1);
        machine.set_config(Arc::clone(&config));
        machine.set_hosts(hosts());
        let mut now = 1_000;
        for link in 1..3 {
            let (host, service) = (format!("s{}", link - 1), "udlaan");
            let (host, service) = (host.parse().expect("a valid name"), service.parse().expect("a valid name"));
            machine.link_up(LinkId::new(link), host, service, false, ClockTime::from_millis(now));
        }
        for (index, (link, message, pause)) in messages.into_iter().enumerate() {
            let clock = ClockTime::from_millis(now);
            let call = CallerRequest::builder(&config.customers()[0], &config.kinds()[0]).build();
            machine.submit(RequestId::new(index as u64), call, clock);
            machine.receive(LinkId::new(link), message, clock);
            machine.take_actions(clock);
            machine.tick(clock);
            now += pause;
        }
    }

    #[test]
    fn arbitrary_bytes_decode_to_a_frame_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Envelope::decode(bytes.as_slice());
    }

    #[test]
    fn arbitrary_text_parses_to_a_document_or_an_error(text in "\\PC{0,200}") {
        let _ = HostList::parse(&text);
        let _ = ConfigRelease::parse(&text);
        let _ = FleetConfig::read(&ConfigText::new("base", &text), None);
    }

    /// Removes or duplicates one range of a valid text: the result is either read, or has findings
    /// whose lines lie within the text.
    #[test]
    fn a_damaged_configuration_is_read_or_has_findings_with_lines(from in 0..900_usize, length in 0..40_usize, duplicates in any::<bool>()) {
        let whole = include_str!("../../../examples/floejtelaan/base.toml");
        let chars: Vec<char> = whole.chars().collect();
        let (from, to) = (from.min(chars.len()), (from + length).min(chars.len()));
        let mut damaged: String = chars[..from].iter().collect();
        if duplicates {
            damaged.extend(&chars[from..to]);
            damaged.extend(&chars[from..to]);
        }
        damaged.extend(&chars[to..]);
        if let Err(findings) = FleetConfig::read(&ConfigText::new("base", &damaged), None) {
            let lines = damaged.lines().count() + 1;
            prop_assert!(!findings.is_empty());
            prop_assert!(findings.iter().all(|finding| (1..=lines).contains(&finding.line)));
        }
    }
}

#[test]
fn a_duration_above_one_day_is_a_finding() {
    let text = "[limits]\nexchange_interval = \"500000000000y\"\n";
    let findings = FleetConfig::read(&ConfigText::new("base", text), None);
    assert_eq!(findings.expect_err("a finding for the duration").len(), 1);
}
