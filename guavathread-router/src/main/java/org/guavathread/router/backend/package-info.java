/** Adapters to backend servers, the weight store, the configuration service and the host list. */
package org.guavathread.router.backend;
