/** Host membership, failure detection, and the rights of a host under the current host epoch. */
package org.guavathread.core.membership;
