/** What happens to requests whose backend server failed: retries, resumed streams and requests that crash servers. */
package org.guavathread.core.retry;
