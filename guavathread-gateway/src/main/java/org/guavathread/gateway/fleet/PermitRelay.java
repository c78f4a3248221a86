package org.guavathread.gateway.fleet;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.guavathread.wire.MessageRegistry;

/** Transfers permits to send one request to a server with a limit, from the owner of the limit to another host. */
public final class PermitRelay {

    /** Path under which a host grants permits to other hosts. */
    public static final String PATH = "/permit";

    /** Query parameter with the server's id. */
    public static final String SERVER = "server";

    /** Query parameter with the server's limit as the asking host knows it, in requests a second. */
    public static final String PER_SECOND = "per-second";

    private static final int GRANT_MESSAGE = 1;

    /** Request timeout: a request that waits longer would miss its target at any server. */
    private static final long TIMEOUT_MILLIS = 200;

    private final FrameCodec codec =
            FrameCodec.forSeveralBuilds(new MessageRegistry().register(GRANT_MESSAGE, Grant.class));

    /**
     * Answer of the owner.
     *
     * @param roomInMillis 0 if the request may be sent, otherwise the milliseconds after which to ask again
     */
    public record Grant(long roomInMillis) implements PeerMessage {}

    /**
     * Encodes an answer.
     *
     * @param grant the answer
     * @return its bytes
     */
    public byte[] encode(Grant grant) {
        return codec.encode(new Frame(0, false, grant));
    }

    /**
     * Decodes an answer.
     *
     * @param bytes the encoded answer
     * @return the answer
     */
    public Grant decode(byte[] bytes) {
        return (Grant) codec.decode(bytes).message();
    }

    /**
     * Builds the request for a permit.
     *
     * @param server the server
     * @param perSecond its limit
     * @param nowMillis the current time
     * @return the request
     */
    public HttpRequest request(BackendServerId server, double perSecond, long nowMillis) {
        String query = "?" + SERVER + "=" + URLEncoder.encode(server.value(), StandardCharsets.UTF_8) + "&" + PER_SECOND
                + "=" + perSecond;
        return HttpRequest.get(PATH + query)
                .nonRepeatable()
                .deadlineMillis(nowMillis + TIMEOUT_MILLIS)
                .build();
    }
}
