/** Metrics of the daemon, for Prometheus and for operators. */
package org.guavathread.router.metrics;
