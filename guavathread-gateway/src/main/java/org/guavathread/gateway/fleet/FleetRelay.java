package org.guavathread.gateway.fleet;

import org.guavathread.core.gossip.GossipPacket;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.guavathread.wire.MessageRegistry;

/** Transfers the reports of all reachable hosts, which do not fit into a datagram, to a host that knows fewer hosts. */
public final class FleetRelay {

    /** Path under which a host serves the reports to other hosts. */
    public static final String PATH = "/fleet";

    private static final int REPORTS_MESSAGE = 1;

    /** Request timeout; reports keep arriving in datagrams if the request fails. */
    private static final long TIMEOUT_MILLIS = 800;

    private final FrameCodec codec =
            FrameCodec.forSeveralBuilds(new MessageRegistry().register(REPORTS_MESSAGE, GossipPacket.class));

    /**
     * Encodes reports.
     *
     * @param reports this host's report and those of all reachable hosts
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
     * Builds the request for another host's reports.
     *
     * @param nowMillis the current time
     * @return the request
     */
    public HttpRequest request(long nowMillis) {
        return HttpRequest.get(PATH).deadlineMillis(nowMillis + TIMEOUT_MILLIS).build();
    }
}
