//! For which part of all hosts a host decides.
//!
//! Hosts that are cut off from each other cannot agree, so each side grants as much as its part of the known hosts allows. A cut is noticed
//! only after a while. Until then, the hosts on the other side of the accountant take it for silent, and grant less.

/// Part of its share that a host grants while it does not know why those of higher rank are silent.
const CAUTIOUS_PART: f64 = 0.5;

/// In which role a host decides on the requests of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeciderRole {
    /// No host of higher rank was heard lately.
    Accountant,
    /// A host of higher rank was heard lately, but does not answer.
    StandIn,
    /// No host that should decide answers. The host decides for its own callers.
    Alone,
}

/// Hosts that were heard lately, as parts of all known hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeardPart {
    /// This host and those that it hears.
    pub heard: f64,
    /// This host.
    pub own: f64,
}

impl HeardPart {
    /// Computes the parts from the numbers of other hosts that were heard lately and that are known.
    #[must_use]
    pub fn new(heard: usize, known: usize) -> Self {
        let part = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let own = 1.0 / part(known + 1);
        Self {
            heard: part(heard + 1) * own,
            own,
        }
    }

    /// Whether this host is with most of the others.
    #[must_use]
    pub fn is_majority(&self) -> bool {
        self.heard > 0.5
    }

    /// Part of all hosts for which a host in this role decides.
    ///
    /// ```
    /// use fulmarswitch_switch::workspace::share::{DeciderRole, HeardPart};
    /// let part = HeardPart::new(7, 15);
    /// assert_eq!(part.share(DeciderRole::Accountant), 0.5);
    /// assert_eq!(part.share(DeciderRole::StandIn), 0.25);
    /// assert_eq!(part.share(DeciderRole::Alone), 0.0625);
    /// ```
    #[must_use]
    pub fn share(&self, role: DeciderRole) -> f64 {
        match role {
            DeciderRole::Accountant => self.heard,
            DeciderRole::StandIn => self.heard * CAUTIOUS_PART,
            DeciderRole::Alone if self.is_majority() => self.own * CAUTIOUS_PART,
            DeciderRole::Alone => self.own,
        }
    }
}
