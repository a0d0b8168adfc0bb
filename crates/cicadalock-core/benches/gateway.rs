//! Measures the time of a gateway's decision by number of endpoints, and of a desk's decision by
//! number of customers.

use std::hint::black_box;
use std::time::Duration;

use cicadalock_core::desk::{CustomerMeter, DeskAsk, EndpointDesk, GateLimits};
use cicadalock_core::gateway::{AttemptEnd, GatewayBounds, GatewayCall, GatewayMachine};
use cicadalock_core::id::{CustomerId, LinkId, RequestId};
use cicadalock_core::serving::{
    EndpointList, ListedEndpoint, ListingState, PromptShape, ServiceTraits, ServingConfig,
};
use cicadalock_core::time::ClockTime;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn machine(endpoints: usize) -> GatewayMachine {
    let bounds = GatewayBounds {
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
    };
    let listed = |number: usize| ListedEndpoint {
        service: "model".parse().expect("valid name"),
        address: format!("127.0.0.1:{}", 9_000 + number)
            .parse()
            .expect("valid address"),
        zone: "z1".parse().expect("valid name"),
        slots: 64,
        state: ListingState::Ready,
        cold_remaining: Duration::ZERO,
        started: 1,
        heartbeat: 1,
    };
    let name = |number: usize| format!("i-{number}").parse().expect("valid name");
    let list: EndpointList = (0..endpoints)
        .map(|number| (name(number), listed(number)))
        .collect();
    let traits = ServiceTraits {
        health_path: "/".into(),
        connections: 360,
        engine_slots: Some(64),
        engine_tokens: Some(600_000),
    };
    let config = ServingConfig::builder(1).service("model".parse().expect("valid name"), traits);
    let config = config.build().expect("no findings");
    let mut machine = GatewayMachine::new("z1".parse().expect("valid name"), bounds);
    machine.set_endpoints(&list, &config, ClockTime::from_millis(1));
    machine
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("submit, start and end of a request");
    for endpoints in [9, 46, 200] {
        let mut machine = machine(endpoints);
        let mut number = 0_u64;
        group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
            bencher.iter(|| {
                number += 1;
                let now = ClockTime::from_millis(1_000 + number * 50);
                let service = "model".parse().expect("valid name");
                let text = format!("1:500,{:x}:4000,ffff:900", number % 150);
                let call = GatewayCall::builder(service, CustomerId::new(1), now)
                    .prompt(Some(PromptShape {
                        input: 5_400,
                        output_limit: 100,
                        output_hint: None,
                        parts: PromptShape::parse_parts(&text).expect("valid prompt parts"),
                    }))
                    .build();
                let id = RequestId::new(number);
                machine.submit(id, call, now);
                black_box(machine.take_actions(now));
                machine.first_event(id, now);
                machine.end(id, AttemptEnd::Complete, now);
            });
        });
    }
    group.finish();
}

fn grant(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("grant beside a full line");
    for customers in [16, 300, 7_200] {
        let mut desk = EndpointDesk::new(GateLimits::engine(64, 600_000));
        let mut meter = CustomerMeter::default();
        let now = ClockTime::from_millis(1_000);
        let mut number = 0_u64;
        for customer in 0..customers {
            number += 1;
            let ask = DeskAsk::new(CustomerId::new(customer), ClockTime::MAX).work(100.0, 100, 100);
            // The deadline never passes, so the desk accepts the request into its queue.
            let _ = desk.ask((LinkId::new(1), RequestId::new(number)), ask, &meter, now);
            for link in 0..25 {
                meter.charge(CustomerId::new(customer), LinkId::new(link), 10.0, now);
            }
        }
        let mut step = 0_u64;
        group.bench_function(BenchmarkId::from_parameter(customers), |bencher| {
            bencher.iter(|| {
                step += 1;
                let now = ClockTime::from_millis(1_000 + step * 10);
                for key in black_box(desk.admit(&mut meter, now)) {
                    desk.first_event(key, now);
                    desk.end(key);
                    number += 1;
                    let customer = CustomerId::new((number % u64::from(customers)) as u32);
                    let ask = DeskAsk::new(customer, ClockTime::MAX).work(100.0, 100, 100);
                    let _ = desk.ask((LinkId::new(1), RequestId::new(number)), ask, &meter, now);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, place, grant);
criterion_main!(benches);
