package org.guavathread.gateway.call;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.Worker;
import org.guavathread.router.http.ExchangeFailedException;
import org.guavathread.router.http.HttpCall;
import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;
import org.guavathread.router.http.HttpStep;

/**
 * One request to a backend server that another host sends for this one. Another relaying host is tried only if the first
 * one certainly sent nothing to the server. Runs on the event loop's thread.
 */
abstract class RelayedCall implements HttpCall {

    /** Relaying hosts that are tried for one request; more would use up the caller's time. */
    private static final int MAX_RELAYS = 2;

    final GatewayContext context;
    final Worker worker;
    private final Relays relays;
    private final Predicate<DataCentreId> allowed;
    private final HttpRequest request;
    private final Set<HostId> tried = new HashSet<>();
    private HttpCall call;
    private Relays.RelayHost relay;
    private boolean cancelled;

    private RelayedCall(
            GatewayContext context,
            Relays relays,
            Predicate<DataCentreId> allowed,
            Worker worker,
            HttpRequest request) {
        this.context = context;
        this.relays = relays;
        this.allowed = allowed;
        this.worker = worker;
        this.request = request;
    }

    /** Sends the request to the next relaying host. */
    RelayedCall begin() {
        Optional<Relays.RelayHost> next = tried.size() < MAX_RELAYS ? relays.next(tried, allowed) : Optional.empty();
        if (next.isEmpty()) {
            // A failure within this call would reach a caller that has not stored the call yet.
            context.loop().complete(() -> fail(RelayProtocol.Failure.UNAVAILABLE.exceptionFor(worker.address())));
            return this;
        }
        relay = next.get();
        tried.add(relay.host());
        long now = context.loop().nowMillis();
        call = open(relay, RelayProtocol.relayed(request, worker, request.remainingMillis(now)));
        return this;
    }

    abstract HttpCall open(Relays.RelayHost to, HttpRequest relayed);

    abstract void deliverFailure(HttpExchangeException failure);

    /** Handles an answer of the relaying host itself. */
    final void notAnswered(RelayProtocol.Failure failure) {
        if (failure == RelayProtocol.Failure.UNAVAILABLE) {
            relays.failed(relay.host());
            tryNext();
        } else {
            fail(failure.exceptionFor(worker.address()));
        }
    }

    /** Handles a failed exchange with the relaying host, which tells nothing about the server. */
    final void relayFailed(Throwable failure) {
        if (cancelled) {
            return;
        }
        relays.failed(relay.host());
        context.log()
                .entry("relay")
                .with("server", worker.id())
                .with("through", relay.host())
                .with("failure", failure.getMessage())
                .write();
        if (BackendClient.isNotSent(failure)) {
            tryNext();
        } else {
            HttpStep step = failure instanceof HttpExchangeException e ? e.step() : HttpStep.ANSWER_BODY;
            fail(new ExchangeFailedException(
                    step, worker.address(), "the connection through host " + relay.host() + " failed", null));
        }
    }

    /** Reads what the server says of itself in the head of its answer; returns the head. */
    final HttpHead heard(HttpHead head) {
        context.notices().heard(worker, request, head);
        return head;
    }

    private void tryNext() {
        if (!cancelled) {
            begin();
        }
    }

    private void fail(HttpExchangeException failure) {
        if (!cancelled) {
            deliverFailure(failure);
        }
    }

    @Override
    public final void cancel() {
        cancelled = true;
        if (call != null) {
            call.cancel();
        }
    }

    /** A relayed request whose answer is collected. */
    static final class Whole extends RelayedCall {

        private final Consumer<HttpResponse> onAnswer;
        private final Consumer<Throwable> onFailure;

        Whole(
                GatewayContext context,
                Relays relays,
                Predicate<DataCentreId> allowed,
                Worker worker,
                HttpRequest request,
                Consumer<HttpResponse> onAnswer,
                Consumer<Throwable> onFailure) {
            super(context, relays, allowed, worker, request);
            this.onAnswer = onAnswer;
            this.onFailure = onFailure;
        }

        @Override
        HttpCall open(Relays.RelayHost to, HttpRequest relayed) {
            return BackendClient.sendTo(context, to.address(), relayed, this::answered, this::relayFailed);
        }

        private void answered(HttpResponse answer) {
            Optional<RelayProtocol.Failure> failure = RelayProtocol.failureIn(answer.head());
            if (failure.isPresent()) {
                notAnswered(failure.get());
            } else {
                onAnswer.accept(new HttpResponse(heard(RelayProtocol.headOfServer(answer.head())), answer.body()));
            }
        }

        @Override
        void deliverFailure(HttpExchangeException failure) {
            onFailure.accept(failure);
        }
    }

    /** A relayed request whose answer is passed on as it arrives. */
    static final class Streamed extends RelayedCall implements BackendClient.Receiver {

        private final BackendClient.Receiver receiver;
        private Optional<RelayProtocol.Failure> failure = Optional.empty();

        Streamed(
                GatewayContext context,
                Relays relays,
                Predicate<DataCentreId> allowed,
                Worker worker,
                HttpRequest request,
                BackendClient.Receiver receiver) {
            super(context, relays, allowed, worker, request);
            this.receiver = receiver;
        }

        @Override
        HttpCall open(Relays.RelayHost to, HttpRequest relayed) {
            return BackendClient.streamFrom(context, worker, to.address(), relayed, this);
        }

        @Override
        public void onHead(HttpHead head) {
            failure = RelayProtocol.failureIn(head);
            if (failure.isEmpty()) {
                receiver.onHead(heard(RelayProtocol.headOfServer(head)));
            }
        }

        @Override
        public void onBytes(byte[] bytes) {
            if (failure.isEmpty()) {
                receiver.onBytes(bytes);
            }
        }

        @Override
        public void onDone() {
            if (failure.isPresent()) {
                notAnswered(failure.get());
            } else {
                receiver.onDone();
            }
        }

        @Override
        public void onFailure(HttpExchangeException failed) {
            if (failure.isPresent()) {
                notAnswered(failure.get());
            } else {
                relayFailed(failed);
            }
        }

        @Override
        void deliverFailure(HttpExchangeException failed) {
            receiver.onFailure(failed);
        }
    }
}
