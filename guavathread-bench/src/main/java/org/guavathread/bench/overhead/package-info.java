/** What the router adds to the time of a plain call, over real connections on loopback. */
package org.guavathread.bench.overhead;
