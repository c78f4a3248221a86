/** What the daemon counts, for Prometheus and for operators. */
package org.guavathread.router.metrics;
