package org.guavathread.gateway.call;

import java.io.EOFException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.caller.CallerServer;
import org.guavathread.router.http.ExchangeFailedException;
import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpStep;
import org.guavathread.router.http.RequestNotSentException;

/**
 * The headers with which a host asks another one to send a request to a backend server, and with which the other host says
 * that the server has not answered. Everything else of request and answer passes unchanged.
 */
public final class RelayProtocol {

    private static final String PREFIX = "Guavathread-Relay-";

    /** Id of the server; present in requests to relay only. */
    static final String SERVER = PREFIX + "Server";

    /** Time for which the asking host waits, in milliseconds. */
    static final String TIMEOUT = PREFIX + "Timeout-Ms";

    /** Present in answers of the relaying host itself; see {@link Failure}. */
    static final String FAILURE = PREFIX + "Failure";

    /** Present if only the close of the server's connection ended its answer. */
    static final String CLOSE_DELIMITED = PREFIX + "Close-Delimited";

    private static final String TRANSFER_ENCODING = "Transfer-Encoding";

    /** Timeout of a request without a deadline. */
    private static final long MAX_TIMEOUT_MILLIS = 60_000;

    /** Why a server's answer is missing. */
    enum Failure {
        /** The host does not relay at present; another one may. */
        UNAVAILABLE {
            @Override
            HttpExchangeException exceptionFor(SocketAddressText server) {
                return new RequestNotSentException(HttpStep.POOL, server, "no host relays it", null);
            }
        },
        /** The relaying host could not connect to the server either. */
        NOT_CONNECTED {
            @Override
            HttpExchangeException exceptionFor(SocketAddressText server) {
                return new RequestNotSentException(
                        HttpStep.CONNECT, server, "the relaying host cannot connect to it", null);
            }
        },
        /** The relaying host did not send the request for another reason. */
        NOT_SENT {
            @Override
            HttpExchangeException exceptionFor(SocketAddressText server) {
                return new RequestNotSentException(HttpStep.POOL, server, "the relaying host did not send it", null);
            }
        },
        /** The server closed its connection before it answered. */
        CONNECTION_LOST {
            @Override
            HttpExchangeException exceptionFor(SocketAddressText server) {
                String reason = "the server closed the connection to the relaying host";
                return new ExchangeFailedException(HttpStep.ANSWER_HEAD, server, reason, new EOFException(reason));
            }
        },
        /** The request may have run, and there is no answer to wait for. */
        UNKNOWN {
            @Override
            HttpExchangeException exceptionFor(SocketAddressText server) {
                return new ExchangeFailedException(
                        HttpStep.ANSWER_HEAD, server, "the relaying host has no answer", null);
            }
        };

        /** Returns the failure that the sender would have seen without the relaying host. */
        abstract HttpExchangeException exceptionFor(SocketAddressText server);

        static Failure of(Throwable failure) {
            if (BackendClient.isNotConnected(failure)) {
                return NOT_CONNECTED;
            }
            if (BackendClient.isNotSent(failure)) {
                return NOT_SENT;
            }
            return BackendClient.isConnectionLost(failure) ? CONNECTION_LOST : UNKNOWN;
        }
    }

    private RelayProtocol() {}

    /** Returns a request as it is sent to the relaying host. */
    static HttpRequest relayed(HttpRequest request, Worker server, long timeoutMillis) {
        return request.toBuilder(server.address().toString())
                .header(SERVER, server.id().value())
                .header(TIMEOUT, Long.toString(Math.min(MAX_TIMEOUT_MILLIS, timeoutMillis)))
                .build();
    }

    /**
     * Returns the server that a request is relayed to.
     *
     * @param headers headers of a request from another host
     * @return the id, or empty if the request is not to be relayed
     */
    public static Optional<BackendServerId> serverOf(Map<String, String> headers) {
        return Optional.ofNullable(headers.get(SERVER))
                .filter(id -> !id.isBlank())
                .map(BackendServerId::new);
    }

    static boolean isOwn(String header) {
        return header.regionMatches(true, 0, PREFIX, 0, PREFIX.length());
    }

    static Optional<Failure> failureIn(HttpHead head) {
        return head.header(FAILURE)
                .map(name -> Arrays.stream(Failure.values())
                        .filter(f -> f.name().equals(name))
                        .findFirst()
                        .orElse(Failure.UNKNOWN));
    }

    /** Returns the head as the server sent it to the relaying host. */
    static HttpHead headOfServer(HttpHead relayed) {
        Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        headers.putAll(relayed.headers());
        if (headers.remove(CLOSE_DELIMITED) != null) {
            headers.remove(TRANSFER_ENCODING);
        }
        headers.remove(CallerServer.REQUEST_ID_HEADER);
        return new HttpHead(relayed.status(), headers);
    }

    /** Returns the headers with which a server's answer is passed back to the host that asked. */
    static Map<String, String> headersOfAnswer(HttpHead head) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        head.headers().forEach((name, values) -> headers.put(name, String.join(", ", values)));
        // A server must not be able to say that its request was not sent.
        headers.keySet().removeIf(RelayProtocol::isOwn);
        if (head.header("Content-Length").isEmpty()
                && head.header(TRANSFER_ENCODING).isEmpty()) {
            headers.put(CLOSE_DELIMITED, "1");
        }
        headers.keySet()
                .removeIf(name -> HttpRequest.isReserved(name) && !"content-length".equalsIgnoreCase(name)
                        || "keep-alive".equalsIgnoreCase(name));
        return headers;
    }
}
