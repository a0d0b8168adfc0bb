use std::sync::Arc;
use std::time::Duration;

use super::{RouteConfig, RouteFinding, RouteTable};
use crate::collect::SortedMap;
use crate::id::{CustomerName, ServiceName};

/// Size limits and timeouts for callers, and the capacity of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's header section, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a complete header section.
    pub head_timeout: Duration,
    /// Maximum time that a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// Throughput of all endpoints of the fleet together, in tokens per second: prompt tokens count
    /// once, generated tokens twice. Zero if unknown.
    pub tokens_per_second: u64,
}

/// Properties shared by all endpoints of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTraits {
    /// Path of an endpoint's health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// Number of requests that a model endpoint processes concurrently; `None` for applications.
    pub engine_slots: Option<u32>,
    /// Capacity of a model endpoint's memory, in tokens; `None` for applications.
    pub engine_tokens: Option<u64>,
}

/// One validated version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingConfig {
    version: u64,
    routes: RouteTable,
    services: SortedMap<ServiceName, ServiceTraits>,
    tokens: SortedMap<Arc<str>, CustomerName>,
    has_customers: bool,
    limits: CallerLimits,
}

/// Builder for a [`ServingConfig`].
#[derive(Debug, Clone)]
pub struct ConfigBuilder {
    version: u64,
    routes: Vec<RouteConfig>,
    services: SortedMap<ServiceName, ServiceTraits>,
    tokens: Vec<(Arc<str>, CustomerName)>,
    has_customers: bool,
    limits: CallerLimits,
}

impl ServingConfig {
    /// Creates a builder for the configuration with the given version.
    #[must_use]
    pub fn builder(version: u64) -> ConfigBuilder {
        ConfigBuilder {
            version,
            routes: Vec::new(),
            services: SortedMap::new(),
            tokens: Vec::new(),
            has_customers: false,
            limits: CallerLimits::default(),
        }
    }

    /// Returns the version; it increases with each change.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the routes.
    #[must_use]
    pub const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns the properties of a service; `None` if it is not configured.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceTraits> {
        self.services.get(name)
    }

    /// Returns the customer that owns a token.
    #[must_use]
    pub fn customer(&self, token: &str) -> Option<&CustomerName> {
        self.tokens.get(&Arc::from(token))
    }

    /// Returns whether routes that are not public require a token.
    #[must_use]
    pub const fn has_customers(&self) -> bool {
        self.has_customers
    }

    /// Returns the limits for callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }
}

impl ConfigBuilder {
    /// Adds a route.
    #[must_use]
    pub fn route(mut self, route: RouteConfig) -> Self {
        self.routes.push(route);
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, name: ServiceName, traits: ServiceTraits) -> Self {
        self.services.insert(name, traits);
        self
    }

    /// Makes routes that are not public require a token, even if no customer is added.
    #[must_use]
    pub const fn with_customers(mut self) -> Self {
        self.has_customers = true;
        self
    }

    /// Adds a customer with its tokens.
    #[must_use]
    pub fn customer(
        mut self,
        name: CustomerName,
        tokens: impl IntoIterator<Item = Arc<str>>,
    ) -> Self {
        self.has_customers = true;
        let tokens = tokens.into_iter().map(|token| (token, name.clone()));
        self.tokens.extend(tokens);
        self
    }

    /// Sets the limits for callers.
    #[must_use]
    pub const fn limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Builds the configuration.
    ///
    /// # Errors
    ///
    /// Returns a finding for each token that belongs to two customers.
    pub fn build(self) -> Result<ServingConfig, Vec<RouteFinding>> {
        let mut findings = Vec::new();
        let mut tokens: SortedMap<Arc<str>, CustomerName> = SortedMap::new();
        for (token, customer) in self.tokens {
            let earlier = tokens.insert(token, customer.clone());
            if let Some(other) = earlier.filter(|other| *other != customer) {
                findings.push(RouteFinding {
                    place: Arc::from(customer.as_str()),
                    problem: format!("has a token of customer `{other}`"),
                });
            }
        }
        if !findings.is_empty() {
            return Err(findings);
        }
        Ok(ServingConfig {
            version: self.version,
            routes: RouteTable::new(self.routes),
            services: self.services,
            tokens,
            has_customers: self.has_customers,
            limits: self.limits,
        })
    }
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration sets its own; common defaults of HTTP
    /// servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_second: 0,
        }
    }
}
