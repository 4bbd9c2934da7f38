//! Which endpoints an item may use, by their service and software version.

use crate::endpoint::{EndpointFilter, ListedEndpoint};
use crate::origins::VersionKey;
use std::sync::Arc;

/// Service and software version of the endpoints that an item may use. Asks of different scopes do not wait for each other.
///
/// ```
/// use fulmarswitch_switch::coordinator::scope::ItemScope;
/// let scope = ItemScope { service: "reports".into(), version: None };
/// assert_eq!(scope.filter().service, "reports");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemScope {
    /// Name of the service.
    pub service: Arc<str>,
    /// Software version that has written the output so far; `None` for any.
    pub version: Option<VersionKey>,
}

impl ItemScope {
    /// Selects the endpoints of the scope.
    #[must_use]
    pub fn filter(&self) -> EndpointFilter<'_> {
        EndpointFilter {
            service: &self.service,
            version: self.version,
        }
    }

    /// Whether an endpoint is in the scope.
    #[must_use]
    pub fn admits(&self, endpoint: &ListedEndpoint) -> bool {
        let has_version = || {
            self.version
                .is_none_or(|version| endpoint.version_key() == version)
        };
        endpoint.service == self.service && has_version()
    }
}
