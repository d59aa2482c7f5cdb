/** Metrics for Prometheus, with bounded label sets. */
package org.amaranthstream.metrics;
