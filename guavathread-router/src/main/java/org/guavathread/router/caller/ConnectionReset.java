package org.guavathread.router.caller;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SocketChannel;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.tinylog.Logger;

/** Closes connections so that the peer cannot mistake the close for the end of a complete answer. */
final class ConnectionReset {

    private ConnectionReset() {}

    /** Closes a connection with a TCP reset; falls back to an orderly close. */
    static void reset(Connection<?> connection) {
        if (connection instanceof TCPNIOConnection tcp) {
            SelectableChannel channel = tcp.getChannel();
            try {
                if (channel instanceof SocketChannel socket && socket.isOpen()) {
                    // A linger time of 0 discards what is unsent and sends a reset in place of the end of the stream.
                    socket.setOption(StandardSocketOptions.SO_LINGER, 0);
                }
            } catch (IOException e) {
                Logger.debug(
                        "The connection to {} is closed in order: {}.", connection.getPeerAddress(), e.getMessage());
            }
        }
        connection.closeSilently();
    }
}
