/**
 * Asynchronous HTTP/1.1 client on Grizzly's filter chain that reports whether a request can have run. It holds each answer
 * against RFC 9112 ({@link org.guavathread.router.http.AnswerReader}) before Grizzly's codec reads it.
 */
package org.guavathread.router.http;
