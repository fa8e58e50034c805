//! Prometheus metrics of one daemon.

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Result of registering a metric.
pub type Result<T> = std::result::Result<T, prometheus::Error>;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0,
];

/// Registry of one daemon's metrics. Names get the prefix `arbutusmount_`.
#[derive(Debug, Clone, Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a counter with labels.
    ///
    /// # Errors
    /// When the name is taken or invalid.
    pub fn counter(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let counter = IntCounterVec::new(Opts::new(prefixed(name), help), labels)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a gauge of whole numbers with labels.
    ///
    /// # Errors
    /// When the name is taken or invalid.
    pub fn gauge(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        let gauge = IntGaugeVec::new(Opts::new(prefixed(name), help), labels)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a gauge of real numbers with labels.
    ///
    /// # Errors
    /// When the name is taken or invalid.
    pub fn real_gauge(&self, name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec> {
        let gauge = GaugeVec::new(Opts::new(prefixed(name), help), labels)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a histogram of seconds with labels.
    ///
    /// # Errors
    /// When the name is taken or invalid.
    pub fn latency_histogram(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<HistogramVec> {
        let options = HistogramOpts::new(prefixed(name), help).buckets(LATENCY_BUCKETS.to_vec());
        let histogram = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// All metrics in Prometheus text form.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.expect("metrics encode into memory");
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn prefixed(name: &str) -> String {
    format!("arbutusmount_{name}")
}
