/** Asynchronous HTTP/1.1 client on Grizzly's filter chain that reports whether a request can have run. */
package org.guavathread.router.http;
