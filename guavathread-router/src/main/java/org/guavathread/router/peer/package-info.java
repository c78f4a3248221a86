/** Connections between hosts: framing, requests with deadlines, and replacement of connections that went silent. */
package org.guavathread.router.peer;
