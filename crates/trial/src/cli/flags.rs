use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Runs scenarios with real processes on the loopback interface, and the stand-ins that they
    /// need.
    cmd trial {
        /// Run a scenario.
        default cmd run {
            /// Name of the scenario; `--list` prints the names.
            optional --scenario scenario: String
            /// Duration of the load, in seconds.
            optional --seconds seconds: u64
            /// Seed of request costs, arrivals and the choice of routers.
            optional --seed seed: u64
            /// Scheduling policy among customers: fleet, sidecar, router or push. `all` runs each
            /// of them; `direct` calls the endpoints without routers.
            optional --policy policy: String
            /// Write the measurements to a file as JSON.
            optional --json json: PathBuf
            /// Plot the measurements in an SVG file.
            optional --plot plot: PathBuf
            /// Path of the product's binary. Default: the trial binary, which contains the same
            /// code.
            optional --binary binary: PathBuf
            /// Number of routers.
            optional --routers routers: usize
            /// Number of endpoints of each service.
            optional --replicas replicas: usize
            /// Number of customers.
            optional --customers customers: usize
            /// Requests a second, for scenarios that have a rate.
            optional --rate rate: u32
            /// Print the names and descriptions of all scenarios.
            optional --list
        }
        /// Measure the cost of the core's parts at several sizes and print it as JSON.
        cmd slopes {
        }
        /// Estimate the cost of each role at the target size of the fleet, from measured slopes.
        cmd capacity {
            /// File with slopes, such as docs/slopes.json.
            required --slopes slopes: PathBuf
        }
        /// Run routers and desks under random faults and check the guarantees.
        cmd soak {
            /// Seed of faults and requests; with `--count`, the first seed. Default: random.
            optional --seed seed: u64
            /// Number of consecutive seeds to run, one after the other.
            optional --count count: u64
            /// Time over which faults are injected, in seconds.
            optional --seconds seconds: u64
            /// Multiple of the smallest number of processes, which is 6. Default: 1.
            optional --scale scale: usize
            /// Have lookups crash applications beside the parts of prompts that crash engines.
            optional --crashing-lookups
            /// Folder for settings and logs; those of seeds that violate no guarantee are removed.
            optional --folder folder: PathBuf
        }
        /// Emulate a load in virtual time and print its results.
        cmd emulate {
            /// File with the load, such as loads/lending.toml.
            required --load load: PathBuf
            /// Seed of the load.
            optional --seed seed: u64
            /// Time over which requests arrive, in seconds.
            optional --seconds seconds: u64
            /// Replace the routers with a single one without network delay that knows the length of
            /// answers.
            optional --full-knowledge
            /// Plot the credit over time in an SVG file.
            optional --plot plot: PathBuf
        }
        /// Run a stand-in platform.
        cmd platform {
            /// Address to listen on.
            required --listen listen: SocketAddr
        }
        /// Run a stand-in model engine.
        cmd engine {
            /// Address to listen on.
            required --listen listen: SocketAddr
            /// Maximum number of requests in a batch.
            required --batch batch: u32
            /// Time to generate one token, such as `20ms`.
            required --token token: String
        }
        /// Run a stand-in plain service.
        cmd service {
            /// Address to listen on.
            required --listen listen: SocketAddr
            /// Time to serve one call, such as `20ms`.
            required --busy busy: String
            /// Reject calls with an outdated fence number.
            optional --check-fence
        }
    }
}
