/** Wire form of the messages between hosts: MessagePack in frames with a length prefix. */
package org.guavathread.wire;
