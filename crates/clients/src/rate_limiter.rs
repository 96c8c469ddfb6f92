//! A limit on the rate of a client's requests to a service.

use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum rate of a limiter, in permits per second: at rate 0 the waiting times would be infinite.
const MIN_PERMITS_PER_S: f64 = 0.1;
/// Minimum capacity of a bucket, in permits: a request that needs one permit must be able to proceed.
const MIN_BURST_PERMITS: f64 = 1.0;

/// Permits that a client acquires for each request.
pub(crate) const PERMITS_PER_REQUEST: f64 = 1.0;

/// A token bucket that refills at a constant rate and holds at most the permits of one second.
#[derive(Debug)]
pub struct RateLimiter {
    permits_per_s: f64,
    bucket: Mutex<Bucket>,
}

/// The fill level of a token bucket, which is negative while acquired permits have yet to be refilled.
#[derive(Debug)]
struct Bucket {
    permits: f64,
    updated_at: Instant,
}

/// Returns the number of permits in a full bucket: those of one second, but at least [`MIN_BURST_PERMITS`].
fn bucket_capacity(permits_per_s: f64) -> f64 {
    permits_per_s.max(MIN_BURST_PERMITS)
}

impl RateLimiter {
    /// Creates a limiter with a full bucket. Rates below 0.1 permits per second are raised to 0.1.
    pub fn new(permits_per_s: f64) -> Self {
        let permits_per_s = permits_per_s.max(MIN_PERMITS_PER_S);
        let bucket = Bucket { permits: bucket_capacity(permits_per_s), updated_at: Instant::now() };
        Self { permits_per_s, bucket: Mutex::new(bucket) }
    }

    /// Acquires `permits` at once, even if the level of the bucket becomes negative, and returns how long the
    /// caller has to wait before it may use them.
    pub fn acquire_now(&self, permits: f64) -> Duration {
        let Ok(mut bucket) = self.bucket.lock() else { return Duration::ZERO };
        let now = Instant::now();
        let elapsed_s = (now - bucket.updated_at).as_secs_f64();
        let refilled = bucket.permits + elapsed_s * self.permits_per_s;
        bucket.permits = refilled.min(bucket_capacity(self.permits_per_s)) - permits;
        bucket.updated_at = now;
        if bucket.permits >= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(-bucket.permits / self.permits_per_s)
        }
    }

    /// Waits until `permits` are available, if that takes at most `queue_limit`. Otherwise acquires
    /// nothing and returns `false` at once.
    pub async fn acquire_within(&self, permits: f64, queue_limit: Duration) -> bool {
        let wait = self.acquire_now(permits);
        if wait > queue_limit {
            if let Ok(mut bucket) = self.bucket.lock() {
                bucket.permits += permits;
            }
            return false;
        }
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        true
    }

    /// Waits until `permits` are available, however long that takes.
    pub async fn acquire(&self, permits: f64) {
        let wait = self.acquire_now(permits);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }
}
