/** Request processing from arrival to answer. All classes run on the event loop's thread. */
package org.guavathread.gateway.call;
