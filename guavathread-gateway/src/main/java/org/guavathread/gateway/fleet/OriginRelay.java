package org.guavathread.gateway.fleet;

import java.util.Optional;

import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.page.PageServer;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;
import org.guavathread.wire.MessageRegistry;

/** Transfers the software version at which a stream began to a host to which its caller returns. */
public final class OriginRelay {

    /** Path under which a host answers other hosts. */
    public static final String PATH = "/stream-origin";

    private static final String ATTEMPT = "attempt";
    private static final int ORIGIN_MESSAGE = 1;

    /** Request timeout: a host that answers does so within milliseconds, and the caller waits. */
    private static final long TIMEOUT_MILLIS = 250;

    private final FrameCodec codec =
            FrameCodec.forSeveralBuilds(new MessageRegistry().register(ORIGIN_MESSAGE, Origin.class));

    /**
     * Answer of a host.
     *
     * @param version the version, or empty if the host does not know the stream
     */
    public record Origin(Optional<SoftwareVersion> version) implements PeerMessage {}

    /**
     * Encodes an answer.
     *
     * @param origin the answer
     * @return its bytes
     */
    public byte[] encode(Origin origin) {
        return codec.encode(new Frame(0, false, origin));
    }

    /**
     * Decodes an answer.
     *
     * @param bytes the encoded answer
     * @return the answer
     */
    public Origin decode(byte[] bytes) {
        return (Origin) codec.decode(bytes).message();
    }

    /**
     * Builds the request for the origin of a stream.
     *
     * @param attempt key of the attempt that brought its first event
     * @param nowMillis the current time
     * @return the request
     */
    public HttpRequest request(long attempt, long nowMillis) {
        return HttpRequest.get(PATH + "?" + ATTEMPT + "=" + attempt)
                .deadlineMillis(nowMillis + TIMEOUT_MILLIS)
                .build();
    }

    /**
     * Decodes the query of a request.
     *
     * @param query the query
     * @return key of the attempt
     * @throws NumberFormatException if the key is missing or not a whole number
     */
    public static long attemptOf(PageServer.Query query) {
        return Long.parseLong(query.parameter(ATTEMPT));
    }
}
