//! Which endpoint a request goes to.
//!
//! Requests with one prefix prefer one endpoint, so that its cache serves them; an endpoint that holds more
//! than its fair share passes them on to the next in the prefix's rendezvous order.

use crate::placement::weight;

/// Share over the mean load up to which an endpoint keeps its prefixes, in percent.
const LOAD_BOUND_PERCENT: usize = 125;
/// Requests above the mean that an endpoint may hold however small the mean is.
const LOAD_SLACK: usize = 2;

/// An endpoint as the chooser sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointView<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Requests that it holds, as far as known here.
    pub held: usize,
    /// Whether it stands in the chooser's failure domain.
    pub near: bool,
}

/// Chooses an endpoint for a request with the given prefix, or `None` when there are none.
///
/// ```
/// use fulmarswitch_decide::balance::{EndpointView, choose};
/// let free = EndpointView { name: "a", held: 0, near: true };
/// let full = EndpointView { name: "b", held: 90, near: true };
/// assert_eq!(choose(&[free, full], "prefix"), Some(0));
/// ```
#[must_use]
pub fn choose(endpoints: &[EndpointView<'_>], prefix: &str) -> Option<usize> {
    let total: usize = endpoints.iter().map(|endpoint| endpoint.held).sum();
    let mean = total / endpoints.len().max(1);
    let bound = mean * LOAD_BOUND_PERCENT / 100 + LOAD_SLACK;
    let within = |endpoint: &EndpointView<'_>| endpoint.held <= bound;
    endpoints
        .iter()
        .enumerate()
        .max_by_key(|(_, endpoint)| (within(endpoint), weight(endpoint.name, prefix)))
        .map(|(at, _)| at)
}
