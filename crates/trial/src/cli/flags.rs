use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Experiments with real processes on the loopback, and the stand-ins they need.
    cmd trial {
        /// Run an experiment.
        default cmd run {
            /// Name of the experiment; `--list` prints the names.
            optional --scenario scenario: String
            /// How long the load lasts, in seconds.
            optional --seconds seconds: u64
            /// Seed of costs, arrivals and choices of routers.
            optional --seed seed: u64
            /// How customers are chosen: fleet, sidecar, router or push; `all` runs each; `direct` calls
            /// the endpoints without routers.
            optional --policy policy: String
            /// Write the measures to a file as JSON.
            optional --json json: PathBuf
            /// Draw the measures into an SVG file.
            optional --plot plot: PathBuf
            /// The product's binary; without it the trial binary runs the same code.
            optional --binary binary: PathBuf
            /// Number of routers.
            optional --routers routers: usize
            /// Number of endpoints of each service.
            optional --replicas replicas: usize
            /// Number of customers.
            optional --customers customers: usize
            /// Requests a second, where the experiment has a rate of its own.
            optional --rate rate: u32
            /// Print the names of all experiments.
            optional --list
        }
        /// Measure what the core's parts cost at several sizes and print it as JSON.
        cmd slopes {
        }
        /// Work out what each role costs at the size to come, from measured slopes.
        cmd capacity {
            /// File with slopes, as docs/slopes.json.
            required --slopes slopes: PathBuf
        }
        /// Run routers and desks under random faults and check what is promised.
        cmd soak {
            /// Seed of faults and requests, or the first of several.
            optional --seed seed: u64
            /// Number of seeds, one after the other.
            optional --count count: u64
            /// For how long faults come, in seconds.
            optional --seconds seconds: u64
            /// Where settings and logs go; those of seeds that break no promise are removed.
            optional --folder folder: PathBuf
        }
        /// Play a load in virtual time and print what its callers got.
        cmd emulate {
            /// File with the load, as loads/lending.toml.
            required --load load: PathBuf
            /// Seed of the load.
            optional --seed seed: u64
            /// How long requests come, in seconds.
            optional --seconds seconds: u64
            /// One router that hears everything at once and knows how long answers are.
            optional --full-knowledge
            /// Draw the credit over time into an SVG file.
            optional --plot plot: PathBuf
        }
        /// Run a stand-in platform.
        cmd platform {
            /// Where to listen.
            required --listen listen: SocketAddr
        }
        /// Run a stand-in model engine.
        cmd engine {
            /// Where to listen.
            required --listen listen: SocketAddr
            /// Requests in a batch.
            required --batch batch: u32
            /// Time of a token, such as `20ms`.
            required --token token: String
        }
        /// Run a stand-in plain service.
        cmd service {
            /// Where to listen.
            required --listen listen: SocketAddr
            /// Time of a call, such as `20ms`.
            required --busy busy: String
            /// Refuse calls with an old fence number.
            optional --check-fence
        }
    }
}
