//! Prometheus metrics of a daemon.

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Result of registering a metric.
pub type Result<T> = std::result::Result<T, prometheus::Error>;

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0,
];

/// Registry of the metrics of one daemon; adds the prefix `arbutusmount_` to their names.
#[derive(Debug, Clone, Default)]
pub struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a counter with these label names.
    ///
    /// # Errors
    /// When the name or a label is invalid, or the name is registered already.
    pub fn counter(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let counter = IntCounterVec::new(Opts::new(prefixed(name), help), labels)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers an integer gauge with these label names.
    ///
    /// # Errors
    /// When the name or a label is invalid, or the name is registered already.
    pub fn gauge(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        let gauge = IntGaugeVec::new(Opts::new(prefixed(name), help), labels)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a floating-point gauge with these label names.
    ///
    /// # Errors
    /// When the name or a label is invalid, or the name is registered already.
    pub fn float_gauge(&self, name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec> {
        let gauge = GaugeVec::new(Opts::new(prefixed(name), help), labels)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a histogram of latencies in seconds with these label names.
    ///
    /// # Errors
    /// When the name or a label is invalid, or the name is registered already.
    pub fn latency_histogram(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<HistogramVec> {
        let options = HistogramOpts::new(prefixed(name), help).buckets(LATENCY_BUCKETS_S.to_vec());
        let histogram = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        encoded.expect("encoding into memory cannot fail");
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn prefixed(name: &str) -> String {
    format!("arbutusmount_{name}")
}
