package org.guavathread.gateway.call;

import java.util.Optional;
import java.util.function.Consumer;

import org.guavathread.core.registry.ServerProcess;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;

/**
 * The software version at which the stream of one request began. The version of a server is known from its entry, and the
 * process that wrote the first event may be another one, so the server is asked again after that event. Runs on the event
 * loop's thread.
 */
final class StreamOrigin {

    /** Delay before the server is asked again after a question without an answer; doubles each time. */
    private static final long FIRST_RETRY_MILLIS = 250;

    private static final int MAX_QUESTIONS = 5;

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final RequestRouter.Origins origins;
    private final ProcessCheck processCheck;
    private Consumer<Optional<SoftwareVersion>> onSettled;
    private boolean isAsking;
    private boolean isUnanswered;
    private int questions;

    StreamOrigin(
            GatewayContext context,
            AdmittedRequest admitted,
            RequestRouter.Origins origins,
            ProcessCheck processCheck) {
        this.context = context;
        this.admitted = admitted;
        this.origins = origins;
        this.processCheck = processCheck;
    }

    /** Finds the version of a stream that the caller takes up again. */
    void find(Consumer<Optional<SoftwareVersion>> onResult) {
        find(admitted.request().resumedAttemptId(), onResult);
    }

    private void find(Optional<String> attemptId, Consumer<Optional<SoftwareVersion>> onResult) {
        origins.find(attemptId, admitted.service(), admitted.rule().timeoutMillis(), onResult);
    }

    /**
     * Records the server that wrote the first event, and tells other hosts once its version is certain.
     *
     * @param server the server, as it was known when the request was sent
     * @param onOtherProcess receives a version that no server has if another process than the known one may have written
     *     the event
     */
    void began(Worker server, Consumer<SoftwareVersion> onOtherProcess) {
        if (admitted.rule().mayRunAgain() && admitted.request().lastEventId().isEmpty()) {
            isAsking = true;
            ask(server, onOtherProcess);
        }
    }

    private void ask(Worker server, Consumer<SoftwareVersion> onOtherProcess) {
        questions++;
        isUnanswered = false;
        processCheck.ask(server, outcome -> {
            switch (outcome) {
                case SAME -> known(server.softwareVersion());
                case OTHER -> {
                    SoftwareVersion either = SoftwareVersion.unknownOf(new ServerProcess(server.id(), 0));
                    onOtherProcess.accept(either);
                    known(either);
                }
                default -> unanswered(server, onOtherProcess);
            }
        });
    }

    private void known(SoftwareVersion version) {
        origins.began(
                admitted.request().attemptId(), version, admitted.request().deadlineMillis());
        settle(Optional.of(version));
    }

    private void unanswered(Worker server, Consumer<SoftwareVersion> onOtherProcess) {
        isUnanswered = true;
        if (onSettled != null) {
            concludeWithoutTheServer();
        }
        if (questions < MAX_QUESTIONS) {
            long delayMillis = FIRST_RETRY_MILLIS << (questions - 1);
            context.loop().schedule(context.loop().nowMillis() + delayMillis, () -> ask(server, onOtherProcess));
        }
    }

    private void concludeWithoutTheServer() {
        find(Optional.of(admitted.request().attemptId()), this::settle);
    }

    private void settle(Optional<SoftwareVersion> version) {
        isAsking = false;
        Consumer<Optional<SoftwareVersion>> next = onSettled;
        onSettled = null;
        if (next != null) {
            next.accept(version);
        }
    }

    /** Returns whether the version is settled, so that the stream can go on at other servers. */
    boolean isSettled() {
        return !isAsking;
    }

    /** Waits until the version is settled; without an answer of the server it may be empty. */
    void whenSettled(Consumer<Optional<SoftwareVersion>> action) {
        onSettled = action;
        if (isUnanswered) {
            concludeWithoutTheServer();
        }
    }
}
