package org.guavathread.gateway.call;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.guavathread.core.registry.Worker;
import org.guavathread.gateway.loop.EventLoop;
import org.guavathread.router.http.ExchangeFailedException;
import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpResponseListener;
import org.guavathread.router.http.HttpStep;

/**
 * Passes the parts of one answer to the event loop, in order. At most one task of an answer waits in the loop's inbox, and
 * the bytes that wait are bounded, so that a server that sends without end delays no other request and uses up no memory.
 */
final class AnswerMailbox implements HttpResponseListener {

    /** Bytes that may wait for the event loop; events of a language model have a few hundred. */
    private static final int MAX_PENDING_BYTES = 256 * 1024;

    private final EventLoop loop;
    private final Worker worker;
    private final BackendClient.Receiver receiver;
    private final Queue<Runnable> parts = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingBytes = new AtomicInteger();
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private final AtomicBoolean overflown = new AtomicBoolean();
    private volatile Runnable cancel = () -> {};

    AnswerMailbox(EventLoop loop, Worker worker, BackendClient.Receiver receiver) {
        this.loop = loop;
        this.worker = worker;
        this.receiver = receiver;
    }

    /** Sets the action that ends the exchange when too many bytes wait. */
    void onOverflow(Runnable action) {
        cancel = action;
        if (overflown.get()) {
            action.run();
        }
    }

    @Override
    public void onHead(HttpHead head) {
        post(() -> receiver.onHead(head));
    }

    @Override
    public void onBytes(byte[] bytes) {
        if (overflown.get()) {
            return;
        }
        if (pendingBytes.addAndGet(bytes.length) > MAX_PENDING_BYTES) {
            overflow();
            return;
        }
        post(() -> {
            pendingBytes.addAndGet(-bytes.length);
            receiver.onBytes(bytes);
        });
    }

    private void overflow() {
        if (overflown.compareAndSet(false, true)) {
            String reason = "more than " + MAX_PENDING_BYTES + " bytes wait to be processed";
            HttpExchangeException failure =
                    new ExchangeFailedException(HttpStep.ANSWER_BODY, worker.address(), reason, null);
            post(() -> receiver.onFailure(failure));
            cancel.run();
        }
    }

    @Override
    public void onDone() {
        if (!overflown.get()) {
            post(receiver::onDone);
        }
    }

    @Override
    public void onFailure(HttpExchangeException failure) {
        if (!overflown.get()) {
            post(() -> receiver.onFailure(failure));
        }
    }

    private void post(Runnable part) {
        parts.add(part);
        schedule();
    }

    private void schedule() {
        if (scheduled.compareAndSet(false, true)) {
            loop.complete(this::deliver);
        }
    }

    private void deliver() {
        scheduled.set(false);
        Runnable part = parts.poll();
        if (part == null) {
            return;
        }
        try {
            part.run();
        } finally {
            // One part a task: other requests take their turns in between, and a failure holds back no later part.
            if (!parts.isEmpty()) {
                schedule();
            }
        }
    }
}
