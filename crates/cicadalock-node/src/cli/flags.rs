use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Routers and sidecars that share model and application endpoints fairly between customers.
    cmd cicadalock {
        /// Run a router: accept callers' HTTP requests and hand them over to sidecars.
        cmd router {
            /// TOML file with the settings of this process.
            required --settings settings: PathBuf
        }
        /// Run a gateway, a router that calls endpoints itself; the environment names its settings.
        cmd gateway {}
        /// Run the desk of one model endpoint: decide which waiting request starts there next.
        cmd desk {}
        /// Run a sidecar: call one endpoint on behalf of the fleet's routers.
        cmd sidecar {
            /// TOML file with the settings of this process.
            required --settings settings: PathBuf
        }
        /// Check a configuration with the rules that the daemons apply, and print every finding.
        cmd check {
            /// Base configuration file.
            required --base base: PathBuf
            /// Overlay file of one site.
            optional --overlay overlay: PathBuf
            /// Print the merged configuration.
            optional --print
        }
        /// Check a base and the overlays of all sites, and print the document to publish.
        cmd bundle {
            /// Base file.
            required --base base: PathBuf
            /// Overlay of a site, as SITE=FILE; can be repeated.
            repeated --overlay overlay: String
        }
        /// Print the status of a running process.
        cmd status {
            /// Address of the process's status port, as IP:PORT.
            required address: SocketAddr
            /// Print JSON.
            optional --json
        }
    }
}
