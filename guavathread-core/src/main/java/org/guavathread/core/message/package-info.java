/** What messages between hosts have in common. The messages of a decision stand beside it in its own package. */
package org.guavathread.core.message;
