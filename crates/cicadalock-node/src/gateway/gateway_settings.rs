use std::net::SocketAddr;
use std::time::Duration;

use cicadalock_core::gateway::GatewayBounds;
use cicadalock_core::id::{HostName, ZoneName};

/// What a gateway process is told by its operator.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether callers may be sent here.
    pub ready: SocketAddr,
    /// Where counters are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Port of the desk on an endpoint's host.
    pub desk_port: u16,
    /// Greatest number of open files and connections.
    pub descriptors: usize,
    /// Times that bound what is done.
    pub times: GatewayTimes,
    /// Bounds that hold for all routers together.
    pub bounds: GatewayBounds,
}

/// Times that bound what a gateway does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayTimes {
    /// Time after which a token that was taken away must not work.
    pub revocation: Duration,
    /// Time in which a configuration must be in force.
    pub config: Duration,
    /// Time after which a leaving endpoint must get no more requests.
    pub drain: Duration,
    /// Time between the signal to stop and the end of the process.
    pub grace: Duration,
    /// Pause between two beats of an endpoint in the list.
    pub heartbeat: Duration,
}

/// Collects the parts of [`GatewaySettings`].
#[derive(Debug, Clone)]
pub struct SettingsBuilder {
    settings: GatewaySettings,
}

impl GatewaySettings {
    /// Starts the construction of settings; every address is to be set.
    #[must_use]
    pub const fn builder(host: HostName, zone: ZoneName) -> SettingsBuilder {
        let unset = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
        SettingsBuilder {
            settings: Self {
                host,
                zone,
                callers: unset,
                ready: unset,
                metrics: unset,
                store: unset,
                desk_port: 0,
                descriptors: 1_024,
                times: GatewayTimes {
                    revocation: Duration::from_secs(5),
                    config: Duration::from_secs(2),
                    drain: Duration::from_secs(2),
                    grace: Duration::from_secs(8),
                    heartbeat: Duration::from_secs(1),
                },
                bounds: GatewayBounds {
                    retry_ratio: 0.1,
                    retry_window: Duration::from_secs(10),
                },
            },
        }
    }
}

impl SettingsBuilder {
    /// Sets where callers and the balancer connect.
    #[must_use]
    pub const fn listen(mut self, callers: SocketAddr, ready: SocketAddr) -> Self {
        self.settings.callers = callers;
        self.settings.ready = ready;
        self
    }

    /// Sets where counters are served.
    #[must_use]
    pub const fn metrics(mut self, metrics: SocketAddr) -> Self {
        self.settings.metrics = metrics;
        self
    }

    /// Sets the platform's store.
    #[must_use]
    pub const fn store(mut self, store: SocketAddr) -> Self {
        self.settings.store = store;
        self
    }

    /// Sets the port of the desk on an endpoint's host.
    #[must_use]
    pub const fn desk_port(mut self, port: u16) -> Self {
        self.settings.desk_port = port;
        self
    }

    /// Sets the greatest number of open files and connections.
    #[must_use]
    pub const fn descriptors(mut self, descriptors: usize) -> Self {
        self.settings.descriptors = descriptors;
        self
    }

    /// Sets the times that bound what is done.
    #[must_use]
    pub const fn times(mut self, times: GatewayTimes) -> Self {
        self.settings.times = times;
        self
    }

    /// Sets the bounds that hold for all routers together.
    #[must_use]
    pub const fn bounds(mut self, bounds: GatewayBounds) -> Self {
        self.settings.bounds = bounds;
        self
    }

    /// Builds the settings.
    #[must_use]
    pub fn build(self) -> GatewaySettings {
        self.settings
    }
}

impl GatewayTimes {
    /// Age of the knowledge of tokens beyond which requests with tokens are refused.
    ///
    /// Seven tenths of the bound: the rest covers the way of the request, the way of the proof, and
    /// a store whose watches are up to a second behind.
    #[must_use]
    pub fn max_token_data_age(&self) -> Duration {
        self.revocation.mul_f64(0.7)
    }

    /// Longest time that a read of the store waits for changes.
    ///
    /// A connection that went silent is noticed when this and the time for an answer are over; the
    /// age of what is known must then still be below [`Self::max_token_data_age`], and the two bounds of
    /// changes must leave time for a new read.
    #[must_use]
    pub fn store_wait(&self) -> Duration {
        let changes = self.config.min(self.drain).mul_f64(0.75);
        self.revocation.mul_f64(0.3).min(changes)
    }

    /// Least time between the beginnings of two reads of the store.
    ///
    /// A quarter of the tighter of two bounds: a lost answer, a repeat and its work still fit.
    #[must_use]
    pub fn store_read_interval(&self) -> Duration {
        self.config.min(self.drain) / 4
    }
}
