/** Wire format of the messages between hosts: MessagePack in length-prefixed frames. */
package org.guavathread.wire;
