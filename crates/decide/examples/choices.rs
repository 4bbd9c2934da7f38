//! Measures the processor time of one choice of an endpoint, for services of 10 to 10,000
//! endpoints.
//!
//! Each choice uses a different prefix and reads the load of its candidates from reports. For
//! comparison, a scan that weighs all endpoints by name is measured as well.

use fulmarswitch_decide::balance::{
    EndpointEligibility, EndpointIndex, EndpointSpec, EndpointTable, EndpointView, RequestAffinity,
};
use fulmarswitch_decide::load::{EndpointLoad, LoadShare};
use fulmarswitch_decide::placement::weight;
use std::hint::black_box;
use std::time::Duration;
use tokio::time::Instant;

/// Number of choices over which a figure is averaged.
const CHOICES: u32 = 200_000;
/// Number of scans over which a figure is averaged.
const SCANS: u32 = 200;
/// Number of rounds, of which the fastest counts because other work runs on the machine.
const ROUNDS: usize = 5;

fn main() {
    println!(
        "{:>9} {:>10} {:>10} {:>10} {:>10} {:>12}",
        "endpoints", "prefix ns", "any ns", "scan ns", "build us", "top/mean"
    );
    for count in [10, 16, 17, 100, 1_000, 10_000] {
        measure(count);
    }
}

fn measure(count: u32) {
    let specs: Vec<EndpointSpec> = (0..count)
        .map(|index| EndpointSpec {
            name: format!("endpoint-{index:05}").into(),
            same_domain: index % 3 == 0,
        })
        .collect();
    let build = fastest(1, |_| {
        black_box(EndpointTable::new(specs.clone()));
    });
    let table = EndpointTable::new(specs.clone());
    let now = Duration::from_secs(1);
    let loads: Vec<EndpointLoad> = (0..count).map(load_of).collect();
    let view_of = |index: EndpointIndex| EndpointView {
        load: loads[index.as_usize()].estimate(now),
        eligibility: EndpointEligibility::Ready,
    };
    let prefix = fastest(CHOICES, |index| {
        let affinity = RequestAffinity::Prefix(u64::from(index) * 7_919);
        black_box(table.choose(affinity, view_of));
    });
    let any = fastest(CHOICES, |index| {
        let affinity = RequestAffinity::Any(u64::from(index));
        black_box(table.choose(affinity, view_of));
    });
    let scan = fastest(SCANS, |index| {
        let work = format!("prefix-{index}");
        let best = specs.iter().max_by_key(|spec| weight(&spec.name, &work));
        black_box(best);
    });
    println!(
        "{count:>9} {:>10} {:>10} {:>10} {:>10} {:>12.2}",
        prefix.as_nanos(),
        any.as_nanos(),
        scan.as_nanos(),
        build.as_micros(),
        top_share(&table),
    );
}

/// Returns the mean time of a call in the fastest round.
fn fastest(calls: u32, mut call: impl FnMut(u32)) -> Duration {
    let mut best = Duration::MAX;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        for index in 0..calls {
            call(index);
        }
        best = best.min(start.elapsed() / calls);
    }
    best
}

fn load_of(index: u32) -> EndpointLoad {
    let mut load = EndpointLoad::default();
    let held = index * 31 % 50;
    load.record_report(Duration::ZERO, LoadShare { held, limit: 64 });
    load
}

/// Returns the number of prefixes of the endpoint with the most prefixes, relative to the mean,
/// when all endpoints are idle.
fn top_share(table: &EndpointTable) -> f64 {
    let idle = |_| EndpointView {
        load: LoadShare { held: 0, limit: 64 },
        eligibility: EndpointEligibility::Ready,
    };
    let mut counts = vec![0_u32; table.len()];
    let prefixes = 1_000 * u32::try_from(table.len()).unwrap_or(u32::MAX);
    for index in 0..prefixes {
        let affinity = RequestAffinity::of_prefix(&format!("prefix {index}"));
        if let Some(index) = table.choose(affinity, idle) {
            counts[index.as_usize()] += 1;
        }
    }
    f64::from(counts.iter().copied().max().unwrap_or(0)) / 1_000.0
}
