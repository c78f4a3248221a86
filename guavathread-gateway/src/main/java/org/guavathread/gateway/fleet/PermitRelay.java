package org.guavathread.gateway.fleet;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.OptionalDouble;

import org.guavathread.core.dispatch.PermitTerms;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.page.PageServer;
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
    private static final String PER_SECOND = "per-second";

    /** Query parameter with what a cold server may be granted in a second; hosts of earlier builds do not read it. */
    private static final String COLD_PER_SECOND = "cold-per-second";

    /** Query parameter that tells whether the asking host knows that the server is cold. */
    private static final String COLD_FOR_SURE = "cold-for-sure";

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
     * Reads the limits in a request for a permit.
     *
     * @param query the query of the request
     * @return the server's limits as the asking host knows them
     */
    public static PermitTerms termsOf(PageServer.Query query) {
        return new PermitTerms(
                rateOf(query, PER_SECOND),
                rateOf(query, COLD_PER_SECOND),
                Boolean.parseBoolean(query.parameter(COLD_FOR_SURE)));
    }

    private static OptionalDouble rateOf(PageServer.Query query, String name) {
        String text = query.parameter(name);
        double rate = text.isEmpty() ? Double.POSITIVE_INFINITY : Double.parseDouble(text);
        return Double.isInfinite(rate) ? OptionalDouble.empty() : OptionalDouble.of(rate);
    }

    /**
     * Builds the request for a permit.
     *
     * @param server the server
     * @param terms its limits
     * @param nowMillis the current time
     * @return the request
     */
    public HttpRequest request(BackendServerId server, PermitTerms terms, long nowMillis) {
        StringBuilder query = new StringBuilder("?" + SERVER + "=");
        query.append(URLEncoder.encode(server.value(), StandardCharsets.UTF_8));
        // Hosts of earlier builds require a stated limit; an infinite one binds nothing.
        query.append("&" + PER_SECOND + "=").append(terms.statedPerSecond().orElse(Double.POSITIVE_INFINITY));
        terms.coldPerSecond()
                .ifPresent(rate -> query.append("&" + COLD_PER_SECOND + "=")
                        .append(rate)
                        .append("&" + COLD_FOR_SURE + "=")
                        .append(terms.isColdForSure()));
        return HttpRequest.get(PATH + query)
                .nonRepeatable()
                .deadlineMillis(nowMillis + TIMEOUT_MILLIS)
                .build();
    }
}
