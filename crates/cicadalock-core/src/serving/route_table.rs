use std::sync::Arc;

use super::RouteConfig;

/// Routes sorted by host and prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    routes: Vec<Arc<RouteConfig>>,
}

impl RouteTable {
    /// Creates a table; of several routes with the same host and prefix, keeps the first.
    #[must_use]
    pub fn new(routes: impl IntoIterator<Item = RouteConfig>) -> Self {
        let mut routes: Vec<_> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|left, right| key(left).cmp(&key(right)));
        routes.dedup_by(|left, right| key(left) == key(right));
        Self { routes }
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// Ignores a port in `host` and compares it case-insensitively.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteConfig>> {
        let host = without_port(host).to_ascii_lowercase();
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            let prefix = &path[..=slash];
            let found = self
                .routes
                .binary_search_by(|route| key(route).cmp(&(host.as_str(), prefix)));
            if let Ok(index) = found {
                return Some(&self.routes[index]);
            }
            end = slash;
        }
        None
    }

    /// Iterates over the routes, sorted by host and prefix.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Arc<RouteConfig>> {
        self.routes.iter()
    }

    /// Returns the number of routes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether the table has no routes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

fn key(route: &RouteConfig) -> (&str, &str) {
    (&route.host, &route.prefix)
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
