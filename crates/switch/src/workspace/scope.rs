//! Whose jobs a caller finds, and which jobs share a quota.

use std::sync::Arc;

/// What a caller's request shows of whose it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CallerScope {
    /// The configuration has no workspaces, so all callers are alike.
    #[default]
    Everyone,
    /// A key of this workspace.
    Workspace(Arc<str>),
    /// No key, on a public route.
    Public,
}

impl CallerScope {
    /// Name of the caller's workspace.
    #[must_use]
    pub fn workspace(&self) -> Option<&Arc<str>> {
        match self {
            Self::Workspace(name) => Some(name),
            Self::Everyone | Self::Public => None,
        }
    }

    /// Whether the caller finds a job of this workspace. A job without one was accepted before there were workspaces, or on a public
    /// route: whoever knows its ID finds it.
    ///
    /// ```
    /// use fulmarswitch_switch::workspace::CallerScope;
    /// let scope = CallerScope::Workspace("workshop".into());
    /// assert!(scope.finds(Some("workshop")) && scope.finds(None));
    /// assert!(!scope.finds(Some("depot")) && !CallerScope::Public.finds(Some("depot")));
    /// ```
    #[must_use]
    pub fn finds(&self, owner: Option<&str>) -> bool {
        *self == Self::Everyone || owner.is_none() || self.owns(owner)
    }

    /// Whether a job of this workspace counts against the quota of the caller's jobs.
    #[must_use]
    pub fn shares_quota(&self, owner: Option<&str>) -> bool {
        *self == Self::Everyone || self.owns(owner)
    }

    fn owns(&self, owner: Option<&str>) -> bool {
        self.workspace().map(|name| &**name) == owner
    }
}
