/** Common interface of the messages between hosts. Each message is in the package of the logic that uses it. */
package org.guavathread.core.message;
