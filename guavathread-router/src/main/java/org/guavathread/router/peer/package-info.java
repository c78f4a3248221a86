/** Connections between hosts: framing, requests with deadlines, and replacement of unresponsive connections. */
package org.guavathread.router.peer;
