package org.guavathread.gateway.call;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.guavathread.router.http.HttpExchangeException;
import org.guavathread.router.http.HttpHead;

/** Holds back the answer of an engine that continues a stream until it is known which process of it answers. */
final class HeldAnswer implements BackendClient.Receiver {

    /** Maximum size of what is held back: some events, since a check takes some hundred milliseconds at most. */
    private static final int MAX_HELD_BYTES = 256 * 1024;

    private final BackendClient.Receiver receiver;
    private final Consumer<Consumer<Boolean>> check;
    private final Consumer<String> onRefused;
    private final List<Runnable> held = new ArrayList<>();
    private int heldBytes;
    private boolean isChecking;
    private boolean isReleased;
    private boolean isDropped;

    /**
     * Creates a receiver.
     *
     * @param receiver receives the answer once the process is known to be the expected one
     * @param check finds out whether it is; called when the head of a success has arrived
     * @param onRefused receives the reason if the answer is dropped
     */
    HeldAnswer(BackendClient.Receiver receiver, Consumer<Consumer<Boolean>> check, Consumer<String> onRefused) {
        this.receiver = receiver;
        this.check = check;
        this.onRefused = onRefused;
    }

    private void pass(Runnable part) {
        if (isReleased) {
            part.run();
        } else if (!isDropped) {
            held.add(part);
        }
    }

    @Override
    public void onHead(HttpHead head) {
        isReleased = !head.isSuccess();
        pass(() -> receiver.onHead(head));
        if (!isReleased) {
            isChecking = true;
            check.accept(this::checked);
        }
    }

    private void checked(boolean isExpected) {
        isChecking = false;
        if (isDropped) {
            return;
        }
        if (isExpected) {
            isReleased = true;
            held.forEach(Runnable::run);
            held.clear();
        } else {
            drop("it is not known to come from the expected process");
        }
    }

    private void drop(String reason) {
        isDropped = true;
        held.clear();
        onRefused.accept(reason);
    }

    @Override
    public void onBytes(byte[] bytes) {
        pass(() -> receiver.onBytes(bytes));
        heldBytes += isReleased ? 0 : bytes.length;
        if (heldBytes > MAX_HELD_BYTES && !isReleased && !isDropped) {
            drop("more than " + MAX_HELD_BYTES + " bytes arrived before that was known");
        }
    }

    @Override
    public void onDone() {
        pass(receiver::onDone);
    }

    @Override
    public void onFailure(HttpExchangeException failure) {
        isReleased |= !isChecking && !isDropped;
        pass(() -> receiver.onFailure(failure));
    }
}
