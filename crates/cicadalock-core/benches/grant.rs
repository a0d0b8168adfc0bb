//! Time to pick one grant, by the number of customers and of routers with bids.

use std::hint::black_box;

use cicadalock_core::fair::GrantScheduler;
use cicadalock_core::id::{CustomerId, KindId, LinkId};
use cicadalock_core::time::ClockTime;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn grant(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("grant");
    group.sample_size(20);
    for (customers, routers) in [
        (15, 10),
        (15, 100),
        (15, 2_800),
        (720, 10),
        (720, 100),
        (7_200, 10),
    ] {
        let kind = KindId::new(1);
        let mut builder = GrantScheduler::builder().kind(kind, 1, 100);
        for customer in 0..customers {
            builder = builder.customer(CustomerId::new(customer), 1);
        }
        let mut scheduler = builder.build();
        let now = ClockTime::from_millis(1);
        for customer in 0..customers {
            for router in 0..routers {
                let customer = CustomerId::new(customer);
                scheduler.set_bid(LinkId::new(router), customer, kind, u32::MAX, now);
            }
        }
        let id = BenchmarkId::from_parameter(format!("{customers} customers, {routers} routers"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| black_box(scheduler.pick(now)))
        });
    }
    group.finish();
}

criterion_group!(benches, grant);
criterion_main!(benches);
