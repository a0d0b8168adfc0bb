use std::net::SocketAddr;
use std::time::Duration;

use cicadalock_core::gateway::GatewayBounds;
use cicadalock_core::id::{HostName, ZoneName};

/// Settings of a gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host that the gateway runs on.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Port of the desk, which runs at the IP address of its endpoint.
    pub desk_port: u16,
    /// Maximum number of open file descriptors, connections included.
    pub descriptors: usize,
    /// Upper bounds on the delays of the gateway.
    pub times: GatewayTimes,
    /// Retry limits, which hold for all routers together if each one keeps them.
    pub bounds: GatewayBounds,
}

/// Upper bounds on the delays of a gateway, and the interval of heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayTimes {
    /// Time after which a revoked token must no longer be accepted.
    pub revocation: Duration,
    /// Time within which a new configuration must be in force.
    pub config: Duration,
    /// Time after which a draining endpoint must receive no more requests.
    pub drain: Duration,
    /// Maximum time between the stop signal and the exit of the process.
    pub grace: Duration,
    /// Interval between two heartbeats of an endpoint in the store.
    pub heartbeat: Duration,
}

/// Builder of [`GatewaySettings`].
#[derive(Debug, Clone)]
pub struct SettingsBuilder {
    settings: GatewaySettings,
}

impl GatewaySettings {
    /// Returns a builder with default limits.
    ///
    /// The addresses and the desk port have no usable default and must be set.
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
    /// Sets the address for callers and the address of the readiness check.
    #[must_use]
    pub const fn listen(mut self, callers: SocketAddr, ready: SocketAddr) -> Self {
        self.settings.callers = callers;
        self.settings.ready = ready;
        self
    }

    /// Sets the address at which metrics are served.
    #[must_use]
    pub const fn metrics(mut self, metrics: SocketAddr) -> Self {
        self.settings.metrics = metrics;
        self
    }

    /// Sets the address of the platform's store.
    #[must_use]
    pub const fn store(mut self, store: SocketAddr) -> Self {
        self.settings.store = store;
        self
    }

    /// Sets the port of the desk, which runs at the IP address of its endpoint.
    #[must_use]
    pub const fn desk_port(mut self, port: u16) -> Self {
        self.settings.desk_port = port;
        self
    }

    /// Sets the maximum number of open file descriptors, connections included.
    #[must_use]
    pub const fn descriptors(mut self, descriptors: usize) -> Self {
        self.settings.descriptors = descriptors;
        self
    }

    /// Sets the upper bounds on the delays of the gateway.
    #[must_use]
    pub const fn times(mut self, times: GatewayTimes) -> Self {
        self.settings.times = times;
        self
    }

    /// Sets the retry limits.
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
    /// Returns the age of the copy of the store beyond which requests with tokens are refused.
    ///
    /// This is seven tenths of the revocation bound. The rest covers the transit of the request, the
    /// transit of the store's answer, and a store whose watches lag by up to a second.
    #[must_use]
    pub fn max_token_data_age(&self) -> Duration {
        self.revocation.mul_f64(0.7)
    }

    /// Returns the maximum time that a read of the store waits for changes.
    ///
    /// A read on a silent connection fails only after this wait plus the timeout of the answer. The
    /// copy of the store must then still be younger than [`Self::max_token_data_age`], and the bounds
    /// on `config` and `drain` must leave time for another read.
    #[must_use]
    pub fn store_wait(&self) -> Duration {
        let changes = self.config.min(self.drain).mul_f64(0.75);
        self.revocation.mul_f64(0.3).min(changes)
    }

    /// Returns the time of silence after which the store removes the entry of an endpoint.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.heartbeat * 3
    }

    /// Returns the minimum time between the starts of two reads of the store.
    ///
    /// This is a quarter of the tighter of the bounds on `config` and `drain`, so that a lost answer,
    /// a retry and its processing still fit.
    #[must_use]
    pub fn store_read_interval(&self) -> Duration {
        self.config.min(self.drain) / 4
    }
}
