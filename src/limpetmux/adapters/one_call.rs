//! The HTTP client that sends each call on a connection of its own.
//!
//! Nothing in an answer of a backend server or of the platform names the call that it belongs to. On
//! a kept connection an additional or late answer to an earlier call arrives where the answer to the
//! next one is due. A connection that carries one call only has no other answer on it. The client
//! also sends a call only once, whatever the answer: it neither follows redirects nor retries.

use reqwest::redirect::Policy;

/// Sends each call on a connection of its own; cheap to clone.
#[derive(Clone, Debug)]
pub struct OneCallClient(reqwest::Client);

impl OneCallClient {
    /// Creates a client.
    ///
    /// # Errors
    /// Returns an error if TLS cannot be set up.
    pub fn new() -> Result<Self, reqwest::Error> {
        let builder = reqwest::Client::builder().no_proxy().redirect(Policy::none());
        let builder = builder.pool_max_idle_per_host(0).retry(reqwest::retry::never());
        Ok(Self(builder.build()?))
    }

    pub(super) fn get(&self, url: String) -> reqwest::RequestBuilder {
        self.0.get(url)
    }

    pub(super) fn post(&self, url: String) -> reqwest::RequestBuilder {
        self.0.post(url)
    }
}
