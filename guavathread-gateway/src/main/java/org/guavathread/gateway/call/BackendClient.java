package org.guavathread.gateway.call;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.HomeRegions;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.http.HttpCall;
import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;
import org.guavathread.router.http.HttpStep;
import org.guavathread.router.http.RequestNotSentException;

/**
 * Sends requests to backend servers and delivers their answers on the event loop's thread. While the servers of a service
 * are out of this host's reach, requests go through another host.
 */
final class BackendClient {

    private final GatewayContext context;
    private final Relays relays;
    private final Predicate<DataCentreId> allowed;

    BackendClient(GatewayContext context, Relays relays) {
        this(context, relays, dataCentre -> true);
    }

    private BackendClient(GatewayContext context, Relays relays, Predicate<DataCentreId> allowed) {
        this.context = context;
        this.relays = relays;
        this.allowed = allowed;
    }

    /** Returns a client whose requests go only through hosts in the homes of a request. */
    BackendClient within(HomeRegions.Allowed homes) {
        return homes.isRestricted()
                ? new BackendClient(context, relays, each -> context.regions().allows(homes, each))
                : this;
    }

    /** Receives a streamed answer on the event loop's thread. */
    interface Receiver {

        void onHead(HttpHead head);

        void onBytes(byte[] bytes);

        void onDone();

        void onFailure(HttpExchangeException failure);
    }

    /** Returns whether this host, or another one for it, can connect to servers of a service. */
    boolean isReachable(ServiceName service) {
        return !context.isOutOfReach(service) || relays.next(Set.of(), allowed).isPresent();
    }

    /** Sends a request and buffers the complete answer. */
    HttpCall send(Worker worker, HttpRequest request, Consumer<HttpResponse> onAnswer, Consumer<Throwable> onFailure) {
        if (context.isOutOfReach(worker.service())) {
            return new RelayedCall.Whole(context, relays, allowed, worker, request, onAnswer, onFailure).begin();
        }
        long openedAtMillis = context.loop().nowMillis();
        ReplaceableCall call = new ReplaceableCall();
        call.replace(sendTo(
                context,
                worker.address(),
                request,
                answer -> {
                    connected(context, worker, openedAtMillis);
                    context.notices().heard(worker, request, answer.head());
                    onAnswer.accept(answer);
                },
                failure -> {
                    if (!call.isCancelled() && isNowOutOfReach(worker, failure)) {
                        call.replace(
                                new RelayedCall.Whole(context, relays, allowed, worker, request, onAnswer, onFailure)
                                        .begin());
                    } else {
                        onFailure.accept(failure);
                    }
                }));
        return call;
    }

    /** Sends a request and passes the answer on as it arrives. */
    HttpCall stream(Worker worker, HttpRequest request, Receiver receiver) {
        if (context.isOutOfReach(worker.service())) {
            return new RelayedCall.Streamed(context, relays, allowed, worker, request, receiver).begin();
        }
        long openedAtMillis = context.loop().nowMillis();
        ReplaceableCall call = new ReplaceableCall();
        call.replace(streamFrom(context, worker, worker.address(), request, new Receiver() {

            @Override
            public void onHead(HttpHead head) {
                connected(context, worker, openedAtMillis);
                context.notices().heard(worker, request, head);
                receiver.onHead(head);
            }

            @Override
            public void onBytes(byte[] bytes) {
                receiver.onBytes(bytes);
            }

            @Override
            public void onDone() {
                receiver.onDone();
            }

            @Override
            public void onFailure(HttpExchangeException failure) {
                if (!call.isCancelled() && isNowOutOfReach(worker, failure)) {
                    call.replace(new RelayedCall.Streamed(context, relays, allowed, worker, request, receiver).begin());
                } else {
                    receiver.onFailure(failure);
                }
            }
        }));
        return call;
    }

    /** Records a failed send; returns whether the server and others like it are out of this host's reach now. */
    private boolean isNowOutOfReach(Worker worker, Throwable failure) {
        if (!isNotConnected(failure)) {
            return false;
        }
        notConnected(context, worker);
        return context.isOutOfReach(worker.service());
    }

    /** Records that a server has answered to a connection that was opened at a time. */
    static void connected(GatewayContext context, Worker worker, long openedAtMillis) {
        context.reach().connected(worker.id(), openedAtMillis);
        context.coldServers().connected(worker, context.loop().nowMillis());
    }

    /** Records that no connection to a server could be opened. */
    static void notConnected(GatewayContext context, Worker worker) {
        context.reach().notConnected(worker.id(), context.loop().nowMillis());
        context.coldServers().notConnected(worker);
    }

    /** Sends a request to an address and buffers the complete answer. */
    static HttpCall sendTo(
            GatewayContext context,
            SocketAddressText address,
            HttpRequest request,
            Consumer<HttpResponse> onAnswer,
            Consumer<Throwable> onFailure) {
        CompletableFuture<HttpResponse> answer = context.client().send(address, request);
        answer.whenComplete((complete, failure) -> context.loop().complete(() -> {
            if (failure == null) {
                onAnswer.accept(complete);
            } else {
                onFailure.accept(failure instanceof CompletionException ? failure.getCause() : failure);
            }
        }));
        return () -> answer.cancel(true);
    }

    /** Sends a request for a server to an address, its own or that of a relaying host. */
    static HttpCall streamFrom(
            GatewayContext context, Worker worker, SocketAddressText address, HttpRequest request, Receiver receiver) {
        AnswerMailbox mailbox = new AnswerMailbox(context.loop(), worker, receiver);
        HttpCall call = context.client().stream(address, request, mailbox);
        mailbox.onOverflow(call::cancel);
        return call;
    }

    /** Returns whether the request certainly never left this host. */
    static boolean isNotSent(Throwable failure) {
        return failure instanceof RequestNotSentException;
    }

    /** Returns whether no connection could be opened, as opposed to a lack of connections on this host. */
    static boolean isNotConnected(Throwable failure) {
        return failure instanceof RequestNotSentException notSent && notSent.step() == HttpStep.CONNECT;
    }

    /** Returns whether the connection failed, as opposed to a timeout or a cancellation. */
    static boolean isConnectionLost(Throwable failure) {
        return failure instanceof HttpExchangeException && !isNotSent(failure) && failure.getCause() != null;
    }

    /** A call whose exchange is replaced by one through another host. */
    private static final class ReplaceableCall implements HttpCall {

        private HttpCall current = () -> {};
        private boolean cancelled;

        private void replace(HttpCall next) {
            current = next;
        }

        private boolean isCancelled() {
            return cancelled;
        }

        @Override
        public void cancel() {
            cancelled = true;
            current.cancel();
        }
    }
}
