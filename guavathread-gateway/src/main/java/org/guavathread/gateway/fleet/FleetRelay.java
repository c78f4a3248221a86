package org.guavathread.gateway.fleet;

import org.guavathread.core.gossip.GossipPacket;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.guavathread.wire.MessageRegistry;

/** Hands the reports of all hosts within reach to a host that knows fewer, which a datagram has no room for. */
public final class FleetRelay {

    /** Path under which a host serves the reports to other hosts. */
    public static final String PATH = "/fleet";

    private static final int REPORTS_MESSAGE = 1;

    /** A host that does not answer within this time is not waited for; reports go on arriving in datagrams. */
    private static final long TIMEOUT_MILLIS = 800;

    private final FrameCodec codec =
            new FrameCodec(new MessageRegistry().register(REPORTS_MESSAGE, GossipPacket.class));

    /**
     * Encodes reports.
     *
     * @param reports this host's report and those of all hosts within reach
     * @return their bytes
     */
    public byte[] encode(GossipPacket reports) {
        return codec.encode(new Frame(0, false, reports));
    }

    /**
     * Decodes reports.
     *
     * @param bytes the encoded reports
     * @return the reports
     */
    public GossipPacket decode(byte[] bytes) {
        return (GossipPacket) codec.decode(bytes).message();
    }

    /**
     * Builds the question for a host's reports.
     *
     * @param nowMillis the current time
     * @return the request
     */
    public HttpRequest request(long nowMillis) {
        return HttpRequest.get(PATH).deadlineMillis(nowMillis + TIMEOUT_MILLIS).build();
    }
}
