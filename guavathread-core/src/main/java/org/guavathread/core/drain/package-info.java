/** How a host ends without cutting off a request. */
package org.guavathread.core.drain;
