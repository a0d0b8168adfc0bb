use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Routers and sidecars that share model and application endpoints fairly between customers.
    cmd cicadalock {
        /// Run a router: take callers' HTTP requests and hand them to sidecars.
        cmd router {
            /// TOML file with the settings of this process.
            required --settings settings: PathBuf
        }
        /// Run a router that calls endpoints itself, on the platform that the environment names.
        cmd gateway {}
        /// Run the desk beside a model endpoint: decide whose request starts there next.
        cmd desk {}
        /// Run a sidecar: call one endpoint for the routers of the fleet.
        cmd sidecar {
            /// TOML file with the settings of this process.
            required --settings settings: PathBuf
        }
        /// Check a configuration as the daemons do and print every finding.
        cmd check {
            /// Base file.
            required --base base: PathBuf
            /// Overlay of one site.
            optional --overlay overlay: PathBuf
            /// Print the merged configuration.
            optional --print
        }
        /// Check a base and the overlays of all sites and print the text to publish.
        cmd bundle {
            /// Base file.
            required --base base: PathBuf
            /// Overlay of a site, as SITE=FILE; may be given several times.
            repeated --overlay overlay: String
        }
        /// Print what a running process believes.
        cmd status {
            /// Address of the process's status port.
            required address: SocketAddr
            /// Print JSON.
            optional --json
        }
    }
}
