//! Requests that this controller gives up a term.

use tokio::sync::watch;

/// The term that this controller should give up, if any. Clones share it.
///
/// A request names its term, because it may come when that term has ended already: the loss of a
/// lease is shown both by its extension and by a transaction that fails its precondition.
#[derive(Debug, Clone)]
pub struct Resignation {
    requested_term: watch::Sender<Option<u64>>,
}

impl Default for Resignation {
    fn default() -> Self {
        Self { requested_term: watch::Sender::new(None) }
    }
}

impl Resignation {
    /// Requests that this controller gives up `term`. Has no effect on other terms.
    pub fn request(&self, term: u64) {
        self.requested_term.send_replace(Some(term));
    }

    /// Waits until it is requested that this controller gives up `term`.
    pub async fn requested(&self, term: u64) {
        let mut requested_term = self.requested_term.subscribe();
        // The channel stays open, since this value has a sender of it.
        let _ = requested_term.wait_for(|requested| *requested == Some(term)).await;
    }
}
