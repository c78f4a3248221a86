/** Small read-only HTTP pages, such as probes and metrics. */
package org.guavathread.router.page;
