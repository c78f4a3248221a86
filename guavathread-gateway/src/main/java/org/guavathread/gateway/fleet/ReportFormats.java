package org.guavathread.gateway.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.sheet.SocketAddressText;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * How many components of a {@link HostReport} the other hosts read, as their gossip packets show. Hosts of builds that read
 * longer reports announce their own number in the frame's correlation, which all builds ignore; the others write exactly
 * what they read. Thread-safe.
 */
final class ReportFormats {

    /** Components that this build writes and reads. */
    static final int OWN_FIELDS = HostReport.class.getRecordComponents().length;

    /** Reports of the builds since 96b7d09, and of those from 91d180d on; they refuse any other number. */
    private static final List<Integer> EXACT_FIELDS = List.of(18, 17);

    /** Maximum number of hosts; more are unknown again, which costs a datagram each. */
    private static final int MAX_HOSTS = 4_096;

    private final Map<SocketAddressText, Integer> fieldsByHost = new ConcurrentHashMap<>();

    /**
     * Learns from a gossip packet.
     *
     * @param host address of its sender
     * @param announced the correlation of its frame
     * @param bytes the frame
     */
    void received(SocketAddressText host, long announced, byte[] bytes) {
        if (fieldsByHost.size() >= MAX_HOSTS) {
            fieldsByHost.clear();
        }
        int fields = announced > 0 ? (int) Math.min(announced, OWN_FIELDS) : fieldsOfReport(bytes);
        fieldsByHost.put(host, fields);
    }

    private static int fieldsOfReport(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.unpackArrayHeader();
            // Type, correlation and reply.
            unpacker.skipValue(3);
            unpacker.unpackArrayHeader();
            return Math.min(OWN_FIELDS, unpacker.unpackArrayHeader());
        } catch (IOException e) {
            throw new IllegalArgumentException("A gossip packet that was decoded cannot be read again.", e);
        }
    }

    /**
     * Returns the formats in which a host gets reports.
     *
     * @param host address of the host
     * @return numbers of components; all that a host may need if it is unknown
     */
    List<Integer> fieldsFor(SocketAddressText host) {
        Integer fields = fieldsByHost.get(host);
        return fields == null ? EXACT_FIELDS : List.of(fields);
    }
}
