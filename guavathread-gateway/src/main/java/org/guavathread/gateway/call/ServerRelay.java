package org.guavathread.gateway.call;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.http.HttpCall;
import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpRequest;

/**
 * Sends requests to backend servers for hosts that do not reach them. It decides nothing about a request: limits, retries and
 * the choice of the server are the other host's. It connects only to servers that this host uses itself, and never through
 * a third host, so requests cannot go round in circles. Runs on the event loop's thread.
 */
public final class ServerRelay {

    /** Answers have some kilobytes; the limit protects memory from a faulty server. */
    private static final long MAX_ANSWER_BYTES = 4L * 1024 * 1024;

    private static final int STATUS_BAD_GATEWAY = 502;

    private final GatewayContext context;
    private final Set<Relayed> running = new HashSet<>();
    private boolean accepts = true;

    /**
     * Creates a relay.
     *
     * @param context source of the servers
     */
    public ServerRelay(GatewayContext context) {
        this.context = context;
    }

    /** Refuses further requests; running ones go on. */
    public void stopAccepting() {
        accepts = false;
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return requests without an end
     */
    public int inProgress() {
        return running.size();
    }

    /**
     * Handles a request of another host.
     *
     * @param exchange the request
     * @param server the server that it is for
     */
    public void accept(CallerExchange exchange, BackendServerId server) {
        Optional<Worker> worker = context.state().registry().usable().stream()
                .filter(w -> w.id().equals(server))
                .findFirst();
        if (!accepts || worker.isPresent() && context.isOutOfReach(worker.get().service())) {
            answerFailure(exchange, RelayProtocol.Failure.UNAVAILABLE);
            return;
        }
        if (worker.isEmpty()
                || context.pauses().isPaused(worker.get(), context.loop().nowMillis())) {
            answerFailure(exchange, RelayProtocol.Failure.NOT_SENT);
            return;
        }
        HttpRequest request;
        try {
            request = requestOf(exchange);
        } catch (IllegalArgumentException e) {
            context.log()
                    .entry("relay")
                    .with("server", server)
                    .with("failure", e.getMessage())
                    .write();
            answerFailure(exchange, RelayProtocol.Failure.NOT_SENT);
            return;
        }
        Relayed relayed = new Relayed(exchange, worker.get(), request);
        running.add(relayed);
        relayed.call =
                BackendClient.streamFrom(context, worker.get(), worker.get().address(), request, relayed);
        exchange.onDisconnect(() -> context.loop().complete(relayed::callerGone));
    }

    private HttpRequest requestOf(CallerExchange exchange) {
        HttpRequest.Builder builder = HttpRequest.of(exchange.method(), exchange.path() + exchange.query())
                .virtualHost(exchange.header("Host").orElse(""))
                .body(exchange.body())
                .nonRepeatable()
                .acceptCloseDelimitedResponse()
                .maxResponseBytes(MAX_ANSWER_BYTES);
        exchange.headers().forEach((name, value) -> {
            if (!HttpRequest.isReserved(name) && !RelayProtocol.isOwn(name)) {
                builder.header(name, value);
            }
        });
        long timeoutMillis = exchange.header(RelayProtocol.TIMEOUT)
                .map(Long::parseLong)
                .orElseThrow(() -> new IllegalArgumentException("The request has no " + RelayProtocol.TIMEOUT + "."));
        return builder.deadlineMillis(context.loop().nowMillis() + timeoutMillis)
                .build();
    }

    private static void answerFailure(CallerExchange exchange, RelayProtocol.Failure failure) {
        exchange.answerAsync(STATUS_BAD_GATEWAY, Map.of(RelayProtocol.FAILURE, failure.name()), new byte[0]);
    }

    /** One request until its end. */
    private final class Relayed implements BackendClient.Receiver {

        private final CallerExchange exchange;
        private final Worker worker;
        private final HttpRequest request;
        private final long openedAtMillis = context.loop().nowMillis();
        private HttpCall call;
        private Optional<CallerExchange.StreamBody> out = Optional.empty();

        private Relayed(CallerExchange exchange, Worker worker, HttpRequest request) {
            this.exchange = exchange;
            this.worker = worker;
            this.request = request;
        }

        private void callerGone() {
            if (running.contains(this)) {
                end("caller gone");
                call.cancel();
            }
        }

        @Override
        public void onHead(HttpHead head) {
            BackendClient.connected(context, worker, openedAtMillis);
            context.notices().heard(worker, request, head);
            out = exchange.openStream(head.status(), RelayProtocol.headersOfAnswer(head));
            if (out.isEmpty()) {
                callerGone();
            }
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (running.contains(this) && !out.get().write(bytes)) {
                callerGone();
            }
        }

        @Override
        public void onDone() {
            if (running.contains(this)) {
                out.get().finish();
                end("answered");
            }
        }

        @Override
        public void onFailure(HttpExchangeException failure) {
            if (!running.contains(this)) {
                return;
            }
            if (BackendClient.isNotConnected(failure)) {
                BackendClient.notConnected(context, worker);
            }
            if (out.isPresent()) {
                out.get().abort();
            } else {
                answerFailure(exchange, RelayProtocol.Failure.of(failure));
            }
            end(failure.getMessage());
        }

        private void end(String outcome) {
            running.remove(this);
            context.log()
                    .entry("relayed")
                    .with("server", worker.id())
                    .with("outcome", outcome)
                    .with("millis", context.loop().nowMillis() - openedAtMillis)
                    .write();
        }
    }
}
