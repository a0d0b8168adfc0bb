use std::sync::Arc;
use std::time::Duration;

use super::{RouteConfig, RouteFinding, RouteTable};
use crate::collect::SortedMap;
use crate::id::{CustomerName, ServiceName};

/// What a caller may send, and how long it may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a whole head.
    pub head_timeout: Duration,
    /// Time that a connection may stay without a request.
    pub idle_timeout: Duration,
    /// Tokens a second that all endpoints of the fleet produce together, read ones once and
    /// generated ones twice; zero if not told.
    pub tokens_per_second: u64,
}

/// What a service's endpoints have in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTraits {
    /// Path that tells whether an endpoint is healthy.
    pub health_path: Arc<str>,
    /// Connections that one endpoint accepts of all callers together.
    pub connections: u32,
    /// Requests that a model endpoint processes at once; none for applications.
    pub engine_slots: Option<u32>,
    /// Tokens that a model endpoint's memory holds.
    pub engine_tokens: Option<u64>,
}

/// One version of the operators' configuration, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingConfig {
    version: u64,
    routes: RouteTable,
    services: SortedMap<ServiceName, ServiceTraits>,
    tokens: SortedMap<Arc<str>, CustomerName>,
    has_customers: bool,
    limits: CallerLimits,
}

/// Collects the parts of a [`ServingConfig`].
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
    /// Starts the construction of a configuration.
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

    /// Number that grows with each change.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The routes.
    #[must_use]
    pub const fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// What is known of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceTraits> {
        self.services.get(name)
    }

    /// The customer that holds a token.
    #[must_use]
    pub fn customer(&self, token: &str) -> Option<&CustomerName> {
        self.tokens.get(&Arc::from(token))
    }

    /// Tells whether routes that are not public need a token.
    #[must_use]
    pub const fn has_customers(&self) -> bool {
        self.has_customers
    }

    /// What callers may send.
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

    /// Lets routes that are not public need a token, even if no customer is added.
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

    /// Sets the bounds on what callers send.
    #[must_use]
    pub const fn limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Builds the configuration.
    ///
    /// # Errors
    ///
    /// Fails with every fault found.
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
    /// Bounds until a configuration tells its own; common defaults of HTTP servers.
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
