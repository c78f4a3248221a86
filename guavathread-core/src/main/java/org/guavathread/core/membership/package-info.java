/** Which hosts there are, which of them answer, and which rights a host has under the current host epoch. */
package org.guavathread.core.membership;
