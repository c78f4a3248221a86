/** The daemon for platforms that publish configuration and backend servers in a store that is read-only to it. */
package org.guavathread.gateway;
